#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "testing.h"
#include <stdlib.h>

#define SLOW_HARDWARE 0 /* index of the hardware of 0.55 */

/* The environment variable SEEDS sets the number of seeds for runs that are longer than in CI. */
static unsigned
n_seeds (void)
{
  const char *text = getenv ("SEEDS");

  return text ? (unsigned)atoi (text) : 1;
}

static struct emulator_scenario
create_scenario (bool is_on)
{
  struct emulator_scenario scenario = emulator_uneven_scenario (1.0);

  scenario.duration_s = 14;
  scenario.share_demand = scenario.fair_queue_shares = true;
  scenario.relative_slowness = scenario.tail_aware_moves = is_on;
  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_BURST, 3, 11, 2, 1, 2.5 };
  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_BURST, 5, 11, 0, 0, 1.6 };
  return scenario;
}

/* Guards against slow hardware that gets only probes, and against the loss of the work of tasks
 * that run there as expected. No usual speed is known in the first second. */
static void
test_slow_hardware_is_used (void **state)
{
  struct emulator_scenario before = create_scenario (false);
  struct emulator_scenario after = create_scenario (true);

  (void)state;
  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    {
      struct emulator_result without = emulator_run (&before, seed);
      struct emulator_result with = emulator_run (&after, seed);

      assert_true (without.slow_shares[SLOW_HARDWARE] > 0.5);
      assert_true (with.slow_shares[SLOW_HARDWARE] < 0.06);
      assert_true (with.wasted_core_s <= without.wasted_core_s / 2);
      assert_true (with.goodput >= without.goodput + 0.02);
      assert_int_equal (with.n_overlapping_runs, 0);
      assert_int_equal (with.n_unanswered, 0);
    }
}

/* Guards against upstreams whose speed falls to a sixth and that are taken for slow hardware. */
static void
test_slow_upstreams_are_noticed (void **state)
{
  struct emulator_scenario scenario = create_scenario (true);
  struct emulator_result result;

  (void)state;
  /* Four neighbours, one of which has hardware of 0.55. */
  scenario.n_upstreams = 4;
  scenario.load = 4.0 / 67;
  scenario.n_faults = 0;
  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_SLOW, 4, 14, SLOW_HARDWARE, 1, 6 };
  result = emulator_run (&scenario, 1);
  assert_true (result.slow_shares[SLOW_HARDWARE] > 0.5);
  for (unsigned i = 1; i < scenario.n_upstream_speeds; i++)
    assert_true (result.slow_shares[i] < 0.1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_hardware_is_used),
    cmocka_unit_test (test_slow_upstreams_are_noticed),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
