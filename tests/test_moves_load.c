#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "testing.h"
#include <string.h>

#define SEEDS 2

static struct emulator_scenario
create_scenario (double tail_share, bool tail_aware_moves)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);

  scenario.duration_s = 30;
  scenario.tail_aware_moves = tail_aware_moves;
  for (unsigned i = 0; i < EMULATOR_JOB_KINDS; i++)
    {
      scenario.kinds[i].tail_share = tail_share;
      scenario.kinds[i].tail_factor = 7;
    }
  return scenario;
}

/* Guards against work that is thrown away by moves of long tasks. */
static void
test_long_tasks (void **state)
{
  struct emulator_scenario before = create_scenario (0.03, false);
  struct emulator_scenario aware = create_scenario (0.03, true);

  (void)state;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct emulator_result without = emulator_run (&before, seed);
      struct emulator_result with = emulator_run (&aware, seed);

      assert_true (with.wasted_core_s <= without.wasted_core_s / 2);
      assert_true (with.goodput >= without.goodput);
      assert_int_equal (with.n_overlapping_runs, 0);
      assert_int_equal (with.n_unanswered, 0);
    }
}

/* Guards against tasks that stay on slow upstreams where no tasks are long. */
static void
test_slow_upstreams_without_long_tasks (void **state)
{
  struct emulator_fault slow = { EMULATOR_SLOW, 5, 20, 3, 2, 6.5 };
  struct emulator_scenario before = create_scenario (0, false);
  struct emulator_scenario aware = create_scenario (0, true);

  (void)state;
  before.faults[before.n_faults++] = slow;
  aware.faults[aware.n_faults++] = slow;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct emulator_result without = emulator_run (&before, seed);
      struct emulator_result with = emulator_run (&aware, seed);

      assert_memory_equal (&with.kinds, &without.kinds, sizeof with.kinds);
      assert_true (with.wasted_core_s == without.wasted_core_s);
      assert_true (with.goodput == without.goodput);
    }
}

/* Guards against tasks that stay on slow upstreams because other tasks are long. */
static void
test_slow_upstreams_beside_long_tasks (void **state)
{
  struct emulator_fault slow = { EMULATOR_SLOW, 5, 20, 3, 2, 6.5 };
  struct emulator_scenario before = create_scenario (0.03, false);
  struct emulator_scenario aware = create_scenario (0.03, true);

  (void)state;
  before.faults[before.n_faults++] = slow;
  aware.faults[aware.n_faults++] = slow;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct emulator_result without = emulator_run (&before, seed);
      struct emulator_result with = emulator_run (&aware, seed);

      assert_true (with.goodput >= without.goodput);
      assert_true (with.wasted_core_s <= without.wasted_core_s / 2);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_tasks),
    cmocka_unit_test (test_slow_upstreams_without_long_tasks),
    cmocka_unit_test (test_slow_upstreams_beside_long_tasks),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
