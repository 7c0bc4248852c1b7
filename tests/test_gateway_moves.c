#include "azurerock/log.h"
#include "gateway_rig.h"
#include "testing.h"

#define LEARNED_JOBS 300
#define SLOW_PERCENT 15

static uint64_t
moves (const struct gateway_rig *rig)
{
  return gateway_rig_read_counter (rig, "azurerock_gateway_moves_total");
}

static uint64_t
refused_as_long (const struct gateway_rig *rig)
{
  return gateway_rig_read_counter (rig, "azurerock_gateway_moves_refused_long_total");
}

static uint64_t
refused_by_budget (const struct gateway_rig *rig)
{
  return gateway_rig_read_counter (rig, "azurerock_gateway_moves_refused_budget_total");
}

/* Three of a hundred tasks take seven times as long as expected. */
static void
run_tasks_with_tail (struct gateway_rig *rig)
{
  for (uint32_t i = 0; i < LEARNED_JOBS; i++)
    {
      guint run = rig->runs->len;

      gateway_rig_submit (rig, 1000 + i, "fast", 1);
      assert_int_equal (rig->runs->len, run + 1);
      gateway_rig_end_run (rig, run, AZ_TASK_DONE, i % 33 == 32 ? 700 : 100);
    }
}

/* Starts a job of one task, and returns its run. */
static guint
start_task (struct gateway_rig *rig, uint32_t caller)
{
  guint run = rig->runs->len;

  gateway_rig_submit (rig, caller, "fast", 1);
  assert_int_equal (rig->runs->len, run + 1);
  return run;
}

/* Guards against the loss of the work of a task that takes as long elsewhere. */
static void
test_long_task_stays (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  guint run;

  (void)state;
  run_tasks_with_tail (rig);
  run = start_task (rig, 1);
  gateway_rig_report_progress (rig, run, 140, 700);
  gateway_rig_report_progress (rig, run, 280, 700);
  assert_int_equal (rig->stops->len, 0);
  assert_int_equal (moves (rig), 0);
  assert_int_equal (refused_as_long (rig), 1);
  gateway_rig_end_run (rig, run, AZ_TASK_DONE, 700);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_COMPLETED);
  gateway_rig_destroy (rig);
}

/* Guards against a change for deployments without the setting. */
static void
test_long_task_moves_without_the_setting (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);
  guint run;

  (void)state;
  run_tasks_with_tail (rig);
  run = start_task (rig, 1);
  gateway_rig_report_progress (rig, run, 140, 700);
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (moves (rig), 1);
  gateway_rig_destroy (rig);
}

/* A gateway that has just started decides as without the setting. */
static void
test_task_moves_while_nothing_is_known (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  guint run = start_task (rig, 1);

  (void)state;
  gateway_rig_report_progress (rig, run, 140, 700);
  assert_int_equal (moves (rig), 1);
  gateway_rig_destroy (rig);
}

/* Guards against tasks that stay on a slow upstream because their queue has long tasks. */
static void
test_task_on_slow_upstream_moves (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  guint run;

  (void)state;
  run_tasks_with_tail (rig);
  run = start_task (rig, 1);
  rig->speed[gateway_rig_get_run (rig, run)->session] = SLOW_PERCENT;
  gateway_rig_report_progress (rig, run, 140, 700);
  assert_int_equal (moves (rig), 1);
  assert_int_equal (rig->stops->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against waiting for the sidecar's report while all tasks of the upstream are slow. */
static void
test_task_beside_slow_tasks_moves (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  unsigned n_reported = 0;
  guint first;

  (void)state;
  run_tasks_with_tail (rig);
  first = rig->runs->len;
  for (uint32_t i = 1; i <= 8; i++)
    start_task (rig, i);
  for (guint run = first; run < first + 8; run++)
    if (gateway_rig_get_run (rig, run)->session == 1)
      {
        gateway_rig_report_progress (rig, run, 140, 700);
        n_reported++;
        assert_int_equal (moves (rig) > 0, n_reported > 2);
      }
  assert_true (n_reported > 2);
  gateway_rig_destroy (rig);
}

static void
test_stalled_task_moves (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  guint run;

  (void)state;
  run_tasks_with_tail (rig);
  run = start_task (rig, 1);
  gateway_rig_report_progress (rig, run, 260, UINT32_MAX);
  assert_int_equal (moves (rig), 1);
  gateway_rig_destroy (rig);
}

/* Guards against a wrong speed of an upstream that makes the gateway throw away much work. */
static void
test_budget_limits_moves (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (3);
  guint first;

  (void)state;
  run_tasks_with_tail (rig);
  first = rig->runs->len;
  for (uint32_t i = 1; i <= 16; i++)
    start_task (rig, i);
  for (uint32_t session = 1; session <= 3; session++)
    rig->speed[session] = session == 3 ? 100 : SLOW_PERCENT;
  for (guint run = first; run < first + 16; run++)
    if (gateway_rig_get_run (rig, run)->session != 3)
      gateway_rig_report_progress (rig, run, 280, 1400);
  assert_true (moves (rig) > 0);
  assert_true (refused_by_budget (rig) > 0);
  for (guint run = first; run < first + 16; run++)
    if (gateway_rig_get_run (rig, run)->session != 3)
      gateway_rig_report_progress (rig, run, 420, UINT32_MAX);
  assert_true (moves (rig) > 5);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_task_stays),
    cmocka_unit_test (test_long_task_moves_without_the_setting),
    cmocka_unit_test (test_task_moves_while_nothing_is_known),
    cmocka_unit_test (test_task_on_slow_upstream_moves),
    cmocka_unit_test (test_task_beside_slow_tasks_moves),
    cmocka_unit_test (test_stalled_task_moves),
    cmocka_unit_test (test_budget_limits_moves),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
