#include "entry_fixture.h"
#include "testing.h"

/* Starts an entry with one agent on connection 1, and one job whose only task was sent to it. */
static struct test_entry *
start_one_task (void)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  return entry;
}

/* Connects agent-1 again on connection 2, without grants. */
static void
reconnect (struct test_entry *entry, uint64_t incarnation)
{
  struct az_message message = { .proc = AZ_HELLO };
  struct az_hello *hello = &message.az_message_u.hello;

  hello->incarnation = incarnation;
  hello->instance = (char *)"agent-1";
  hello->upstream = (char *)"u";
  hello->domain = (char *)"a";
  hello->slots = 4;
  az_entry_core_connection_opened (entry->core, 2, false, "127.0.0.1:9");
  assert_null (test_entry_receive (entry, 2, &message));
}

/* Guards against losing a task that an agent refuses, and against using an attempt number twice. */
static void
test_refused_task_is_sent_again (void **state)
{
  struct test_entry *entry = start_one_task ();
  uint32_t connection;
  uint32_t first = test_entry_started (entry, 0, &connection)->id.attempt;

  test_entry_refuse (entry, 0, AZ_REFUSAL_GRANT);
  test_entry_advance (entry, 20);
  assert_int_equal (test_entry_n_started (entry), 2);
  assert_int_not_equal (test_entry_started (entry, 1, &connection)->id.attempt, first);
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  test_entry_destroy (entry);
}

/* Guards against a series of STARTs to an agent that refuses them because its evidence is old. */
static void
test_lasting_refusal_pauses_the_agent (void **state)
{
  struct test_entry *entry = start_one_task ();

  test_entry_refuse (entry, 0, AZ_REFUSAL_EVIDENCE);
  test_entry_advance (entry, 50);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_advance (entry, 250);
  assert_int_equal (test_entry_n_started (entry), 2);
  test_entry_destroy (entry);
}

/* Guards against retries that amplify a burst. While no new tasks start, the retry budget is 10 per
 * second. */
static void
test_retries_are_bounded (void **state)
{
  struct test_entry *entry = test_entry_start ();
  uint32_t refused = 0;

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  for (int i = 0; i < 50; i++)
    {
      if (refused < test_entry_n_started (entry))
        test_entry_refuse (entry, refused++, AZ_REFUSAL_GRANT);
      test_entry_grant (entry, 1, 7000 + (uint32_t)i, 1);
      test_entry_advance (entry, 10);
    }
  assert_in_range (test_entry_n_started (entry), 10, 13);
  test_entry_destroy (entry);
}

/* Guards against "not run" or a second start when the agent refuses a START because it already has
 * a record of the task. */
static void
test_duplicate_refusal_makes_outcome_unknown (void **state)
{
  struct test_entry *entry = start_one_task ();

  test_entry_refuse (entry, 0, AZ_REFUSAL_DUPLICATE);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_advance (entry, 1000);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_destroy (entry);
}

/* Guards against starting a task at another agent while its first agent is disconnected and may
 * still run it. */
static void
test_open_attempts_are_queried_after_reconnection (void **state)
{
  struct test_entry *entry = start_one_task ();

  az_entry_core_connection_closed (entry->core, 1);
  test_entry_connect_agent (entry, 3, 13, "agent-3");
  test_entry_advance (entry, 500);
  assert_int_equal (test_entry_n_started (entry), 1);
  reconnect (entry, 11);
  assert_int_equal (test_entry_count (entry, AZ_QUERY), 1);
  test_entry_send_fate (entry, 0, 2, AZ_STATUS_RUNNING);
  test_entry_advance (entry, 100);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_send_fate (entry, 0, 2, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  assert_string_equal (test_entry_answer (entry, 7)->first_result, "fate");
  test_entry_destroy (entry);
}

/* Guards against losing a task whose agent reconnects and reports that it has not started it. */
static void
test_fenced_task_runs_at_another_agent (void **state)
{
  struct test_entry *entry = start_one_task ();

  az_entry_core_connection_closed (entry->core, 1);
  test_entry_connect_agent (entry, 3, 13, "agent-3");
  reconnect (entry, 11);
  test_entry_send_fate (entry, 0, 2, AZ_STATUS_NOT_STARTED);
  test_entry_advance (entry, 20);
  assert_int_equal (test_entry_n_started (entry), 2);
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  test_entry_destroy (entry);
}

/* Guards against a second run of a task whose agent was restarted with a new incarnation. */
static void
test_restarted_agent_makes_outcome_unknown (void **state)
{
  struct test_entry *entry = start_one_task ();

  reconnect (entry, 99);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_grant (entry, 2, 9000, 4);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_destroy (entry);
}

static struct az_message
heartbeat_message (void)
{
  struct az_message message = { .proc = AZ_HEARTBEAT };

  message.az_message_u.heartbeat.sent_ns = 77;
  return message;
}

/* Guards against sending tasks to an agent whose heartbeats have stopped, and against still
 * suspecting the agent after its next heartbeat. */
static void
test_silent_agent_is_suspected (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct az_message heartbeat = heartbeat_message ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_advance (entry, 4000);
  test_entry_grant (entry, 1, 2000, 4);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  test_entry_advance (entry, 2300);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  assert_null (test_entry_answer (entry, 7));
  assert_null (test_entry_receive (entry, 1, &heartbeat));
  az_entry_core_flush (entry->core);
  assert_int_equal (test_entry_n_started (entry), 2);
  test_entry_destroy (entry);
}

/* Guards against a HEARTBEAT_ACK that an agent can't match to its heartbeat because it doesn't
 * carry the send time of that heartbeat. Guards also against a finite evidence age from an entry
 * without evidence, by which the agent would take its own state for recent. */
static void
test_heartbeat_is_answered_with_age (void **state)
{
  struct test_entry *entry = test_entry_create ();
  struct az_message heartbeat = heartbeat_message ();
  const struct az_heartbeat_ack *ack;

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  assert_null (test_entry_receive (entry, 1, &heartbeat));
  ack = &test_entry_last (entry, AZ_HEARTBEAT_ACK)->message.az_message_u.heartbeat_ack;
  assert_int_equal (ack->sent_ns, 77);
  assert_int_equal (ack->evidence_age_ms, UINT32_MAX);
  test_entry_destroy (entry);
}

/* Guards against starting tasks in a withdrawn domain, and against sending VIEW only after the next
 * heartbeat. */
static void
test_withdrawal_is_pushed_and_stops_dispatch (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration withdrawn = { .withdrawn = true };
  struct test_configuration restored = { 0 };

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_clear_sent (entry);
  test_entry_configure (entry, &withdrawn);
  assert_int_equal (test_entry_count (entry, AZ_VIEW), 1);
  assert_false (test_entry_last (entry, AZ_VIEW)->message.az_message_u.view.in_service);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  test_entry_grant (entry, 1, 3000, 1);
  test_entry_advance (entry, 100);
  assert_int_equal (test_entry_n_started (entry), 0);
  test_entry_configure (entry, &restored);
  az_entry_core_flush (entry->core);
  assert_true (test_entry_last (entry, AZ_VIEW)->message.az_message_u.view.in_service);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_destroy (entry);
}

/* Guards against sending tasks to an agent that fails all of them while other agents succeed. */
static void
test_failing_agent_is_ejected_and_probed (void **state)
{
  struct test_entry *entry = test_entry_start ();
  uint32_t connection;

  for (uint32_t i = 1; i <= 4; i++)
    test_entry_connect_agent (entry, i, 10 + i, (const char *[]){ "a1", "a2", "a3", "a4" }[i - 1]);
  for (uint32_t i = 0; i < 60; i++)
    {
      test_entry_submit (entry, 100 + i, test_entry_id (entry, (int64_t)i - 100, "abcdefgh"), 1);
      assert_non_null (test_entry_started (entry, i, &connection));
      test_entry_finish (entry, i, connection == 1 ? AZ_STATUS_FAILED : AZ_STATUS_OK);
      test_entry_grant (entry, connection, 50000 + i, 1);
    }
  test_entry_clear_sent (entry);
  for (uint32_t i = 0; i < 12; i++)
    {
      test_entry_submit (entry, 200 + i, test_entry_id (entry, (int64_t)i - 100, "ijklmnop"), 1);
      assert_non_null (test_entry_started (entry, i, &connection));
      assert_int_not_equal (connection, 1);
    }
  /* All other grants are in use. After one second, one task may be sent as a probe. */
  test_entry_advance (entry, 1200);
  test_entry_submit (entry, 300, test_entry_id (entry, 0, "qrstuvwx"), 2);
  assert_int_equal (test_entry_n_started (entry), 13);
  assert_non_null (test_entry_started (entry, 12, &connection));
  assert_int_equal (connection, 1);
  test_entry_destroy (entry);
}

static void
submit_to_service (struct test_entry *entry,
                   uint32_t request,
                   const char *token,
                   const char *service)
{
  struct az_job_task task = { .payload = { 4, (char *)"work" } };
  struct az_submit job = { .job = (char *)test_entry_id (entry, 0, token),
                           .team = (char *)"t",
                           .service = (char *)service,
                           .tasks = { 1, &task } };

  az_entry_core_submit (entry->core, request, &job, false);
  az_entry_core_flush (entry->core);
}

/* Guards against ejecting the agents of an upstream that fails all tasks because the agents of
 * another upstream succeed. */
static void
test_agents_are_compared_within_their_upstream (void **state)
{
  struct test_entry *entry = test_entry_start ();
  uint32_t connection;
  uint32_t started = 0;

  for (uint32_t i = 1; i <= 4; i++)
    test_entry_connect_agent_for (
        entry, i, 10 + i, (const char *[]){ "a1", "a2", "a3", "a4" }[i - 1], i > 2 ? "v" : "u");
  for (uint32_t i = 0; i < 80; i++)
    {
      char token[16];

      g_snprintf (token, sizeof token, "token%03u", i);
      submit_to_service (entry, 100 + i, token, i % 2 ? "w" : "s");
      assert_non_null (test_entry_started (entry, started, &connection));
      test_entry_finish (entry, started++, connection > 2 ? AZ_STATUS_FAILED : AZ_STATUS_OK);
      test_entry_grant (entry, connection, 50000 + i, 1);
    }
  test_entry_advance (entry, 100);
  assert_int_equal (test_entry_counter (entry, "azurerock_agents_ejected"), 0);
  test_entry_destroy (entry);
}

/* Guards against using grants that were recalled by the agent or have expired. */
static void
test_recalled_and_expired_grants_are_not_used (void **state)
{
  struct test_entry *entry = test_entry_start ();
  u_quad_t ids[] = { 1000, 1001, 1002, 4711 };
  struct az_message recall = { .proc = AZ_RECALL };

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  recall.az_message_u.recall.ids.ids_len = 4;
  recall.az_message_u.recall.ids.ids_val = ids;
  assert_null (test_entry_receive (entry, 1, &recall));
  assert_int_equal (test_entry_last (entry, AZ_RETURN)->message.az_message_u.returned.ids.ids_len,
                    3);
  test_entry_advance (entry, 4800);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  assert_int_equal (test_entry_n_started (entry), 0);
  test_entry_destroy (entry);
}

/* Guards against counting a renewed grant as a new one when the agent sent the renewal before it
 * received the START that uses the grant. */
static void
test_renewal_of_used_grant_is_ignored (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 4);
  test_entry_grant (entry, 1, 1000, 4);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_int_equal (test_entry_n_started (entry), 4);
  test_entry_destroy (entry);
}

/* Guards against one DEMAND per waiting job, which is more messages than the jobs need. */
static void
test_demand_messages_are_bounded (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 4);
  test_entry_clear_sent (entry);
  for (uint32_t i = 0; i < 10; i++)
    test_entry_submit (entry, 100 + i, test_entry_id (entry, i, "ijklmnop"), 1);
  /* DEMAND is sent at 1, 2, 4 and 8 waiting tasks. */
  assert_int_equal (test_entry_count (entry, AZ_DEMAND), 4);
  test_entry_advance (entry, 900);
  assert_int_equal (test_entry_count (entry, AZ_DEMAND), 4);
  test_entry_advance (entry, 200);
  assert_int_equal (test_entry_count (entry, AZ_DEMAND), 5);
  test_entry_destroy (entry);
}

/* Guards against one waiting task that makes every agent recall a grant from another entry. */
static void
test_demand_goes_to_few_agents_first (void **state)
{
  struct test_entry *entry = test_entry_start ();

  for (uint32_t i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      test_entry_connect_agent (entry, 1 + i, 11 + i, name);
    }
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 32);
  assert_int_equal (test_entry_n_started (entry), 32);
  test_entry_clear_sent (entry);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_int_equal (test_entry_count (entry, AZ_DEMAND), 3);
  test_entry_advance (entry, 30);
  assert_int_equal (test_entry_count (entry, AZ_DEMAND), 8);
  test_entry_destroy (entry);
}

/* Guards against running more tasks of a team than its quota allows. */
static void
test_quota_limits_running_tasks (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct test_configuration fields = { .quota = 2 };

  test_entry_configure (entry, &fields);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 4);
  assert_int_equal (test_entry_n_started (entry), 2);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  assert_int_equal (test_entry_n_started (entry), 3);
  test_entry_destroy (entry);
}

/* Guards against processing messages of a sender that has not identified itself. */
static void
test_unidentified_connection_is_closed (void **state)
{
  struct test_entry *entry = test_entry_start ();
  struct az_message heartbeat = heartbeat_message ();

  az_entry_core_connection_opened (entry->core, 5, false, "127.0.0.1:9");
  assert_non_null (test_entry_receive (entry, 5, &heartbeat));
  assert_non_null (test_entry_receive (entry, 6, &heartbeat));
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refused_task_is_sent_again),
    cmocka_unit_test (test_lasting_refusal_pauses_the_agent),
    cmocka_unit_test (test_retries_are_bounded),
    cmocka_unit_test (test_duplicate_refusal_makes_outcome_unknown),
    cmocka_unit_test (test_open_attempts_are_queried_after_reconnection),
    cmocka_unit_test (test_fenced_task_runs_at_another_agent),
    cmocka_unit_test (test_restarted_agent_makes_outcome_unknown),
    cmocka_unit_test (test_silent_agent_is_suspected),
    cmocka_unit_test (test_heartbeat_is_answered_with_age),
    cmocka_unit_test (test_withdrawal_is_pushed_and_stops_dispatch),
    cmocka_unit_test (test_failing_agent_is_ejected_and_probed),
    cmocka_unit_test (test_agents_are_compared_within_their_upstream),
    cmocka_unit_test (test_recalled_and_expired_grants_are_not_used),
    cmocka_unit_test (test_renewal_of_used_grant_is_ignored),
    cmocka_unit_test (test_demand_messages_are_bounded),
    cmocka_unit_test (test_demand_goes_to_few_agents_first),
    cmocka_unit_test (test_quota_limits_running_tasks),
    cmocka_unit_test (test_unidentified_connection_is_closed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
