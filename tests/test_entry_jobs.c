#include "entry_fixture.h"
#include "testing.h"

static void
assert_answer (const struct test_entry *entry,
               uint32_t request,
               az_outcome outcome,
               const char *code)
{
  const struct test_answer *answer = test_entry_answer (entry, request);

  assert_non_null (answer);
  assert_false (answer->pending);
  assert_string_equal (answer->code, code);
  assert_int_equal (answer->outcome, outcome);
}

/* Guards against an entry that never becomes ready, and against results in another order than
 * the tasks. */
static void
test_job_runs (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_agent (entry, 1, 11, "agent-1");
  assert_true (az_entry_core_is_ready (entry->core));
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 2);
  assert_int_equal (test_entry_n_started (entry), 2);
  assert_int_equal (test_entry_count (entry, AZ_START), 1);
  test_entry_finish (entry, 1, AZ_STATUS_OK);
  assert_null (test_entry_answer (entry, 7));
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  assert_int_equal (test_entry_answer (entry, 7)->n_results, 2);
  assert_string_equal (test_entry_answer (entry, 7)->first_result, "result-0");
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_runs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
