#include "gateway_rig.h"
#include "testing.h"

/* Guards against an upstream that gets most tasks because it fails all of them and so seems idle.
 */
static void
test_failing_upstream_is_ejected (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);
  unsigned n_on_failing = 0;

  (void)state;
  for (uint32_t i = 0; i < 40; i++)
    {
      guint first = rig->runs->len;

      gateway_rig_submit (rig, 1 + i, "fast", 1);
      for (guint run = first; run < rig->runs->len; run++)
        {
          bool fails
              = gateway_rig_get_run (rig, run)->session == gateway_rig_get_run (rig, 0)->session;

          n_on_failing += fails;
          gateway_rig_end_run (rig, run, fails ? AZ_TASK_FAILED : AZ_TASK_DONE, 90);
        }
      gateway_rig_advance (rig, 20, 0);
    }
  assert_in_range (n_on_failing, 1, 8);
  gateway_rig_destroy (rig);
}

/* Guards against a new gateway that takes the accumulated failures of an upstream for a burst. */
static void
test_first_report_sets_the_failure_baseline (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  rig->n_failed[1] = 5;
  rig->n_done[1] = 1000;
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  gateway_rig_open_upstream (rig, 2, "s2", "d1", true);
  gateway_rig_open_upstream (rig, 3, "s3", "d1", true);
  gateway_rig_submit (rig, 1, "fast", 24);
  assert_int_equal (rig->runs->len, 24);
  gateway_rig_destroy (rig);
}

/* Guards against failures that aren't counted because they are compared with the counts of the
 * sidecar's former process. */
static void
test_failures_at_a_restarted_sidecar_are_counted (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);
  unsigned n_on_failing = 0;

  (void)state;
  for (uint32_t session = 1; session <= 8; session++)
    {
      g_autofree char *instance = g_strdup_printf ("s%u", session % 4);

      rig->n_failed[session] = session <= 4 ? 100 : 0;
      rig->n_done[session] = session <= 4 ? 1000 : 0;
      gateway_rig_open_upstream (rig, session, instance, "d1", true);
    }
  for (uint32_t i = 0; i < 40; i++)
    {
      guint first = rig->runs->len;

      gateway_rig_submit (rig, 1 + i, "fast", 1);
      for (guint run = first; run < rig->runs->len; run++)
        {
          bool fails
              = gateway_rig_get_run (rig, run)->session == gateway_rig_get_run (rig, 0)->session;

          n_on_failing += fails;
          gateway_rig_end_run (rig, run, fails ? AZ_TASK_FAILED : AZ_TASK_DONE, 90);
        }
      gateway_rig_advance (rig, 20, 0);
    }
  assert_in_range (n_on_failing, 1, 8);
  gateway_rig_destroy (rig);
}

/* Guards against an ejected upstream that is used again because its sidecar has reconnected. */
static void
test_reconnected_sidecar_stays_ejected (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  rig->n_failed[1] = 20;
  gateway_rig_advance (rig, 20, 0);
  rig->n_failed[4] = 20;
  rig->incarnation[4] = rig->incarnation[1];
  gateway_rig_open_upstream (rig, 4, "s1", "d1", true);
  gateway_rig_submit (rig, 1, "fast", 24);
  assert_in_range (rig->runs->len, 16, 17);
  gateway_rig_destroy (rig);
}

/* A stalled task is stopped, and runs elsewhere only after its end was reported. */
static void
test_stalled_task_is_moved (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_report_progress (rig, 0, 300, UINT32_MAX);
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_end_run (rig, 0, AZ_TASK_STOPPED, 350);
  assert_int_equal (rig->runs->len, 2);
  assert_int_not_equal (gateway_rig_get_run (rig, 0)->session,
                        gateway_rig_get_run (rig, 1)->session);
  gateway_rig_destroy (rig);
}

/* Guards against regular use of an upstream that its sidecar reports as slow. It gets single tasks,
 * of jobs with enough slack to have a task moved. */
static void
test_slow_upstream_gets_single_tasks (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);
  unsigned n_on_slow = 0;

  (void)state;
  rig->speed[3] = 15;
  gateway_rig_advance (rig, 20, 0);
  for (uint32_t i = 0; i < 40; i++)
    {
      guint first = rig->runs->len;

      gateway_rig_submit (rig, 1 + i, i % 10 ? "fast" : "big", 3);
      for (guint run = first; run < rig->runs->len; run++)
        {
          n_on_slow += gateway_rig_get_run (rig, run)->session == 3;
          gateway_rig_end_run (rig, run, AZ_TASK_DONE, 90);
        }
      gateway_rig_advance (rig, 20, 0);
    }
  assert_in_range (n_on_slow, 0, 3);
  rig->speed[3] = 90;
  gateway_rig_advance (rig, 20, 0);
  gateway_rig_submit (rig, 100, "fast", 20);
  n_on_slow = 0;
  for (guint run = rig->runs->len - 20; run < rig->runs->len; run++)
    n_on_slow += gateway_rig_get_run (rig, run)->session == 3;
  assert_in_range (n_on_slow, 4, 8);
  gateway_rig_destroy (rig);
}

/* Guards against jobs of short tasks that are refused for good once all upstreams were slow: they
 * have too little slack for probes, and without probes no upstream ever counts as sound again. */
static void
test_job_without_slack_probes_if_all_upstreams_are_slow (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);

  (void)state;
  rig->speed[1] = rig->speed[2] = 30;
  gateway_rig_advance (rig, 400, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  rig->speed[1] = rig->speed[2] = 100;
  gateway_rig_end_run (rig, 0, AZ_TASK_DONE, 100);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_COMPLETED);
  rig->speed[2] = 30;
  gateway_rig_advance (rig, 400, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_run (rig, 1)->session, 1);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failing_upstream_is_ejected),
    cmocka_unit_test (test_first_report_sets_the_failure_baseline),
    cmocka_unit_test (test_failures_at_a_restarted_sidecar_are_counted),
    cmocka_unit_test (test_reconnected_sidecar_stays_ejected),
    cmocka_unit_test (test_stalled_task_is_moved),
    cmocka_unit_test (test_slow_upstream_gets_single_tasks),
    cmocka_unit_test (test_job_without_slack_probes_if_all_upstreams_are_slow),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
