#include "entry_fixture.h"
#include "testing.h"
#include <string.h>

static const uint64_t members[] = { TEST_SELF, TEST_PEER, TEST_OTHER };

/* Creates an entry in a roster of three. @owner owns all partitions; if it is 0, each member owns
 * its share. The peers are on connections 20 and 21. */
static struct test_entry *
join_three (uint64_t owner)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, 3, owner);
  test_entry_read_table (entry, &table, members, 3);
  az_owner_table_clear (&table);
  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_connect_peer (entry, 21, TEST_OTHER);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  test_entry_peer_ack (entry, 21, 1, 3, true);
  test_entry_clear_sent (entry);
  return entry;
}

static void
receive_answer (struct test_entry *entry,
                uint32_t connection,
                const char *id,
                az_outcome outcome,
                const char *code)
{
  struct az_task_result result = { .payload = { 4, (char *)"done" } };
  struct az_message message = { .proc = AZ_ANSWER };
  struct az_answer *answer = &message.az_message_u.answer;

  answer->job = (char *)id;
  answer->outcome = outcome;
  answer->code = (char *)code;
  answer->message = (char *)"";
  answer->results.results_len = outcome == AZ_OUTCOME_DONE;
  answer->results.results_val = &result;
  assert_null (test_entry_receive (entry, connection, &message));
}

/* Guards against a job that runs at an entry that doesn't own its id. */
static void
test_job_is_forwarded_to_owner (void **state)
{
  struct test_entry *entry = join_three (TEST_PEER);
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, id, 1);
  test_entry_submit (entry, 8, id, 1);
  assert_int_equal (test_entry_count (entry, AZ_SUBMIT), 1);
  assert_int_equal (test_entry_last (entry, AZ_SUBMIT)->connection, 20);
  assert_int_equal (test_entry_n_started (entry), 0);
  receive_answer (entry, 20, id, AZ_OUTCOME_DONE, "");
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_DONE, "");
  assert_string_equal (test_entry_answer (entry, 8)->first_result, "done");
  receive_answer (entry, 20, id, AZ_OUTCOME_DONE, "");
  assert_int_equal (test_entry_answer (entry, 7)->request, 7);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against a caller that waits in vain for an answer that was lost with a connection. */
static void
test_submit_is_repeated_after_reconnection (void **state)
{
  struct test_entry *entry = join_three (TEST_PEER);
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit (entry, 7, id, 1);
  az_entry_core_connection_closed (entry->core, 20);
  test_entry_advance (entry, 2000);
  assert_null (test_entry_answer (entry, 7));
  test_entry_connect_peer (entry, 22, TEST_PEER);
  assert_int_equal (test_entry_count (entry, AZ_SUBMIT), 2);
  receive_answer (entry, 22, id, AZ_OUTCOME_DONE, "");
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against "not run" for a job that its owner may have run. */
static void
test_missing_owner_is_not_run_only_if_first (void **state)
{
  struct test_entry *entry = join_three (TEST_PEER);

  test_entry_submit_first (entry, 6, test_entry_id (entry, 0, "forwarded"), 1);
  az_entry_core_connection_closed (entry->core, 20);
  test_entry_submit_first (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  test_entry_advance (entry, 1100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "owner_unavailable");
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "owner_unavailable");
  assert_null (test_entry_answer (entry, 6));
  test_entry_advance (entry, 4000);
  test_entry_assert_answer (entry, 6, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_destroy (entry);
}

static void
receive_submit (struct test_entry *entry, uint32_t connection, const char *id)
{
  struct az_job_task task = { .payload = { 4, (char *)"work" } };
  struct az_message message = { .proc = AZ_SUBMIT };
  struct az_submit *submit = &message.az_message_u.submit;

  submit->job = (char *)id;
  submit->team = (char *)"t";
  submit->service = (char *)"s";
  submit->deadline_ms = 2000;
  submit->tasks.tasks_len = 1;
  submit->tasks.tasks_val = &task;
  assert_null (test_entry_receive (entry, connection, &message));
  az_entry_core_flush (entry->core);
}

/* Guards against a second run when a forwarder repeats SUBMIT, and against a lost answer. */
static void
test_owner_answers_forwarder_once_per_submit (void **state)
{
  struct test_entry *entry = join_three (TEST_SELF);
  char *id;

  /* The horizon of this table is 0, because its partitions have no previous owner. With one, the
   * horizon would lie AZ_HANDOVER_MS after the confirmation, which these 4.5 s would pass. */
  for (int i = 0; i < 9; i++)
    {
      test_entry_advance (entry, 500);
      test_entry_read (entry, members, 3);
    }
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  receive_submit (entry, 20, id);
  receive_submit (entry, 20, id);
  assert_int_equal (test_entry_n_started (entry), 1);
  az_entry_core_connection_closed (entry->core, 20);
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  assert_int_equal (test_entry_count (entry, AZ_ANSWER), 0);
  test_entry_connect_peer (entry, 22, TEST_PEER);
  receive_submit (entry, 22, id);
  assert_int_equal (test_entry_count (entry, AZ_ANSWER), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against a job that entries with different tables forward in a loop. */
static void
test_forwarded_job_is_not_forwarded_again (void **state)
{
  struct test_entry *entry = join_three (TEST_OTHER);
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  const struct test_sent *sent;

  receive_submit (entry, 20, id);
  assert_int_equal (test_entry_count (entry, AZ_SUBMIT), 0);
  sent = test_entry_last (entry, AZ_ANSWER);
  assert_string_equal (sent->message.az_message_u.answer.code, "not_owner");
  test_entry_submit (entry, 7, id, 1);
  receive_answer (entry, 21, id, AZ_OUTCOME_UNKNOWN, "not_owner");
  assert_null (test_entry_answer (entry, 7));
  test_entry_advance (entry, 200);
  assert_int_equal (test_entry_count (entry, AZ_SUBMIT), 2);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against the answer "unknown" to a fetch at another entry while the owner has the answer.
 */
static void
test_fetch_and_cancel_reach_the_owner (void **state)
{
  struct test_entry *entry = join_three (TEST_PEER);
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  az_entry_core_fetch (entry->core, 7, id, 0);
  assert_int_equal (test_entry_count (entry, AZ_SUBMIT), 1);
  receive_answer (entry, 20, id, AZ_OUTCOME_DONE, "");
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  az_entry_core_fetch (entry->core, 8, id, 0);
  test_entry_advance (entry, 300);
  assert_true (test_entry_answer (entry, 8)->pending);
  az_entry_core_cancel (entry->core, 9, id);
  assert_int_equal (test_entry_count (entry, AZ_CANCEL_JOB), 1);
  /* A submission must be forwarded although a fetch has made a record of the id. */
  test_entry_submit (entry, 10, id, 1);
  assert_int_equal (test_entry_last (entry, AZ_SUBMIT)->message.az_message_u.submit.tasks.tasks_len,
                    1);
  test_entry_advance (entry, 3000);
  assert_null (test_entry_answer (entry, 10));
  receive_answer (entry, 20, id, AZ_OUTCOME_DONE, "");
  test_entry_assert_answer (entry, 10, AZ_OUTCOME_DONE, "");
  g_free (id);
  test_entry_destroy (entry);
}

static int64_t
evidence_age (struct test_entry *entry)
{
  json_t *status = az_entry_core_status (entry->core);
  const json_t *age = json_object_get (status, "evidence_age_ms");
  int64_t age_ms = json_is_null (age) ? -1 : json_integer_value (age);

  json_decref (status);
  return age_ms;
}

/* Guards against an entry that starts tasks without reaching the store or a majority, and against
 * one that stops starting them while it reaches a majority. */
static void
test_majority_keeps_evidence_fresh (void **state)
{
  struct test_entry *entry = join_three (0);

  test_entry_advance (entry, 3000);
  assert_false (az_entry_core_is_ready (entry->core));
  assert_in_range (evidence_age (entry), 3000, 3002);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  assert_true (az_entry_core_is_ready (entry->core));
  assert_in_range (evidence_age (entry), 0, 2);
  test_entry_advance (entry, 2600);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_destroy (entry);
}

/* Guards against evidence of freshness from a majority that includes a restarted peer without its
 * state, and against any evidence from peers while one of them has newer state. */
static void
test_newer_or_restarted_peer_gives_no_evidence (void **state)
{
  struct test_entry *entry = join_three (0);

  test_entry_advance (entry, 3000);
  test_entry_peer_ack (entry, 20, 1, 3, false);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_peer_ack (entry, 20, 2, 3, true);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_peer_ack (entry, 21, 1, 3, true);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_destroy (entry);
}

/* Guards against evidence of freshness from a majority that includes a member without partitions. A
 * later table can leave that member out. The remaining members can then accept a publication that
 * neither this entry nor that member has, so the two don't prove that this entry is up to date. */
static void
test_member_without_partitions_gives_no_evidence (void **state)
{
  struct test_entry *entry = join_three (TEST_SELF);

  test_entry_advance (entry, 3000);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_destroy (entry);
}

/* Guards against a publication that doesn't reach entries which can't read the store. */
static void
test_newer_state_is_relayed_both_ways (void **state)
{
  struct test_entry *entry = join_three (0);
  struct test_configuration withdrawn = { .withdrawn = true };
  char *document = test_entry_document (2, &withdrawn);
  struct az_message message = { .proc = AZ_CONFIG };
  struct az_config *config = &message.az_message_u.config;

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_peer_ack (entry, 20, 2, 3, true);
  test_entry_clear_sent (entry);
  config->revision = 2;
  config->document.document_len = (u_int)strlen (document);
  config->document.document_val = document;
  test_entry_table (&config->table, 3, 3, 0);
  assert_null (test_entry_receive (entry, 20, &message));
  assert_int_equal (test_entry_count (entry, AZ_VIEW), 1);
  assert_int_equal (test_entry_count (entry, AZ_CONFIG), 1);
  assert_int_equal (test_entry_last (entry, AZ_CONFIG)->connection, 21);
  test_entry_advance (entry, 20);
  assert_int_equal (test_entry_count (entry, AZ_PEER_STATE), 2);
  az_owner_table_clear (&config->table);
  g_free (document);
  test_entry_destroy (entry);
}

/* Guards against a restarted entry that starts tasks before a majority has confirmed its state. */
static void
test_restart_needs_majority_of_others (void **state)
{
  struct test_entry *entry = test_entry_create ();
  char *document = test_entry_document (1, &(struct test_configuration){ 0 });
  struct az_message message = { .proc = AZ_CONFIG };
  struct az_config *config = &message.az_message_u.config;

  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_connect_peer (entry, 21, TEST_OTHER);
  config->revision = 1;
  config->document.document_len = (u_int)strlen (document);
  config->document.document_val = document;
  test_entry_table (&config->table, 3, 3, 0);
  assert_null (test_entry_receive (entry, 20, &message));
  test_entry_peer_ack (entry, 20, 1, 3, true);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_peer_ack (entry, 21, 1, 3, true);
  assert_true (az_entry_core_is_ready (entry->core));
  az_owner_table_clear (&config->table);
  g_free (document);
  test_entry_destroy (entry);
}

/* Guards against entries that together run more tasks of a team than its quota allows. */
static void
test_claims_are_exchanged (void **state)
{
  struct test_entry *entry = join_three (0);
  struct az_team_claim claim = { (char *)"t", 100, 100, 0 };
  struct az_message message = { .proc = AZ_PEER_STATE };
  const struct az_peer_state *state_sent;

  message.az_message_u.peer_state.claims.claims_len = 1;
  message.az_message_u.peer_state.claims.claims_val = &claim;
  assert_null (test_entry_receive (entry, 20, &message));
  assert_int_equal (test_entry_count (entry, AZ_PEER_STATE_ACK), 1);
  for (int i = 0; i < 4; i++)
    {
      test_entry_advance (entry, 500);
      test_entry_read (entry, members, 3);
    }
  state_sent = &test_entry_last (entry, AZ_PEER_STATE)->message.az_message_u.peer_state;
  assert_int_equal (state_sent->claims.claims_len, 1);
  assert_int_equal (state_sent->claims.claims_val[0].claim, 0);
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_forwarded_to_owner),
    cmocka_unit_test (test_submit_is_repeated_after_reconnection),
    cmocka_unit_test (test_missing_owner_is_not_run_only_if_first),
    cmocka_unit_test (test_owner_answers_forwarder_once_per_submit),
    cmocka_unit_test (test_forwarded_job_is_not_forwarded_again),
    cmocka_unit_test (test_fetch_and_cancel_reach_the_owner),
    cmocka_unit_test (test_majority_keeps_evidence_fresh),
    cmocka_unit_test (test_newer_or_restarted_peer_gives_no_evidence),
    cmocka_unit_test (test_member_without_partitions_gives_no_evidence),
    cmocka_unit_test (test_newer_state_is_relayed_both_ways),
    cmocka_unit_test (test_restart_needs_majority_of_others),
    cmocka_unit_test (test_claims_are_exchanged),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
