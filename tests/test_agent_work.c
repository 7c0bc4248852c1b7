#include "agent_rig.h"
#include "testing.h"

static int
create_ready (void **state)
{
  *state = rig_create_ready ();
  return 0;
}

static int
destroy_rig (void **state)
{
  rig_destroy (*state);
  return 0;
}

static uint32_t
n_held_grants (struct rig *rig, uint32_t connection)
{
  return g_queue_get_length (&rig->grants[connection]);
}

static const struct az_result *
last_result (struct rig *rig, uint32_t connection)
{
  const struct az_message *message = rig_last (rig, connection, AZ_RESULT);

  return message ? &message->az_message_u.result : NULL;
}

static void
return_recalled (struct rig *rig, uint32_t connection)
{
  const struct az_message *recall = rig_last (rig, connection, AZ_RECALL);
  struct az_message message = { .proc = AZ_RETURN };

  assert_non_null (recall);
  message.az_message_u.returned = recall->az_message_u.recall;
  rig_receive (rig, connection, &message);
  rig_flush (rig);
}

/* Guards against an entry that connected first and keeps all slots when another one connects. */
static void
test_slots_are_spread (void **state)
{
  struct rig *rig = *state;
  guint used;

  if (rig_last (rig, RIG_A, AZ_RECALL))
    return_recalled (rig, RIG_A);
  used = n_held_grants (rig, RIG_A) + n_held_grants (rig, RIG_B);
  assert_int_equal (used, RIG_SLOTS);
  assert_true (n_held_grants (rig, RIG_B) >= 1);
}

/* Guards against a start with a grant that has expired while heartbeats were not acknowledged. */
static void
test_expired_grant_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  rig->silent = ~0u;
  rig_advance (rig, 5200);
  rig->silent = 0;
  rig_advance (rig, 800);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, grant), AZ_REFUSAL_GRANT);
}

/* Guards against a start with a grant that was recalled and returned, so that its slot is granted
 * to another entry. */
static void
test_returned_grant_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t id;

  rig_demand (rig, RIG_B, 8, 100);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RECALL), 1);
  id = rig_last (rig, RIG_A, AZ_RECALL)->az_message_u.recall.ids.ids_val[0];
  return_recalled (rig, RIG_A);
  assert_true (n_held_grants (rig, RIG_B) > RIG_SLOTS / 2);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, id), AZ_REFUSAL_GRANT);
}

/* Guards against the refusal of a START whose grant was recalled while the START was in transit. */
static void
test_recalled_grant_is_valid_until_returned (void **state)
{
  struct rig *rig = *state;
  uint64_t id;

  rig_demand (rig, RIG_B, 8, 100);
  id = rig_last (rig, RIG_A, AZ_RECALL)->az_message_u.recall.ids.ids_val[0];
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, id), RIG_NO_REFUSAL);
}

/* Guards against recalls that take all grants of other entries for a few waiting tasks: only half
 * of the unmet demand is recalled, and the recall is not repeated. */
static void
test_recall_is_half_of_the_demand (void **state)
{
  struct rig *rig = *state;

  rig_demand (rig, RIG_B, n_held_grants (rig, RIG_B) + 4, 0);
  assert_int_equal (rig_last (rig, RIG_A, AZ_RECALL)->az_message_u.recall.ids.ids_len, 2);
  rig_advance (rig, 100);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RECALL), 1);
}

/* Guards against a third message per task, next to START and RESULT, in steady state: grants are
 * sent and renewed with results. */
static void
test_two_messages_per_task (void **state)
{
  struct rig *rig = *state;
  uint32_t n_sent = 0;

  for (uint32_t task = 0; task < 200; task++)
    {
      rig_start (rig, RIG_A, task, 0, rig_take_grant (rig, RIG_A));
      rig_advance (rig, 20);
      rig_finish (rig, task, AZ_STATUS_OK);
      rig_flush (rig);
      rig_acknowledge (rig, RIG_A, task + 1);
    }
  n_sent = rig_count (rig, RIG_A, AZ_RESULT) + rig_count (rig, RIG_A, AZ_GRANT)
           + rig_count (rig, RIG_A, AZ_RECALL);
  assert_int_equal (rig->started->len, 200);
  assert_true (n_sent <= 204);
}

/* Guards against a freed slot that is granted again to the entry that used it, although the tasks
 * of another entry have waited longer. */
static void
test_freed_slot_goes_to_the_older_demand (void **state)
{
  struct rig *rig = *state;
  uint32_t n_held;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  n_held = n_held_grants (rig, RIG_B);
  rig_demand (rig, RIG_A, 100, 10);
  rig_demand (rig, RIG_B, 100, 500);
  rig_finish (rig, 0, AZ_STATUS_OK);
  rig_flush (rig);
  assert_int_equal (last_result (rig, RIG_A)->grants.grants_len, 0);
  assert_int_equal (n_held_grants (rig, RIG_B), n_held + 1);
}

/* Guards against a separate message for each of several tasks that finish together. */
static void
test_results_share_a_message (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_start (rig, RIG_A, 1, 0, rig_take_grant (rig, RIG_A));
  rig_finish (rig, 0, AZ_STATUS_OK);
  rig_finish (rig, 1, AZ_STATUS_FAILED);
  rig_flush (rig);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RESULT), 1);
  assert_int_equal (last_result (rig, RIG_A)->results.results_len, 2);
  assert_int_equal (last_result (rig, RIG_A)->results.results_val[1].status, AZ_STATUS_FAILED);
}

/* Guards against the loss of a result that was sent on a connection that then closed. It is sent
 * again on the next connection until it is acknowledged. */
static void
test_lost_result_is_sent_again (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_finish (rig, 0, AZ_STATUS_OK);
  rig_flush (rig);
  az_agent_core_connection_closed (rig->core, RIG_A);
  rig_clear (rig);
  rig_open (rig, RIG_A, "127.0.0.1:7001");
  rig_welcome (rig, RIG_A, 101);
  rig_flush (rig);
  assert_int_equal (last_result (rig, RIG_A)->results.results_len, 1);
  rig_acknowledge (rig, RIG_A, 1);
  az_agent_core_connection_closed (rig->core, RIG_A);
  rig_clear (rig);
  rig_open (rig, RIG_A, "127.0.0.1:7001");
  rig_welcome (rig, RIG_A, 101);
  rig_flush (rig);
  assert_null (last_result (rig, RIG_A));
}

/* Guards against a false "not started", and so a second start, when an entry reconnects and sends a
 * QUERY after its results have been dropped. */
static void
test_dropped_record_is_unknown (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_finish (rig, 0, AZ_STATUS_OK);
  az_agent_core_connection_closed (rig->core, RIG_A);
  rig->incarnation_a = 103;
  rig_table (rig, RIG_B, 102);
  rig_advance (rig, 31000);
  rig_open (rig, RIG_A, "127.0.0.1:7001");
  rig_welcome (rig, RIG_A, 101);
  assert_int_equal (rig_query (rig, RIG_A, 0, 0), AZ_STATUS_UNKNOWN);
  assert_int_equal (rig_query (rig, RIG_B, 1, 0), AZ_STATUS_NOT_STARTED);
}

/* Guards against a task that never reached the upstream, but is recorded as run and can't be
 * started again. */
static void
test_not_started_leaves_no_record (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_finish (rig, 0, AZ_STATUS_NOT_STARTED);
  rig_flush (rig);
  assert_int_equal (
      rig_last (rig, RIG_A, AZ_REFUSED)->az_message_u.refused.tasks.tasks_val[0].reason,
      AZ_REFUSAL_UPSTREAM);
  assert_null (last_result (rig, RIG_A));
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
}

/* Guards against a task that runs forever and so blocks its slot and its job. */
static void
test_task_timeout_cancels_task (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_advance (rig, 2000);
  assert_int_equal (rig->cancelled->len, 0);
  rig_advance (rig, 60);
  assert_int_equal (rig->cancelled->len, 1);
  rig_finish (rig, 0, AZ_STATUS_UNKNOWN);
  rig_flush (rig);
  assert_int_equal (last_result (rig, RIG_A)->results.results_val[0].status, AZ_STATUS_FAILED);
}

/* Guards against grants, and starts with earlier grants, while the upstream is unhealthy, for
 * example because it refuses connections. */
static void
test_unhealthy_upstream_stops_grants (void **state)
{
  struct rig *rig = *state;

  az_agent_core_set_upstream_healthy (rig->core, false);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RECALL), 1);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_GRANT);
  rig_clear (rig);
  rig_advance (rig, 1000);
  assert_int_equal (rig_count (rig, RIG_A, AZ_GRANT), 0);
  az_agent_core_set_upstream_healthy (rig->core, true);
  rig_flush (rig);
  assert_true (rig_count (rig, RIG_A, AZ_GRANT) == 1);
}

/* Guards against full load on a cold upstream right after its return to service, and against slots
 * that stay unused after the ramp. */
static void
test_return_to_service_ramps_up (void **state)
{
  struct rig *rig = *state;

  rig_view (rig, RIG_A, 2, false);
  rig_advance (rig, 1000);
  g_queue_clear (&rig->grants[RIG_A]);
  g_queue_clear (&rig->grants[RIG_B]);
  rig_view (rig, RIG_A, 3, true);
  rig_advance (rig, 400);
  assert_int_equal (n_held_grants (rig, RIG_A) + n_held_grants (rig, RIG_B), RIG_SLOTS / 2);
  rig_advance (rig, 200);
  assert_int_equal (n_held_grants (rig, RIG_A) + n_held_grants (rig, RIG_B), RIG_SLOTS);
}

/* Guards against a new owner of a partition that does not learn which tasks the previous owner has
 * started and which have finished. */
static void
test_recovery_records (void **state)
{
  struct rig *rig = *state;
  struct az_message message = { .proc = AZ_RECOVER };
  const struct az_records *records;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  rig_start (rig, RIG_A, 1, 0, rig_take_grant (rig, RIG_A));
  rig_finish (rig, 0, AZ_STATUS_OK);
  message.az_message_u.recover.partitions = UINT64_MAX;
  rig_receive (rig, RIG_B, &message);
  records = &rig_last (rig, RIG_B, AZ_RECORDS)->az_message_u.records;
  assert_true (records->complete);
  assert_int_equal (records->records.records_len, 2);
  assert_int_equal (records->records.records_val[0].job_tasks, 10);
  message.az_message_u.recover.partitions = 0;
  rig_receive (rig, RIG_B, &message);
  records = &rig_last (rig, RIG_B, AZ_RECORDS)->az_message_u.records;
  assert_int_equal (records->records.records_len, 0);
}

static uint64_t
record_bytes (const struct rig *rig)
{
  return az_counters_get (rig->counters,
                          az_counters_register (rig->counters, "azurerock_agent_record_bytes", ""));
}

/* Guards against unbounded memory: acknowledged results are evicted, whereas unacknowledged ones
 * are kept and stop further grants when they reach the limit. */
static void
test_record_memory_is_bounded (void **state)
{
  struct rig *rig = *state;
  uint32_t task = 0;
  uint64_t grant;

  for (; task < 200; task++)
    {
      rig_start (rig, RIG_A, task, 0, rig_take_grant (rig, RIG_A));
      rig_finish (rig, task, AZ_STATUS_OK);
      rig_flush (rig);
      rig_acknowledge (rig, RIG_A, task + 1);
    }
  rig_advance (rig, 20);
  assert_true (record_bytes (rig) <= 20000);
  while ((grant = rig_take_grant (rig, RIG_A)) && task < 1000)
    {
      rig_start (rig, RIG_A, task, 0, grant);
      rig_finish (rig, task++, AZ_STATUS_OK);
      rig_flush (rig);
    }
  assert_true (task < 500);
  assert_int_equal (rig_query (rig, RIG_A, 200, 0), AZ_STATUS_OK);
  rig_acknowledge (rig, RIG_A, task);
  rig_advance (rig, 20);
  assert_true (rig_take_grant (rig, RIG_A) != 0);
}

/* Guards against a closed connection that is not opened again, connection attempts without
 * back-off, and a connection that is kept although heartbeats on it are not acknowledged. */
static void
test_reconnect_and_unresponsive_connection (void **state)
{
  struct rig *rig = *state;

  az_agent_core_connection_closed (rig->core, RIG_B);
  assert_int_equal (rig->connects->len, 0);
  rig_advance (rig, 120);
  assert_int_equal (rig->connects->len, 1);
  assert_string_equal (rig->connects->pdata[0], "127.0.0.1:7002");
  for (uint32_t i = 0; i < 4; i++)
    {
      az_agent_core_connect_failed (rig->core, "127.0.0.1:7002");
      rig_advance (rig, 20);
    }
  assert_int_equal (rig->connects->len, 1);
  rig->silent = ~0u;
  rig_advance (rig, 10000);
  assert_int_equal (g_array_index (rig->closed, uint32_t, 0), RIG_A);
}

#define RIG_TEST(test) cmocka_unit_test_setup_teardown (test, create_ready, destroy_rig)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    RIG_TEST (test_slots_are_spread),
    RIG_TEST (test_expired_grant_is_refused),
    RIG_TEST (test_returned_grant_is_refused),
    RIG_TEST (test_recalled_grant_is_valid_until_returned),
    RIG_TEST (test_recall_is_half_of_the_demand),
    RIG_TEST (test_two_messages_per_task),
    RIG_TEST (test_freed_slot_goes_to_the_older_demand),
    RIG_TEST (test_results_share_a_message),
    RIG_TEST (test_lost_result_is_sent_again),
    RIG_TEST (test_dropped_record_is_unknown),
    RIG_TEST (test_not_started_leaves_no_record),
    RIG_TEST (test_task_timeout_cancels_task),
    RIG_TEST (test_unhealthy_upstream_stops_grants),
    RIG_TEST (test_return_to_service_ramps_up),
    RIG_TEST (test_recovery_records),
    RIG_TEST (test_record_memory_is_bounded),
    RIG_TEST (test_reconnect_and_unresponsive_connection),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
