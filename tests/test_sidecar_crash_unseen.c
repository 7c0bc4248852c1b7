#include "sidecar_rig.h"
#include "testing.h"

/* Guards against a crash that counts against no task because the upstream was back before a
 * connection was refused. */
static void
test_crash_shown_by_the_next_incarnation_counts (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_OTHER_INSTANCE);
  sidecar_rig_announce (rig, "i2", 200, 1, false);
  sidecar_rig_advance (rig, 25);
  assert_int_equal (rig->n_crashes[1], 1);
  assert_string_equal (rig->crashed_job_id, "job1");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

/* Guards against counting an upstream that leaves and is replaced as a crash. */
static void
test_replacement_of_a_draining_upstream_is_no_crash (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 100, 2, true);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_OTHER_INSTANCE);
  sidecar_rig_announce (rig, "i2", 200, 1, false);
  sidecar_rig_advance (rig, 25);
  assert_int_equal (rig->n_crashes[1], 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_crash_shown_by_the_next_incarnation_counts),
    cmocka_unit_test (test_replacement_of_a_draining_upstream_is_no_crash),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
