#include "entry_fixture.h"
#include "testing.h"
#include <string.h>

/* Guards against an entry that doesn't become ready, and against results in the order in which the
 * tasks finish. */
static void
test_job_runs (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  assert_true (az_entry_core_is_ready (entry->core));
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 2);
  assert_int_equal (test_entry_n_started (entry), 2);
  assert_int_equal (test_entry_count (entry, AZ_START), 1);
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  assert_null (test_entry_answer (entry, 7));
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  assert_int_equal (test_entry_answer (entry, 7)->n_results, 2);
  assert_string_equal (test_entry_answer (entry, 7)->first_result, "result-0");
  test_entry_destroy (entry);
}

/* Guards against a second run of a job that is submitted again while it runs or after its end. */
static void
test_resubmission_gets_same_answer (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 1);
  test_entry_submit (entry, 8, id, 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_submit (entry, 9, id, 1);
  for (uint32_t request = 7; request <= 9; request++)
    {
      test_entry_assert_answer (entry, request, AZ_OUTCOME_DONE, "");
      assert_string_equal (test_entry_answer (entry, request)->first_result, "result-0");
    }
  assert_int_equal (test_entry_n_started (entry), 1);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against an answer with the results of only some tasks: the job fails after one of its
 * tasks has succeeded. */
static void
test_failed_job_has_no_results (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 3);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_finish (entry, 1, AZ_STATUS_FAILED);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_FAILED, "task_failed");
  assert_int_equal (test_entry_answer (entry, 7)->n_results, 0);
  assert_int_equal (test_entry_count (entry, AZ_CANCEL), 1);
  test_entry_finish (entry, 2, AZ_STATUS_OK);
  assert_int_equal (test_entry_counter (entry, "azurerock_wasted_messages_total{cause=\"late\"}"),
                    1);
  test_entry_destroy (entry);
}

/* Guards against assigning a result to the wrong task. The results name another job, come from
 * another agent or arrive a second time. */
static void
test_mismatched_results_are_dropped (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *first = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  const struct az_start_task *task;
  uint32_t connection;
  struct az_result_task result = { .sequence = 1, .status = AZ_STATUS_OK };
  struct az_message message = { .proc = AZ_RESULT };

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_connect_agent (entry, 2, 12, "agent-2");
  test_entry_submit (entry, 7, first, 1);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  message.az_message_u.result.results.results_len = 1;
  message.az_message_u.result.results.results_val = &result;
  task = test_entry_started (entry, 1, &connection);
  result.id = task->id;
  result.id.job = first;
  assert_null (test_entry_receive (entry, connection, &message));
  result.id = task->id;
  assert_null (test_entry_receive (entry, 3 - connection, &message));
  assert_null (test_entry_answer (entry, 7));
  assert_null (test_entry_answer (entry, 8));
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  test_entry_finish (entry, 1, AZ_STATUS_FAILED);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_DONE, "");
  assert_null (test_entry_answer (entry, 7));
  assert_int_equal (
      test_entry_counter (entry, "azurerock_wasted_messages_total{cause=\"duplicate\"}"), 3);
  g_free (first);
  test_entry_destroy (entry);
}

/* Guards against "not run" or "failed" when the deadline passes while a task runs, since the task
 * may still succeed. */
static void
test_deadline_with_open_task_is_unknown (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 1);
  test_entry_advance (entry, 5100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_submit (entry, 8, id, 1);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against "unknown" when the deadline passes and no task was sent, and against a record that
 * keeps the caller from submitting the job again. */
static void
test_deadline_without_start_is_not_run (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit_attempt (entry, 7, id, 1);
  test_entry_advance (entry, 5100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "deadline_passed");
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit_attempt (entry, 8, id, 2);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_DONE, "");
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against running an earlier submission that arrives late, after a later one was answered
 * "not run". A submission with a higher attempt number still runs. */
static void
test_not_run_blocks_earlier_submissions (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit_attempt (entry, 7, id, 3);
  test_entry_advance (entry, 5100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "deadline_passed");
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit_attempt (entry, 8, id, 1);
  test_entry_submit_attempt (entry, 9, id, 3);
  test_entry_submit_attempt (entry, 10, id, 0);
  for (uint32_t request = 8; request <= 10; request++)
    test_entry_assert_answer (entry, request, AZ_OUTCOME_NOT_RUN, "deadline_passed");
  assert_int_equal (test_entry_n_started (entry), 0);
  test_entry_submit_attempt (entry, 11, id, 4);
  assert_int_equal (test_entry_n_started (entry), 1);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against "not run" when the deadline passes after some tasks have finished. */
static void
test_deadline_after_some_tasks_is_failed (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 5);
  for (uint32_t i = 0; i < 4; i++)
    test_entry_finish (entry, i, AZ_STATUS_OK);
  test_entry_advance (entry, 5100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_FAILED, "deadline_passed");
  test_entry_destroy (entry);
}

/* Guards against starting a cancelled job after its caller got the answer "not run". */
static void
test_cancel_before_start_is_not_run (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit (entry, 7, id, 2);
  az_entry_core_cancel (entry->core, 8, id);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "cancelled");
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_NOT_RUN, "cancelled");
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  assert_int_equal (test_entry_n_started (entry), 0);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against one CANCEL per task instead of one per agent, and against an answer before the
 * outcomes of all open tasks are known. */
static void
test_cancel_waits_for_outcomes (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 6);
  az_entry_core_cancel (entry->core, 8, id);
  assert_int_equal (test_entry_count (entry, AZ_CANCEL), 1);
  for (uint32_t i = 0; i < 4; i++)
    {
      assert_null (test_entry_answer (entry, 7));
      test_entry_refuse (entry, i, AZ_REFUSAL_FENCED);
    }
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "cancelled");
  assert_int_equal (test_entry_n_started (entry), 4);
  g_free (id);
  test_entry_destroy (entry);
}

static void
submit_to_service (struct test_entry *entry,
                   uint32_t request,
                   const char *token,
                   const char *team,
                   const char *service,
                   uint32_t n_tasks,
                   uint32_t payload)
{
  static char bytes[2000];
  struct az_job_task tasks[200] = { 0 };
  struct az_submit job = { .job = (char *)test_entry_id (entry, 0, token),
                           .team = (char *)team,
                           .service = (char *)service };

  for (uint32_t i = 0; i < n_tasks; i++)
    tasks[i].payload = (az_payload){ payload, bytes };
  job.tasks.tasks_len = n_tasks;
  job.tasks.tasks_val = tasks;
  az_entry_core_submit (entry->core, request, &job, false);
}

/* Guards against refusing an invalid job only at its deadline, and against wrong error codes. */
static void
test_invalid_jobs_are_refused_in_the_call (void **state)
{
  struct test_entry *entry = test_entry_start ();

  submit_to_service (entry, 1, "short", "t", "s", 1, 1);
  test_entry_assert_answer (entry, 1, AZ_OUTCOME_NOT_RUN, "invalid_request");
  submit_to_service (entry, 2, "abcdefgh", "nobody", "s", 1, 1);
  test_entry_assert_answer (entry, 2, AZ_OUTCOME_NOT_RUN, "unknown_team");
  submit_to_service (entry, 3, "abcdefgh", "t", "nothing", 1, 1);
  test_entry_assert_answer (entry, 3, AZ_OUTCOME_NOT_RUN, "unknown_service");
  submit_to_service (entry, 4, "abcdefgh", "t", "other", 1, 1);
  test_entry_assert_answer (entry, 4, AZ_OUTCOME_NOT_RUN, "team_not_allowed");
  submit_to_service (entry, 5, "abcdefgh", "t", "s", 101, 1);
  test_entry_assert_answer (entry, 5, AZ_OUTCOME_NOT_RUN, "too_many_tasks");
  submit_to_service (entry, 6, "abcdefgh", "t", "s", 1, 1001);
  test_entry_assert_answer (entry, 6, AZ_OUTCOME_NOT_RUN, "payload_too_large");
  submit_to_service (entry, 7, "abcdefgh", "t", "s", 0, 0);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "invalid_request");
  test_entry_submit (entry, 8, test_entry_id (entry, -501, "abcdefgh"), 1);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "id_in_future");
  test_entry_submit (entry, 9, test_entry_id (entry, 30001, "abcdefgh"), 1);
  test_entry_assert_answer (entry, 9, AZ_OUTCOME_NOT_RUN, "id_too_old");
  test_entry_submit (entry, 10, test_entry_id (entry, 60001, "abcdefgh"), 1);
  test_entry_assert_answer (entry, 10, AZ_OUTCOME_UNKNOWN, "answer_expired");
  test_entry_destroy (entry);
}

/* Guards against a queue that exceeds the team's limit of waiting tasks. */
static void
test_full_queue_refuses_jobs (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration fields = { .max_queued = 10 };

  test_entry_configure (entry, &fields);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 10);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_null (test_entry_answer (entry, 7));
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_NOT_RUN, "queue_full");
  test_entry_destroy (entry);
}

/* Guards against accepting a job that, by the observed run times, would miss its deadline. */
static void
test_job_that_would_miss_its_deadline_is_refused (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration fields = { .deadline_ms = 1000 };

  test_entry_configure (entry, &fields);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  for (uint32_t i = 0; i < 20; i++)
    {
      test_entry_submit (entry, 100 + i, test_entry_id (entry, i, "abcdefgh"), 1);
      test_entry_finish (entry, i, AZ_STATUS_OK);
      test_entry_grant (entry, 1, 5000 + i, 1);
    }
  test_entry_advance (entry, 100);
  /* 100 tasks of 100 ms on 4 slots take 2.5 s. */
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "ijklmnop"), 100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "deadline_cannot_be_met");
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "qrstuvwx"), 4);
  assert_null (test_entry_answer (entry, 8));
  test_entry_destroy (entry);
}

/* Guards against an estimate that counts slots which other entries use. The agents have 12 slots,
 * but this entry gets no new grants and runs only one task. */
static void
test_estimate_follows_granted_slots (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration fields = { .deadline_ms = 5000 };

  test_entry_configure (entry, &fields);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  for (uint32_t i = 0; i < 20; i++)
    {
      test_entry_submit (entry, 100 + i, test_entry_id (entry, i, "abcdefgh"), 1);
      test_entry_finish (entry, i, AZ_STATUS_OK);
      if (i > 2)
        test_entry_grant (entry, 1, 5000 + i, 1);
    }
  test_entry_connect_agent (entry, 2, 12, "agent-2");
  test_entry_connect_agent (entry, 3, 13, "agent-3");
  test_entry_advance (entry, 100);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "ijklmnop"), 50);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "qrstuvwx"), 50);
  assert_null (test_entry_answer (entry, 8));
  for (uint32_t i = 0; i < 8; i++)
    test_entry_finish (entry, 20 + i, AZ_STATUS_OK);
  test_entry_advance (entry, 600);
  test_entry_submit (entry, 9, test_entry_id (entry, 0, "yzyzyzyz"), 50);
  test_entry_assert_answer (entry, 9, AZ_OUTCOME_NOT_RUN, "deadline_cannot_be_met");
  test_entry_destroy (entry);
}

/* Guards against using a slot for a job that can't finish before its deadline. */
static void
test_late_job_is_dropped_before_dispatch (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration fields = { .deadline_ms = 1000 };

  test_entry_configure (entry, &fields);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  for (uint32_t i = 0; i < 20; i++)
    {
      test_entry_submit (entry, 100 + i, test_entry_id (entry, i, "abcdefgh"), 1);
      test_entry_finish (entry, i, AZ_STATUS_OK);
      test_entry_grant (entry, 1, 5000 + i, 1);
    }
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "ijklmnop"), 4);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "qrstuvwx"), 1);
  test_entry_advance (entry, 950);
  test_entry_clear_sent (entry);
  test_entry_grant (entry, 1, 6000, 1);
  assert_int_equal (test_entry_n_started (entry), 0);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_NOT_RUN, "deadline_cannot_be_met");
  test_entry_destroy (entry);
}

/* Guards against a fetch that ends the job when its waiting time passes, and against two answers to
 * one request. */
static void
test_fetch_waits_and_returns_pending (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 1);
  az_entry_core_fetch (entry->core, 8, id, 0);
  assert_true (test_entry_answer (entry, 8)->pending);
  az_entry_core_fetch (entry->core, 9, id, 100);
  test_entry_advance (entry, 200);
  assert_true (test_entry_answer (entry, 9)->pending);
  az_entry_core_fetch (entry->core, 10, id, 1000);
  az_entry_core_discard_request (entry->core, 7);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_advance (entry, 2000);
  test_entry_assert_answer (entry, 10, AZ_OUTCOME_DONE, "");
  assert_null (test_entry_answer (entry, 7));
  az_entry_core_fetch (entry->core, 11, id, 0);
  test_entry_assert_answer (entry, 11, AZ_OUTCOME_DONE, "");
  az_entry_core_fetch (entry->core, 12, test_entry_id (entry, 0, "ijklmnop"), 0);
  test_entry_assert_answer (entry, 12, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against a second run of a job whose answer was evicted because of the memory limit. */
static void
test_eviction_under_memory_limit_makes_id_unknown (void **state)
{
  struct az_entry_settings settings;
  struct test_entry *entry;
  struct test_configuration fields = { 0 };
  uint64_t session = TEST_SELF;
  char *id;

  az_entry_settings_init (&settings);
  settings.instance = "entry-500";
  settings.answer_bytes_max = 600;
  entry = test_entry_create_with (&settings);
  test_entry_configure (entry, &fields);
  test_entry_read (entry, &session, 1);
  test_entry_advance (entry, 10);
  test_entry_commit (entry, &session, 1);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  test_entry_submit (entry, 7, id, 1);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  test_entry_submit (entry, 9, id, 1);
  test_entry_assert_answer (entry, 9, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  assert_int_equal (test_entry_n_started (entry), 2);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against answers that are kept for longer than the retention period of the policy. */
static void
test_answer_expires (void **state)
{
  struct test_entry *entry = test_entry_start ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 1);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_advance (entry, 59000);
  test_entry_submit (entry, 8, id, 1);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_DONE, "");
  test_entry_advance (entry, 2000);
  test_entry_submit (entry, 9, id, 1);
  test_entry_assert_answer (entry, 9, AZ_OUTCOME_UNKNOWN, "answer_expired");
  g_free (id);
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_runs),
    cmocka_unit_test (test_resubmission_gets_same_answer),
    cmocka_unit_test (test_failed_job_has_no_results),
    cmocka_unit_test (test_mismatched_results_are_dropped),
    cmocka_unit_test (test_deadline_with_open_task_is_unknown),
    cmocka_unit_test (test_deadline_without_start_is_not_run),
    cmocka_unit_test (test_not_run_blocks_earlier_submissions),
    cmocka_unit_test (test_deadline_after_some_tasks_is_failed),
    cmocka_unit_test (test_cancel_before_start_is_not_run),
    cmocka_unit_test (test_cancel_waits_for_outcomes),
    cmocka_unit_test (test_invalid_jobs_are_refused_in_the_call),
    cmocka_unit_test (test_full_queue_refuses_jobs),
    cmocka_unit_test (test_job_that_would_miss_its_deadline_is_refused),
    cmocka_unit_test (test_estimate_follows_granted_slots),
    cmocka_unit_test (test_late_job_is_dropped_before_dispatch),
    cmocka_unit_test (test_fetch_waits_and_returns_pending),
    cmocka_unit_test (test_eviction_under_memory_limit_makes_id_unknown),
    cmocka_unit_test (test_answer_expires),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
