#include "shares_check.h"
#include "testing.h"
#include <stdlib.h>

#define REFUSAL_FACTOR_MAX 2

/* Goodput of runs that differ only in chance differs by up to this. */
#define GOODPUT_SPREAD 0.004

/* The environment variable SEEDS sets the number of seeds for runs that are longer than in CI. */
static unsigned
n_seeds (void)
{
  const char *text = getenv ("SEEDS");

  return text ? (unsigned)atoi (text) : 1;
}

void
assert_shares_are_fair (struct emulator_scenario *scenario)
{
  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    {
      struct emulator_result first_come = emulator_run (scenario, seed);
      struct emulator_result fair;

      scenario->share_demand = true;
      fair = emulator_run (scenario, seed);
      scenario->share_demand = false;
      assert_true (first_come.refusal_factor > REFUSAL_FACTOR_MAX);
      assert_true (fair.refusal_factor < REFUSAL_FACTOR_MAX);
      assert_true (fair.goodput >= first_come.goodput - GOODPUT_SPREAD);
      assert_int_equal (fair.n_overlapping_runs, 0);
      assert_int_equal (fair.n_unanswered, 0);
    }
}
