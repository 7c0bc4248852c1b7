#include "dispatch/move_decision.h"
#include "testing.h"

/* Of a hundred tasks, three take seven times as long as expected. */
static struct az_run_ratio
create_tail (void)
{
  struct az_run_ratio ratio = { 0 };

  for (unsigned i = 0; i < 1000; i++)
    az_run_ratio_record (&ratio, i, i % 100 < 3 ? 7 : 1, 1);
  return ratio;
}

struct decision_row
{
  const char *name;
  double elapsed_ms;
  double projected_ms;
  double expected_ms;
  double here_ms;
  double elsewhere_ms;
  bool is_reported_slow;
  unsigned n_slow_jobs;
  unsigned n_normal_jobs;
  enum az_move_verdict verdict;
};

/* Guards against the loss of the work of tasks that take as long elsewhere, and against tasks that
 * stay on a slow upstream because some tasks of their queue are long. */
static void
test_decisions (void **state)
{
  static const struct decision_row rows[] = {
    { "long task", 140, 700, 100, 100, 100, false, 0, 0, AZ_MOVE_LONG },
    { "upstream reported slow", 140, 700, 100, 650, 100, true, 0, 0, AZ_MOVE_YES },
    { "other tasks slow", 140, 700, 100, 100, 100, false, 2, 0, AZ_MOVE_YES },
    { "most other tasks normal", 140, 700, 100, 100, 100, false, 2, 4, AZ_MOVE_LONG },
    { "longer than any task", 140, 2800, 100, 100, 100, false, 0, 0, AZ_MOVE_YES },
    /* One percent after 100 ms may be nearly two. */
    { "early projection", 100, 10000, 760, 760, 760, false, 0, 0, AZ_MOVE_LONG },
    { "slow hardware", 140, 1400, 100, 200, 80, false, 0, 0, AZ_MOVE_YES },
    { "slow hardware, half done", 700, 1400, 100, 200, 80, false, 0, 0, AZ_MOVE_LONG },
    { "nearly done", 630, 700, 100, 100, 100, false, 0, 0, AZ_MOVE_NO_GAIN },
  };
  struct az_run_ratio ratio = create_tail ();

  (void)state;
  assert_true (az_run_ratio_is_heavy (&ratio));
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct decision_row *row = &rows[i];
      const struct az_move_question question
          = { row->elapsed_ms,  row->projected_ms,  row->expected_ms,
              row->here_ms,     row->elsewhere_ms,  row->is_reported_slow,
              row->n_slow_jobs, row->n_normal_jobs, &ratio };
      struct az_move_decision decision = az_move_decide (&question);

      if (decision.verdict != row->verdict)
        fail_msg ("%s: verdict %d, p_long %.3f", row->name, (int)decision.verdict, decision.p_long);
      if (decision.verdict == AZ_MOVE_YES)
        assert_true (decision.left_elsewhere_ms < decision.left_here_ms);
    }
}

/* Guards against moves that throw away more than a small share of the work done. */
static void
test_budget (void **state)
{
  struct az_move_budget budget = { 0 };
  double thrown = 0;

  (void)state;
  assert_false (az_move_budget_allows (&budget, 0, 0.1));
  az_move_budget_record_done (&budget, 0, 100);
  while (az_move_budget_allows (&budget, 0, 0.1))
    {
      az_move_budget_record_thrown (&budget, 0, 0.1);
      thrown += 0.1;
    }
  assert_true (thrown > 1 && thrown <= 5);
  az_move_budget_record_done (&budget, 10000000, 100);
  assert_true (az_move_budget_allows (&budget, 10000000, 0.1));
  assert_false (az_move_budget_allows (&budget, 60000000, 0.1));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decisions),
    cmocka_unit_test (test_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
