#include "gateway_rig.h"
#include "testing.h"

/* Guards against refusals just after the start of the process, before sidecars have connected. */
static void
test_job_waits_for_upstreams_after_the_start (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against a job that is queued although no upstream has been connected for long. */
static void
test_job_without_upstreams_is_refused_at_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_advance (rig, 2000, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

/* Guards against jobs answered as failed that could be done, because an upstream has shrunk and may
 * grow again. */
static void
test_job_beyond_a_shrunk_capacity_is_not_failed (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  rig->capacity_milli[1] = 2000;
  gateway_rig_report_upstream (rig, 1, true);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  rig->capacity_milli[1] = 32000;
  gateway_rig_report_upstream (rig, 1, true);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against jobs that wait to their deadline although their tasks fit nowhere, because an
 * upstream has shrunk since they were submitted. */
static void
test_waiting_job_beyond_a_shrunk_capacity_is_refused (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 8);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), -1);
  rig->capacity_milli[1] = 2000;
  gateway_rig_report_upstream (rig, 1, true);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_destroy (rig);
}

/* Guards against callers that repeat a job that no upstream has ever had the capacity for. */
static void
test_job_beyond_every_known_capacity_has_failed (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_advance (rig, 1500, 0);
  rig->capacity_milli[1] = 2000;
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against jobs answered as failed that fit an upstream whose sidecar hasn't connected yet
 * after the start of the process. */
static void
test_job_is_not_failed_before_all_sidecars_connect (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  rig->capacity_milli[1] = 2000;
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_open_upstream (rig, 2, "s2", "d1", true);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against jobs answered as failed that could be done, because the sidecar of an upstream
 * that has shrunk was restarted. */
static void
test_restarted_sidecar_keeps_the_largest_capacity (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_advance (rig, 1500, 0);
  rig->capacity_milli[1] = rig->capacity_milli[2] = 2000;
  gateway_rig_report_upstream (rig, 1, true);
  gateway_rig_open_upstream (rig, 2, "s1", "d1", true);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

/* Guards against jobs answered as failed for good because the labels of an incarnation were
 * reported later than the incarnation, and were ignored. */
static void
test_labels_may_come_later_than_the_incarnation (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);

  (void)state;
  gateway_rig_advance (rig, 1500, 0);
  rig->is_unannounced[1] = true;
  gateway_rig_report_upstream (rig, 1, false);
  gateway_rig_submit_for_label (rig, 1, "b");
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  rig->is_unannounced[1] = false;
  rig->label[1] = "b";
  gateway_rig_report_upstream (rig, 1, true);
  gateway_rig_submit_for_label (rig, 2, "b");
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (gateway_rig_get_run (rig, 0)->session, 1);
  gateway_rig_submit_for_label (rig, 3, "c");
  assert_int_equal (gateway_rig_get_outcome (rig, 3), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against jobs answered as failed that fit the upstream of a sidecar that has just connected
 * or restarted, before it has reported what that is. */
static void
test_job_is_not_failed_before_all_upstreams_are_described (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_advance (rig, 1500, 0);
  rig->is_unannounced[2] = true;
  gateway_rig_open_upstream (rig, 2, "s2", "d1", false);
  gateway_rig_submit_for_label (rig, 1, "b");
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  rig->is_unannounced[2] = false;
  gateway_rig_report_upstream (rig, 2, true);
  gateway_rig_submit_for_label (rig, 2, "b");
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_waits_for_upstreams_after_the_start),
    cmocka_unit_test (test_job_without_upstreams_is_refused_at_once),
    cmocka_unit_test (test_job_beyond_a_shrunk_capacity_is_not_failed),
    cmocka_unit_test (test_waiting_job_beyond_a_shrunk_capacity_is_refused),
    cmocka_unit_test (test_job_beyond_every_known_capacity_has_failed),
    cmocka_unit_test (test_job_is_not_failed_before_all_sidecars_connect),
    cmocka_unit_test (test_restarted_sidecar_keeps_the_largest_capacity),
    cmocka_unit_test (test_labels_may_come_later_than_the_incarnation),
    cmocka_unit_test (test_job_is_not_failed_before_all_upstreams_are_described),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
