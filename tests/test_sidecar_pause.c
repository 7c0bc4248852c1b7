#include "sidecar_rig.h"
#include "testing.h"

/* Guards against a start that is repeated after the sidecar was paused: the gateway has closed the
 * session meanwhile, but its earlier messages are still unread. */
static void
test_no_start_is_repeated_after_a_pause (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  rig->now_ms += 2000;
  sidecar_rig_send_pulse (rig, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against leases that are renewed after a pause for a session that has expired. */
static void
test_no_lease_is_renewed_for_an_expired_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  rig->now_ms += 600;
  rig->hold_lease_end_clock_ms = 0;
  sidecar_rig_answer_hold (rig, "job.0.0.0", "");
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  sidecar_rig_destroy (rig);
}

/* Guards against the same if the acknowledgement of a stop is read first. */
static void
test_no_lease_is_renewed_after_a_stop_of_an_expired_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  unsigned n_holds;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  rig->now_ms += 600;
  n_holds = rig->n_holds;
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  assert_int_equal (rig->n_holds, n_holds + 1);
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  sidecar_rig_destroy (rig);
}

/* Guards against tasks that run on while their gateway's stop waits in a slow link: the heartbeats
 * before it arrive late but regularly. */
static void
test_delayed_heartbeats_do_not_keep_a_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  int64_t sent_ms = rig->now_ms;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  /* The link passes on nothing that was sent more than 100 ms after the task. */
  while (rig->n_closed == 0 && rig->now_ms < sent_ms + 2000)
    {
      sidecar_rig_advance (rig, 50);
      sidecar_rig_send_delayed_pulse (rig, 1, MAX (rig->now_ms - sent_ms - 100, 0));
      sidecar_rig_send_pulse (rig, 2);
    }
  assert_int_equal (rig->n_closed, 1);
  assert_in_range (rig->now_ms - sent_ms, 450, 600);
  assert_int_equal (rig->stops->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against sessions that are lost although heartbeats are only delayed by less than their
 * time-out. */
static void
test_evenly_delayed_heartbeats_keep_a_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  for (int i = 0; i < 40; i++)
    {
      sidecar_rig_advance (rig, 50);
      sidecar_rig_send_delayed_pulse (rig, 1, 300);
      sidecar_rig_answer_hold (rig, "job.0.0.0", "");
    }
  assert_int_equal (rig->stops->len, 0);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_start_is_repeated_after_a_pause),
    cmocka_unit_test (test_no_lease_is_renewed_for_an_expired_session),
    cmocka_unit_test (test_no_lease_is_renewed_after_a_stop_of_an_expired_session),
    cmocka_unit_test (test_delayed_heartbeats_do_not_keep_a_session),
    cmocka_unit_test (test_evenly_delayed_heartbeats_keep_a_session),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
