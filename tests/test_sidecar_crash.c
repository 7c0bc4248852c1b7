#include "sidecar_rig.h"
#include "testing.h"

/* The sidecar's upstream crashes: its connections are reset, and it accepts no more. */
static void
crash_upstream (struct sidecar_rig *rig)
{
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
}

/* Guards against gateways that learn of a crash, and of the job that caused it, only when the
 * leases have ended. */
static void
test_crash_is_told_to_all_gateways_at_once (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  rig->now_ms += 5;
  sidecar_rig_send_run (rig, 2, 2, 1);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  rig->now_ms += 5;
  sidecar_rig_send_run (rig, 1, 3, 2);
  crash_upstream (rig);
  assert_int_equal (rig->n_crashes[1], 1);
  assert_int_equal (rig->n_crashes[2], 1);
  assert_string_equal (rig->crashed_job_id, "job2");
  assert_string_equal (rig->crashed_queue, "fast");
  assert_int_equal (rig->crashed_index, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* Guards against a crash that counts against a task whose start wasn't answered: it may never have
 * started. */
static void
test_unanswered_start_does_not_count (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 4, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  crash_upstream (rig);
  assert_int_equal (rig->n_crashes[1], 1);
  assert_string_equal (rig->crashed_queue, "fast");
  assert_string_equal (rig->crashed_job_id, "");
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run on another upstream before the lease has ended, and against an end
 * that doesn't tell the crash. */
static void
test_tasks_end_as_crashed_after_their_lease (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  crash_upstream (rig);
  for (int64_t elapsed = 50; elapsed < 650; elapsed += 50)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 50);
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
      assert_int_equal (sidecar_rig_last_event (rig), -1);
    }
  sidecar_rig_send_pulse (rig, 1);
  sidecar_rig_advance (rig, 250);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  assert_int_equal (rig->n_crashes[1], 1);
  sidecar_rig_destroy (rig);
}

static void
test_tasks_end_as_crashed_when_the_upstream_is_back (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  crash_upstream (rig);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

/* Guards against counting a paused or overloaded upstream as crashed: its holds time out, also
 * those that found no free connection. */
static void
test_silent_upstream_is_no_crash (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  for (int i = 0; i < 20; i++)
    {
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 50);
      rig->now_ms += 50;
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
    }
  assert_int_equal (rig->n_crashes[1], 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against counting the planned end of an upstream, or one that never opened, as a crash. */
static void
test_upstream_that_leaves_is_no_crash (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_announce (rig, "i1", 100, 2, true);
  crash_upstream (rig);
  assert_int_equal (rig->n_crashes[1], 0);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
  assert_int_equal (rig->n_crashes[1], 0);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_send_run (rig, 1, 2, 1);
  az_sidecar_upstream_left (rig->core, "i1", 100);
  crash_upstream (rig);
  assert_int_equal (rig->n_crashes[1], 0);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that counts as started although its start was never sent. */
static void
test_start_that_was_not_sent_is_not_crashed (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  crash_upstream (rig);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_NOT_SENT);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against an end as crashed after the same incarnation has answered again. */
static void
test_answer_of_the_incarnation_disproves_the_crash (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  crash_upstream (rig);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_answer_hold (rig, "job.0.0.0", "");
  sidecar_rig_advance_answering_holds (rig, 50, "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a crash that counts against a task whose lease had ended in pauses of this process
 * that its session outlasted. */
static void
test_task_beyond_its_lease_is_not_crashed (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  for (int pause = 0; pause < 2; pause++)
    {
      rig->now_ms += 400;
      sidecar_rig_send_pulse (rig, 1);
    }
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
  assert_int_equal (rig->n_crashes[1], 1);
  assert_string_equal (rig->crashed_job_id, "");
  sidecar_rig_advance (rig, 25);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a crash that isn't told because the same incarnation had refused a connection
 * before. */
static void
test_crash_after_a_disproved_one_is_told (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  crash_upstream (rig);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_answer_hold (rig, "job.0.0.0", "");
  rig->hold--;
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
  rig->hold++;
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
  assert_int_equal (rig->n_crashes[1], 2);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

/* Guards against a crash that counts against a task whose stop was acknowledged: it may have ended
 * before. */
static void
test_stopped_task_is_not_crashed (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_message stop = { .proc = AZ_NODE_STOP };

  (void)state;
  stop.az_message_u.node_stop.job = 1;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_received (rig->core, 1, &stop);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  crash_upstream (rig);
  assert_int_equal (rig->n_crashes[1], 1);
  assert_string_equal (rig->crashed_job_id, "");
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_crash_is_told_to_all_gateways_at_once),
    cmocka_unit_test (test_unanswered_start_does_not_count),
    cmocka_unit_test (test_tasks_end_as_crashed_after_their_lease),
    cmocka_unit_test (test_tasks_end_as_crashed_when_the_upstream_is_back),
    cmocka_unit_test (test_silent_upstream_is_no_crash),
    cmocka_unit_test (test_upstream_that_leaves_is_no_crash),
    cmocka_unit_test (test_start_that_was_not_sent_is_not_crashed),
    cmocka_unit_test (test_answer_of_the_incarnation_disproves_the_crash),
    cmocka_unit_test (test_task_beyond_its_lease_is_not_crashed),
    cmocka_unit_test (test_crash_after_a_disproved_one_is_told),
    cmocka_unit_test (test_stopped_task_is_not_crashed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
