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

/* Guards against added latency: a START that meets all start conditions, which src/agent/start.c
 * numbers, must start its task at once, not at a later event. */
static void
test_start_is_immediate (void **state)
{
  struct rig *rig = *state;

  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
  assert_int_equal (rig->started->len, 1);
}

/* Guards against more running tasks than slots: a START without a valid grant, or with one that is
 * already used, is refused (start condition 1: valid grant). */
static void
test_unknown_grant_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  assert_int_equal (rig_start (rig, RIG_A, 0, 0, 99), AZ_REFUSAL_GRANT);
  assert_int_equal (rig_start (rig, RIG_A, 1, 0, grant), RIG_NO_REFUSAL);
  assert_int_equal (rig_start (rig, RIG_A, 2, 0, grant), AZ_REFUSAL_GRANT);
  assert_int_equal (rig->started->len, 1);
}

/* Guards against an entry that uses a slot reserved for another one (start condition 1: valid
 * grant). */
static void
test_grant_of_another_entry_is_refused (void **state)
{
  struct rig *rig = *state;

  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_B)), AZ_REFUSAL_GRANT);
}

/* Guards against a task that two entries start: only the owner of the job id may send START, also
 * after a change of the owner (start condition 2: ownership of the id). */
static void
test_start_by_other_owner_is_refused (void **state)
{
  struct rig *rig = *state;

  assert_int_equal (rig_start (rig, RIG_B, 0, 0, rig_take_grant (rig, RIG_B)), AZ_REFUSAL_OWNER);
  rig_table (rig, RIG_A, 102);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_OWNER);
  assert_int_equal (rig_start (rig, RIG_B, 0, 0, rig_take_grant (rig, RIG_B)), RIG_NO_REFUSAL);
}

/* Guards against a start on a stale configuration or owner table, after heartbeats have not been
 * acknowledged for longer than the freshness limit (start condition 3: recent evidence). */
static void
test_start_on_old_evidence_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t grant;

  rig->silent = ~0u;
  rig_advance (rig, 2700);
  grant = rig_take_grant (rig, RIG_A);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, grant), AZ_REFUSAL_EVIDENCE);
}

/* Guards against a start on a stale configuration: an acknowledgement by an entry with a newer
 * revision does not prove that the agent's revision is the newest (start condition 3: recent
 * evidence). */
static void
test_evidence_from_newer_revision_is_ignored (void **state)
{
  struct rig *rig = *state;

  rig->revision = 2;
  rig_advance (rig, 2700);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_EVIDENCE);
  rig_view (rig, RIG_A, 2, true);
  rig_advance (rig, 800);
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
}

/* Guards against a process that is suspended and, after it resumes, starts a task on evidence from
 * before the suspension (start condition 3: recent evidence). */
static void
test_start_after_freeze_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  rig_freeze (rig, 2600);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, grant), AZ_REFUSAL_EVIDENCE);
  rig_advance (rig, 200);
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
}

/* Guards against a heartbeat acknowledgement that is read late, because the process was suspended,
 * and counts as recent evidence that the configuration is the newest (start condition 3: recent
 * evidence). */
static void
test_delayed_acknowledgement_is_old_evidence (void **state)
{
  struct rig *rig = *state;
  struct az_message ack = { .proc = AZ_HEARTBEAT_ACK };

  ack.az_message_u.heartbeat_ack.sent_ns = (uint64_t)rig->now_ns;
  ack.az_message_u.heartbeat_ack.revision = 1;
  ack.az_message_u.heartbeat_ack.table_version = 1;
  rig_freeze (rig, 2600);
  rig_receive (rig, RIG_A, &ack);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_EVIDENCE);
}

/* Guards against a start in a withdrawn domain with a grant from before the withdrawal, and against
 * an older VIEW that reverts the withdrawal (start condition 4: domain in service). */
static void
test_start_in_withdrawn_domain_is_refused (void **state)
{
  struct rig *rig = *state;

  rig_view (rig, RIG_A, 2, false);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RECALL), 1);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)),
                    AZ_REFUSAL_WITHDRAWN);
  rig_view (rig, RIG_B, 1, true);
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)),
                    AZ_REFUSAL_WITHDRAWN);
}

/* Guards against a stopping agent that starts tasks (start condition 4: agent not stopping), or
 * that exits before its results are acknowledged and so loses them. */
static void
test_drain_waits_for_acknowledgement (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  az_agent_core_stop (rig->core);
  assert_int_equal (rig_start (rig, RIG_A, 1, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_STOPPING);
  assert_false (az_agent_core_is_drained (rig->core));
  rig_finish (rig, 0, AZ_STATUS_OK);
  rig_flush (rig);
  assert_false (az_agent_core_is_drained (rig->core));
  rig_acknowledge (rig, RIG_A, 1);
  assert_true (az_agent_core_is_drained (rig->core));
}

/* Guards against a stopping agent that waits forever for the acknowledgement of a dead entry. */
static void
test_drain_with_a_dead_entry (void **state)
{
  struct rig *rig = *state;

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  az_agent_core_stop (rig->core);
  rig_finish (rig, 0, AZ_STATUS_OK);
  az_agent_core_connection_closed (rig->core, RIG_A);
  rig_advance (rig, 1000);
  assert_false (az_agent_core_is_drained (rig->core));
  rig_advance (rig, 10000);
  assert_true (az_agent_core_is_drained (rig->core));
}

/* Guards against a start after the deadline, when the caller does not wait any more (start
 * condition 5: deadline). */
static void
test_start_after_deadline_is_refused (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  assert_int_equal (rig_start_job (rig, RIG_A, RIG_JOB, 0, 0, grant, 0), AZ_REFUSAL_DEADLINE);
}

/* Guards against an agent that runs a task whose START waited in the socket past the deadline while
 * the agent was suspended. The agent's evidence of freshness may still be recent enough then, so
 * that only start condition 5 (deadline) refuses the task. */
static void
test_start_deadline_includes_freeze (void **state)
{
  struct rig *rig = *state;

  rig_freeze (rig, 1000);
  assert_int_equal (rig_start_job (rig, RIG_A, RIG_JOB, 0, 0, rig_take_grant (rig, RIG_A), 800),
                    AZ_REFUSAL_DEADLINE);
  az_agent_core_tick (rig->core);
  assert_int_equal (rig_start_job (rig, RIG_A, RIG_JOB, 0, 1, rig_take_grant (rig, RIG_A), 800),
                    AZ_REFUSAL_DEADLINE);
  rig_advance (rig, 40);
  assert_int_equal (rig_start_job (rig, RIG_A, RIG_JOB, 0, 2, rig_take_grant (rig, RIG_A), 800),
                    RIG_NO_REFUSAL);
}

/* Guards against a task that starts twice (start condition 6: no record and no fence). A repeated
 * START of the same attempt must not be refused either, since REFUSED means that the attempt has
 * not started. */
static void
test_duplicate_start_runs_once (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  rig_start (rig, RIG_A, 0, 0, grant);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, grant), RIG_NO_REFUSAL);
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)),
                    AZ_REFUSAL_DUPLICATE);
  assert_int_equal (rig->started->len, 1);
  rig_finish (rig, 0, AZ_STATUS_OK);
  rig_flush (rig);
  rig_start (rig, RIG_A, 0, 0, grant);
  assert_int_equal (rig_count (rig, RIG_A, AZ_RESULT), 2);
  assert_int_equal (rig->started->len, 1);
}

/* Guards against a START that arrives after the agent has replied "not started" to a QUERY for the
 * same attempt, and starts the task twice (start condition 6: no record and no fence). */
static void
test_query_fences_a_start (void **state)
{
  struct rig *rig = *state;

  assert_int_equal (rig_query (rig, RIG_A, 0, 0), AZ_STATUS_NOT_STARTED);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_FENCED);
  assert_int_equal (rig_start (rig, RIG_A, 0, 1, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
  assert_int_equal (rig_query (rig, RIG_A, 0, 1), AZ_STATUS_RUNNING);
  rig_finish (rig, 0, AZ_STATUS_FAILED);
  assert_int_equal (rig_query (rig, RIG_A, 0, 1), AZ_STATUS_FAILED);
}

/* Guards against tasks that run on or start after their job has been cancelled (start condition 6:
 * no record and no fence). */
static void
test_cancelled_job_is_stopped (void **state)
{
  struct rig *rig = *state;
  struct az_message message = { .proc = AZ_CANCEL };

  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  message.az_message_u.cancel.job = RIG_JOB;
  rig_receive (rig, RIG_A, &message);
  assert_int_equal (rig->cancelled->len, 1);
  assert_int_equal (rig_start (rig, RIG_A, 1, 0, rig_take_grant (rig, RIG_A)), AZ_REFUSAL_FENCED);
}

/* Guards against a START that was unread when its connection was replaced and is processed later.
 */
static void
test_start_on_closed_connection_is_ignored (void **state)
{
  struct rig *rig = *state;
  uint64_t grant = rig_take_grant (rig, RIG_A);

  rig_open (rig, 3, "127.0.0.1:7001");
  assert_int_equal (g_array_index (rig->closed, uint32_t, 0), RIG_A);
  rig_start (rig, RIG_A, 0, 0, grant);
  assert_int_equal (rig->started->len, 0);
}

/* Guards against a START on an older connection that is read after a QUERY on a newer one. An entry
 * has two connections if it is reached by its seed address and by its address in the roster. */
static void
test_second_address_closes_older_connection (void **state)
{
  struct rig *rig = *state;

  rig_open (rig, 3, "127.0.0.9:7001");
  rig_welcome (rig, 3, 101);
  assert_int_equal (rig->closed->len, 1);
  rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A));
  assert_int_equal (rig->started->len, 0);
}

/* Guards against a configuration that reverts to a lower revision when a stale entry connects. */
static void
test_lower_revision_is_ignored (void **state)
{
  struct rig *rig = *state;

  rig_view (rig, RIG_A, 5, true);
  rig_view (rig, RIG_B, 4, false);
  assert_int_equal (rig_start (rig, RIG_A, 0, 0, rig_take_grant (rig, RIG_A)), RIG_NO_REFUSAL);
}

#define RIG_TEST(test) cmocka_unit_test_setup_teardown (test, create_ready, destroy_rig)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    RIG_TEST (test_start_is_immediate),
    RIG_TEST (test_unknown_grant_is_refused),
    RIG_TEST (test_grant_of_another_entry_is_refused),
    RIG_TEST (test_start_by_other_owner_is_refused),
    RIG_TEST (test_start_on_old_evidence_is_refused),
    RIG_TEST (test_evidence_from_newer_revision_is_ignored),
    RIG_TEST (test_start_after_freeze_is_refused),
    RIG_TEST (test_delayed_acknowledgement_is_old_evidence),
    RIG_TEST (test_start_in_withdrawn_domain_is_refused),
    RIG_TEST (test_drain_waits_for_acknowledgement),
    RIG_TEST (test_drain_with_a_dead_entry),
    RIG_TEST (test_start_after_deadline_is_refused),
    RIG_TEST (test_start_deadline_includes_freeze),
    RIG_TEST (test_duplicate_start_runs_once),
    RIG_TEST (test_query_fences_a_start),
    RIG_TEST (test_cancelled_job_is_stopped),
    RIG_TEST (test_start_on_closed_connection_is_ignored),
    RIG_TEST (test_second_address_closes_older_connection),
    RIG_TEST (test_lower_revision_is_ignored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
