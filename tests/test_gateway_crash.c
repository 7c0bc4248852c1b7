#include "dispatch/crash_record.h"
#include "dispatch/time_us.h"
#include "gateway_rig.h"
#include "testing.h"

/* The run's upstream crashes: its sidecar names that task or one of @caller's job, the task ends as
 * crashed when its lease has ended, and the upstream is back later. */
static void
crash_run (struct gateway_rig *rig, guint run, uint32_t caller)
{
  uint32_t session = gateway_rig_get_run (rig, run)->session;

  gateway_rig_report_crash (rig, session, caller, gateway_rig_get_run (rig, run)->index);
  gateway_rig_end_run (rig, run, AZ_TASK_CRASHED, 780);
  gateway_rig_begin_life (rig, session, 2);
}

/* Guards against a job that is started on one upstream after the other and crashes each. */
static void
test_job_is_given_up_after_two_crashes (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  crash_run (rig, 0, 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  assert_int_equal (rig->runs->len, 2);
  assert_int_not_equal (gateway_rig_get_run (rig, 1)->session,
                        gateway_rig_get_run (rig, 0)->session);
  crash_run (rig, 1, 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  assert_int_equal (rig->runs->len, 2);
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_crashed_total"), 1);
  assert_int_equal (az_gateway_n_jobs (rig->core), 0);
  gateway_rig_destroy (rig);
}

/* Guards against tasks that crash their upstreams without limit because the sidecar names another
 * job, whose task started between the start and the crash. */
static void
test_task_is_given_up_if_another_job_is_named (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  crash_run (rig, 0, 8);
  crash_run (rig, 1, 9);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against an answer that waits for the lease of the second upstream, and against a job whose
 * other tasks run on after it. */
static void
test_job_fails_when_the_second_crash_is_reported (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 2);
  crash_run (rig, 0, 1);
  assert_int_equal (rig->stops->len, 0);
  gateway_rig_report_crash (rig, gateway_rig_get_run (rig, 2)->session, 1,
                            gateway_rig_get_run (rig, 2)->index);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  assert_true (rig->stops->len > 0);
  gateway_rig_destroy (rig);
}

/* Guards against counting one crash twice: as reported at once, repeated, and as the end of each
 * task. */
static void
test_one_crash_counts_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 2);
  gateway_rig_report_crash (rig, 1, 1, 0);
  gateway_rig_report_crash (rig, 1, 1, 0);
  gateway_rig_end_run (rig, 0, AZ_TASK_CRASHED, 780);
  gateway_rig_end_run (rig, 1, AZ_TASK_CRASHED, 780);
  gateway_rig_begin_life (rig, 1, 2);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_report_crash (rig, 1, 1, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against a job that is given up although no task of it was hit twice: two tasks were hit
 * once each, and one of these was named. */
static void
test_crashes_of_different_tasks_are_not_added (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 3);
  crash_run (rig, 0, 1);
  crash_run (rig, 1, 9);
  gateway_rig_report_crash (rig, gateway_rig_get_run (rig, 2)->session, 1,
                            gateway_rig_get_run (rig, 2)->index);
  assert_int_not_equal (gateway_rig_get_run (rig, 0)->session,
                        gateway_rig_get_run (rig, 1)->session);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_destroy (rig);
}

/* Guards against a count that begins at zero when the caller submits the job again, and against one
 * that ignores the attempts of other gateways. */
static void
test_crashes_count_across_submissions_and_gateways (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);

  (void)state;
  gateway_rig_report_crash (rig, 4, 1, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  az_gateway_caller_disconnected (rig->core, 1);
  gateway_rig_end_run (rig, 0, AZ_TASK_STOPPED, 20);
  gateway_rig_report_crash (rig, 3, 1, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (az_gateway_n_jobs (rig->core), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a restart of a job that crashed one upstream for another gateway and one here. */
static void
test_crash_for_another_gateway_counts_for_a_running_job (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_report_crash (rig, gateway_rig_get_run (rig, 0)->session, 1, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_report_crash (rig, gateway_rig_get_run (rig, 0)->session == 3 ? 1 : 3, 1, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against an upstream that is avoided after a task has crashed it. */
static void
test_crashed_upstream_is_used_when_it_is_back (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  for (uint32_t caller = 1; caller <= 5; caller++)
    gateway_rig_submit (rig, caller, "fast", 1);
  gateway_rig_report_crash (rig, 1, 9, 0);
  for (guint run = 0; run < 5; run++)
    gateway_rig_end_run (rig, run, AZ_TASK_CRASHED, 780);
  gateway_rig_begin_life (rig, 1, 2);
  assert_true (rig->runs->len >= 10);
  gateway_rig_destroy (rig);
}

/* Guards against a crash that isn't counted because a restarted sidecar counts the incarnations of
 * its upstream from 1 again. */
static void
test_crash_after_a_restart_of_the_sidecar_counts (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_report_crash (rig, 1, 1, 0);
  gateway_rig_report_upstream (rig, 1, false);
  gateway_rig_end_run (rig, 0, AZ_TASK_CRASHED, 780);
  gateway_rig_open_upstream (rig, 2, "s1", "d1", true);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_report_crash (rig, 2, 1, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against counting one crash twice if the run message arrived at the next incarnation. */
static void
test_crash_of_a_later_incarnation_counts_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);
  uint32_t session;

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  session = gateway_rig_get_run (rig, 0)->session;
  gateway_rig_begin_life (rig, session, 2);
  gateway_rig_report_crash (rig, session, 1, 0);
  gateway_rig_end_run (rig, 0, AZ_TASK_CRASHED, 780);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_report_crash (rig, gateway_rig_get_run (rig, 1)->session, 1, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  gateway_rig_destroy (rig);
}

/* Guards against memory that grows with the number of crashes, and against a job that is refused
 * long after its crashes. */
static void
test_record_of_crashes_is_bounded_and_expires (void **state)
{
  struct az_crash_record *record = az_crash_record_create ();
  const struct az_crash first = { 1, 9, 1, 0, 0 };
  const struct az_crash second = { 1, 9, 2, 0, 0 };
  const struct az_crash other_task = { 1, 9, 2, 0, 1 };
  int64_t end_us;

  (void)state;
  assert_true (az_crash_record_add (record, "a", &first, 0));
  assert_false (az_crash_record_add (record, "a", &first, 1));
  for (int64_t i = 1; i < AZ_CRASH_RECORD_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("job%" G_GINT64_FORMAT, i);

      assert_true (az_crash_record_add (record, id, &first, i));
    }
  assert_true (az_crash_record_add (record, "a", &second, AZ_CRASH_RECORD_MAX));
  assert_int_equal (az_crash_record_count (record, "a", 0, 0, AZ_CRASH_RECORD_MAX), 2);
  assert_true (az_crash_record_add (record, "a", &other_task, AZ_CRASH_RECORD_MAX));
  assert_true (az_crash_record_add (record, "b", &first, AZ_CRASH_RECORD_MAX));
  assert_int_equal (az_crash_record_count (record, "job1", 0, 0, AZ_CRASH_RECORD_MAX), 0);
  assert_int_equal (az_crash_record_count (record, "job2", 0, 0, AZ_CRASH_RECORD_MAX), 1);
  assert_int_equal (az_crash_record_count (record, "a", 0, 0, AZ_CRASH_RECORD_MAX), 2);
  assert_false (az_crash_record_add (record, "a", &first, AZ_CRASH_RECORD_MAX));
  end_us = AZ_CRASH_RECORD_MAX + AZ_CRASH_RECORD_MS * AZ_US_PER_MS;
  assert_int_equal (az_crash_record_count (record, "a", 0, 0, end_us - 1), 2);
  assert_int_equal (az_crash_record_count (record, "a", 0, 0, end_us), 0);
  az_crash_record_destroy (record);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_given_up_after_two_crashes),
    cmocka_unit_test (test_task_is_given_up_if_another_job_is_named),
    cmocka_unit_test (test_job_fails_when_the_second_crash_is_reported),
    cmocka_unit_test (test_one_crash_counts_once),
    cmocka_unit_test (test_crashes_of_different_tasks_are_not_added),
    cmocka_unit_test (test_crashes_count_across_submissions_and_gateways),
    cmocka_unit_test (test_crash_for_another_gateway_counts_for_a_running_job),
    cmocka_unit_test (test_crashed_upstream_is_used_when_it_is_back),
    cmocka_unit_test (test_crash_after_a_restart_of_the_sidecar_counts),
    cmocka_unit_test (test_crash_of_a_later_incarnation_counts_once),
    cmocka_unit_test (test_record_of_crashes_is_bounded_and_expires),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
