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

/* Starts a job of one task, and returns its run. */
static guint
start_task (struct gateway_rig *rig, uint32_t caller)
{
  guint run = rig->runs->len;

  gateway_rig_submit (rig, caller, "fast", 1);
  assert_int_equal (rig->runs->len, run + 1);
  return run;
}

/* Three of a hundred tasks take seven times as long as expected. */
static void
run_tasks_with_tail (struct gateway_rig *rig)
{
  for (uint32_t i = 0; i < LEARNED_JOBS; i++)
    gateway_rig_end_run (rig, start_task (rig, 1000 + i), AZ_TASK_DONE, i % 33 == 32 ? 700 : 100);
}

struct move_row
{
  const char *name;
  bool tail_aware_moves;
  bool is_tail_known;
  uint32_t speed_percent;
  uint32_t elapsed_ms;
  uint32_t projected_ms;
  bool moves;
};

/* Guards against the loss of the work of long tasks, against tasks that stay on a slow or stalled
 * upstream, and against a change without the setting or before a distribution is known. */
static void
test_moves (void **state)
{
  static const struct move_row rows[] = {
    { "long task", true, true, 100, 140, 700, false },
    { "without the setting", false, true, 100, 140, 700, true },
    { "after a restart", true, false, 100, 140, 700, true },
    { "slow upstream", true, true, SLOW_PERCENT, 140, 700, true },
    { "stalled", true, true, 100, 260, UINT32_MAX, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct move_row *row = &rows[i];
      struct gateway_rig *rig
          = row->tail_aware_moves ? gateway_rig_create_tail_aware (2) : gateway_rig_create (2);
      guint run;

      if (row->is_tail_known)
        run_tasks_with_tail (rig);
      run = start_task (rig, 1);
      rig->speed[gateway_rig_get_run (rig, run)->session] = row->speed_percent;
      gateway_rig_report_progress (rig, run, row->elapsed_ms, row->projected_ms);
      gateway_rig_report_progress (rig, run, row->elapsed_ms, row->projected_ms);
      if (moves (rig) != row->moves || rig->stops->len != row->moves
          || refused_as_long (rig) != !row->moves)
        fail_msg ("%s: %u stops", row->name, rig->stops->len);
      gateway_rig_destroy (rig);
    }
}

#define SLOW_HARDWARE_PERCENT 55

static void
set_speed (struct gateway_rig *rig, uint32_t percent, int64_t for_ms)
{
  rig->speed[1] = rig->speed[2] = percent;
  gateway_rig_advance (rig, for_ms, 0);
}

struct hardware_row
{
  const char *name;
  bool relative_slowness;
  unsigned n_known_jobs;
  int64_t slow_for_ms;
  uint32_t projected_ms;
  bool moves;
};

/* Guards against the loss of the work of tasks that run as expected on hardware that is usually
 * slow, and against a change for upstreams that have just become that slow. At 0.55, the expected
 * run time of 100 ms becomes 182 ms; elsewhere it is 100 ms. */
static void
test_slow_hardware (void **state)
{
  static const struct hardware_row rows[] = {
    { "underestimated", true, LEARNED_JOBS, 6000, 330, false },
    { "without the setting", false, LEARNED_JOBS, 6000, 330, true },
    { "after a restart", true, 0, 6000, 330, true },
    { "slow for 300 ms only", true, LEARNED_JOBS, 300, 330, true },
    { "slow even for that hardware", true, LEARNED_JOBS, 6000, 1800, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct hardware_row *row = &rows[i];
      struct gateway_rig *rig = row->relative_slowness ? gateway_rig_create_for_uneven_hardware (2)
                                                       : gateway_rig_create_tail_aware (2);
      guint run;

      for (uint32_t job = 0; job < row->n_known_jobs; job++)
        gateway_rig_end_run (rig, start_task (rig, 1000 + job), AZ_TASK_DONE, 100);
      set_speed (rig, SLOW_HARDWARE_PERCENT, row->slow_for_ms);
      run = start_task (rig, 1);
      rig->speed[3 - gateway_rig_get_run (rig, run)->session] = 100;
      gateway_rig_advance (rig, 100, 0);
      gateway_rig_report_progress (rig, run, 140, row->projected_ms);
      if (moves (rig) != row->moves)
        fail_msg ("%s: %u stops", row->name, rig->stops->len);
      gateway_rig_destroy (rig);
    }
}

/* Guards against the same where tasks are known to be long, whose distribution would otherwise be
 * asked about tasks that run as expected. */
static void
test_slow_hardware_beside_long_tasks (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_for_uneven_hardware (2);
  guint run;

  (void)state;
  run_tasks_with_tail (rig);
  set_speed (rig, SLOW_HARDWARE_PERCENT, 300);
  run = start_task (rig, 1);
  rig->speed[3 - gateway_rig_get_run (rig, run)->session] = 100;
  gateway_rig_advance (rig, 100, 0);
  gateway_rig_report_progress (rig, run, 140, 390);
  assert_int_equal (moves (rig), 0);
  assert_int_equal (refused_as_long (rig), 0);
  gateway_rig_report_progress (rig, run, 280, 1300);
  assert_int_equal (moves (rig), 0);
  assert_int_equal (refused_as_long (rig), 1);
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

/* Guards against a queue whose long tasks are never learned because all of them are moved until
 * their jobs are given up. */
static void
test_moved_tasks_are_learned (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_tail_aware (2);
  uint64_t n_moves;
  guint run;

  (void)state;
  for (uint32_t i = 0; i < LEARNED_JOBS; i++)
    gateway_rig_end_run (rig, start_task (rig, 1000 + i), AZ_TASK_DONE, 100);
  for (uint32_t i = 1; i <= 5; i++)
    {
      run = start_task (rig, i);
      gateway_rig_report_progress (rig, run, 140, 700);
      gateway_rig_end_run (rig, run, AZ_TASK_STOPPED, 150);
      assert_int_equal (rig->runs->len, run + 2);
      gateway_rig_report_progress (rig, run + 1, 140, 700);
    }
  n_moves = moves (rig);
  assert_true (n_moves > 0);
  run = start_task (rig, 6);
  gateway_rig_report_progress (rig, run, 140, 700);
  assert_int_equal (moves (rig), n_moves);
  assert_true (refused_as_long (rig) > 0);
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
    cmocka_unit_test (test_moves),
    cmocka_unit_test (test_slow_hardware),
    cmocka_unit_test (test_slow_hardware_beside_long_tasks),
    cmocka_unit_test (test_task_beside_slow_tasks_moves),
    cmocka_unit_test (test_moved_tasks_are_learned),
    cmocka_unit_test (test_budget_limits_moves),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
