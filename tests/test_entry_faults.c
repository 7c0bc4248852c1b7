#include "entry_fixture.h"
#include "testing.h"

/* Regression tests for faults of the entry core that were found by the simulation. */

static const uint64_t members[] = { TEST_SELF, TEST_PEER, TEST_OTHER };

static struct test_entry *
start_forwarder (void)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 5, 3, TEST_PEER);
  test_entry_read_table (entry, &table, members, 3);
  az_owner_table_clear (&table);
  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_connect_peer (entry, 21, TEST_OTHER);
  return entry;
}

static void
receive_not_run (struct test_entry *entry, uint32_t connection, const char *id)
{
  struct az_message message = { .proc = AZ_ANSWER };
  struct az_answer *answer = &message.az_message_u.answer;

  answer->job = (char *)id;
  answer->outcome = AZ_OUTCOME_NOT_RUN;
  answer->code = (char *)"no_capacity";
  answer->message = (char *)"";
  assert_null (test_entry_receive (entry, connection, &message));
}

/* Guards against the answer "done" without results when a peer cancels a job that this entry has
 * forwarded. */
static void
test_cancel_of_a_forwarded_job (void **state)
{
  struct test_entry *entry = start_forwarder ();
  struct az_message message = { .proc = AZ_CANCEL_JOB };
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit (entry, 7, id, 1);
  message.az_message_u.cancel_job.job = id;
  assert_null (test_entry_receive (entry, 21, &message));
  assert_null (test_entry_answer (entry, 7));
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against passing on a "not run" that the owner sent for an earlier submission, which was
 * not answered before its deadline, as the answer to a later one. The owner may still start the
 * later submission. */
static void
test_late_not_run_of_an_earlier_submission (void **state)
{
  struct test_entry *entry = start_forwarder ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit_first (entry, 7, id, 1);
  test_entry_advance (entry, 5100);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_submit (entry, 8, id, 1);
  receive_not_run (entry, 20, id);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against answering "unknown" instead of the owner's "not run" when only one SUBMIT was
 * sent. */
static void
test_not_run_of_the_only_submission (void **state)
{
  struct test_entry *entry = start_forwarder ();
  char *id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));

  test_entry_submit (entry, 7, id, 1);
  receive_not_run (entry, 20, id);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "no_capacity");
  g_free (id);
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cancel_of_a_forwarded_job),
    cmocka_unit_test (test_late_not_run_of_an_earlier_submission),
    cmocka_unit_test (test_not_run_of_the_only_submission),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
