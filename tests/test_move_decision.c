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

/* A task of 100 ms that is projected to take 700 ms, known after 140 ms. */
static struct az_move_question
create_question (const struct az_run_ratio *ratio)
{
  return (struct az_move_question){
    .elapsed_ms = 140,
    .projected_ms = 700,
    .expected_ms = 100,
    .here_ms = 100,
    .elsewhere_ms = 100,
    .ratio = ratio,
  };
}

/* Guards against the loss of the work of a task that takes as long elsewhere. */
static void
test_long_task_on_normal_upstream_stays (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);
  struct az_move_decision decision;

  (void)state;
  assert_true (az_run_ratio_is_heavy (&ratio));
  decision = az_move_decide (&question);
  assert_int_equal (decision.verdict, AZ_MOVE_LONG);
  assert_true (decision.p_long > 0.9);
  question.n_normal_jobs = 2;
  assert_true (az_move_decide (&question).p_long > decision.p_long);
}

/* Guards against tasks that stay on a slow upstream because some tasks of their queue are long. */
static void
test_task_on_reported_slow_upstream_moves (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);
  struct az_move_decision decision;

  (void)state;
  question.is_reported_slow = true;
  question.here_ms = 650;
  decision = az_move_decide (&question);
  assert_int_equal (decision.verdict, AZ_MOVE_YES);
  assert_true (decision.p_long < 0.1);
  assert_true (decision.left_elsewhere_ms < decision.left_here_ms);
}

/* Guards against waiting for the sidecar's report when the other tasks show it already. */
static void
test_task_beside_slow_tasks_moves (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);

  (void)state;
  question.n_slow_jobs = 2;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_YES);
  question.n_normal_jobs = 4;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_LONG);
}

/* A ratio that the queue's tasks never have is explained by the upstream. */
static void
test_ratio_beyond_the_tail_moves (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);

  (void)state;
  question.projected_ms = 2800;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_YES);
}

/* Guards against the error of an early projection: one percent after 100 ms may be nearly two. */
static void
test_early_projection_is_rounded (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);

  (void)state;
  question.elapsed_ms = 100;
  question.projected_ms = 10000;
  question.expected_ms = question.here_ms = question.elsewhere_ms = 760;
  assert_true (az_move_own_ratio (&question) < 7);
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_LONG);
}

/* A long task that has just begun on slow hardware ends sooner on hardware twice as fast. */
static void
test_long_task_moves_to_much_faster_upstream (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);

  (void)state;
  question.here_ms = 200;
  question.projected_ms = 1400;
  question.elsewhere_ms = 80;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_YES);
  question.elapsed_ms = 700;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_LONG);
}

static void
test_no_gain_if_nearly_done (void **state)
{
  struct az_run_ratio ratio = create_tail ();
  struct az_move_question question = create_question (&ratio);

  (void)state;
  question.elapsed_ms = 630;
  assert_int_equal (az_move_decide (&question).verdict, AZ_MOVE_NO_GAIN);
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
    cmocka_unit_test (test_long_task_on_normal_upstream_stays),
    cmocka_unit_test (test_task_on_reported_slow_upstream_moves),
    cmocka_unit_test (test_task_beside_slow_tasks_moves),
    cmocka_unit_test (test_ratio_beyond_the_tail_moves),
    cmocka_unit_test (test_early_projection_is_rounded),
    cmocka_unit_test (test_long_task_moves_to_much_faster_upstream),
    cmocka_unit_test (test_no_gain_if_nearly_done),
    cmocka_unit_test (test_budget),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
