#include "azurerock/log.h"
#include "sidecar_rig.h"
#include "testing.h"

/* Until the lease of the start has ended, no stop is answered, nor a hold if @is_silent. */
static void
leave_stops_unanswered (struct sidecar_rig *rig, bool is_silent)
{
  const struct az_upstream_lists unanswered
      = { .answer = { .result = AZ_UPSTREAM_UNANSWERED, .clock_ms = -1 } };

  for (int i = 0; i < 40; i++)
    {
      sidecar_rig_answer_stop (rig, rig->stops->len - 1, AZ_UPSTREAM_UNANSWERED);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
      az_sidecar_hold_answered (rig->core, rig->hold - 1, &unanswered);
      if (is_silent)
        sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
      else
        sidecar_rig_answer_hold (rig, "", "");
    }
}

static void
check_fence_after_loss (bool is_silent)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence = rig->hold_fence;

  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  leave_stops_unanswered (rig, is_silent);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  assert_true (rig->hold_fence > former_fence);
  sidecar_rig_destroy (rig);
}

/* Guards against a start that a silent upstream carries out late, beside the run elsewhere. */
static void
test_start_lost_with_its_lease_is_excluded_by_the_fence (void **state)
{
  (void)state;
  check_fence_after_loss (true);
}

/* Guards against the same where the upstream answers holds but acknowledges no stop. */
static void
test_start_that_expired_unstopped_is_excluded_by_the_fence (void **state)
{
  (void)state;
  check_fence_after_loss (false);
}

/* Guards against a fence that rises without need, which makes the upstream refuse starts in
 * flight. */
static void
test_stopped_start_raises_no_fence (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence = rig->hold_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_advance (rig, 25);
  assert_int_equal (rig->hold_fence, former_fence);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start_lost_with_its_lease_is_excluded_by_the_fence),
    cmocka_unit_test (test_start_that_expired_unstopped_is_excluded_by_the_fence),
    cmocka_unit_test (test_stopped_start_raises_no_fence),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
