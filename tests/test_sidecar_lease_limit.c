#include "dispatch/session_times.h"
#include "sidecar_rig.h"
#include "testing.h"

#define STOP_MS 50

/* A session with a running task of gateway 1 is lost while gateway 2 has a task at the same
 * upstream, which is slow to carry out stops. */
static struct sidecar_rig *
create_with_lost_session (void)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_send_run (rig, 2, 2, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "job.0.0.0 job.0.0.1", "");
  az_sidecar_session_closed (rig->core, 1, "end of file");
  return rig;
}

/* Returns the latest lease end that the sidecar requested, on the upstream's clock, which shows the
 * time of the rig. */
static int64_t
latest_lease_end_ms (struct sidecar_rig *rig, int64_t duration_ms, const char *active)
{
  int64_t latest_ms = rig->hold_lease_end_clock_ms;

  for (int64_t elapsed = 0; elapsed < duration_ms; elapsed += 25)
    {
      sidecar_rig_advance_answering_holds (rig, 25, active);
      latest_ms = MAX (latest_ms, rig->hold_lease_end_clock_ms);
    }
  return latest_ms;
}

/* Guards against a task that runs on because the leases are renewed for other gateways, while its
 * own gateway takes it as ended after the orphan timeout and runs it elsewhere. */
static void
test_unconfirmed_stop_limits_the_leases (void **state)
{
  struct sidecar_rig *rig = create_with_lost_session ();
  int64_t lost_ms = rig->now_ms;

  (void)state;
  assert_true (latest_lease_end_ms (rig, 2000, "job.0.0.0 job.0.0.1") + STOP_MS
               <= lost_ms + AZ_ORPHAN_TIMEOUT_MS);
  sidecar_rig_destroy (rig);
}

/* Guards against the same if the upstream has acknowledged the stop, but lists the task as running.
 */
static void
test_acknowledged_stop_limits_the_leases_until_the_end (void **state)
{
  struct sidecar_rig *rig = create_with_lost_session ();
  int64_t lost_ms = rig->now_ms;

  (void)state;
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  assert_true (latest_lease_end_ms (rig, 2000, "job.0.0.0 job.0.0.1") + STOP_MS
               <= lost_ms + AZ_ORPHAN_TIMEOUT_MS);
  sidecar_rig_destroy (rig);
}

/* Guards against the same if it is a start of another gateway that renews the leases. */
static void
test_start_does_not_renew_beyond_the_limit (void **state)
{
  struct sidecar_rig *rig = create_with_lost_session ();
  int64_t limit_ms = rig->now_ms + AZ_ORPHAN_TIMEOUT_MS;

  (void)state;
  rig->need.cpu_milli = 100;
  for (uint32_t i = 2; rig->now_ms + 100 < limit_ms; i++)
    {
      guint n_starts = rig->starts->len;

      sidecar_rig_advance_answering_holds (rig, 50, "job.0.0.0 job.0.0.1");
      sidecar_rig_send_run (rig, 2, i, i);
      if (rig->starts->len > n_starts)
        assert_true (sidecar_rig_get_start (rig, n_starts)->lease_end_clock_ms + STOP_MS
                     <= limit_ms);
    }
  assert_true (rig->starts->len > 2);
  sidecar_rig_destroy (rig);
}

/* Guards against the same for a job whose caller left while its gateway was paused: the stop is
 * asked for up to a session time-out later, and the caller sends the job again regardless. */
static void
test_late_stop_request_limits_the_leases (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_message stop = { .proc = AZ_NODE_STOP };
  int64_t asked_ms;

  (void)state;
  stop.az_message_u.node_stop.job = 1;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_send_run (rig, 2, 2, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  asked_ms = rig->now_ms;
  az_sidecar_received (rig->core, 1, &stop);
  assert_true (latest_lease_end_ms (rig, 2000, "job.0.0.0 job.0.0.1") + STOP_MS
               <= asked_ms - AZ_SESSION_TIMEOUT_MS + AZ_ORPHAN_TIMEOUT_MS);
  sidecar_rig_destroy (rig);
}

/* Guards against tasks of other gateways that lose their leases although the stop was carried out
 * in time. */
static void
test_leases_are_renewed_after_the_stop (void **state)
{
  struct sidecar_rig *rig = create_with_lost_session ();

  (void)state;
  sidecar_rig_advance_answering_holds (rig, 300, "job.0.0.0 job.0.0.1");
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance_answering_holds (rig, 1500, "job.0.0.1");
  assert_true (rig->hold_lease_end_clock_ms >= rig->now_ms + AZ_TASK_LEASE_MS - 200);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unconfirmed_stop_limits_the_leases),
    cmocka_unit_test (test_acknowledged_stop_limits_the_leases_until_the_end),
    cmocka_unit_test (test_start_does_not_renew_beyond_the_limit),
    cmocka_unit_test (test_late_stop_request_limits_the_leases),
    cmocka_unit_test (test_leases_are_renewed_after_the_stop),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
