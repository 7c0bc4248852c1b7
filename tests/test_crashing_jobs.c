#include "azurerock/log.h"
#include "crashing_jobs.h"
#include "testing.h"

#define N_SEEDS 3

/* Guards against a suspected kind that is shut out, against its jobs that wait for an upstream
 * without being answered, and against tasks that run twice after a crash. */
static void
test_suspected_kind_is_not_starved (void **state)
{
  struct emulator_scenario scenario = crashing_jobs_scenario (HOLD_KIND);
  double before_share = (double)CRASHES_FROM_S / scenario.duration_s;

  (void)state;
  for (unsigned seed = 1; seed <= N_SEEDS; seed++)
    {
      struct emulator_result result = emulator_run (&scenario, seed);

      assert_true (result.n_suspected > 0);
      assert_true (crashing_jobs_served_share (&result, HOLD_KIND) > before_share);
      assert_int_equal (result.n_overlapping_runs, 0);
      assert_int_equal (result.n_unanswered, 0);
    }
}

static struct emulator_scenario
with_random_crashes (double per_s)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);

  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_RANDOM_CRASHES, 2, 20, 0, 0, per_s };
  return scenario;
}

/* Guards against a kind that loses its room because upstreams crash for other reasons. */
static void
test_random_crashes_isolate_nobody (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= 2 * N_SEEDS; seed++)
    {
      struct emulator_scenario scenario = with_random_crashes (1);
      struct emulator_result result = emulator_run (&scenario, seed);

      assert_true (result.n_crashes > 5);
      assert_int_equal (result.n_suspected, 0);
      assert_int_equal (result.n_unanswered, 0);
    }
}

/* Guards against a kind with nearly all of the load that is isolated because it gets the blame for
 * nearly all random crashes. Without suspicion it is served as without isolation. */
static void
test_random_crashes_dont_isolate_the_main_kind (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= 2 * N_SEEDS; seed++)
    {
      struct emulator_scenario scenario = with_random_crashes (1);
      struct emulator_result result;

      scenario.kinds[RELEASE_KIND].arrivals_per_s *= 1.6;
      scenario.kinds[HOLD_KIND].arrivals_per_s *= 0.05;
      scenario.kinds[BUY_KIND].arrivals_per_s *= 0.05;
      result = emulator_run (&scenario, seed);
      assert_true (result.n_crashes > 5);
      assert_int_equal (result.n_suspected, 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_suspected_kind_is_not_starved),
    cmocka_unit_test (test_random_crashes_isolate_nobody),
    cmocka_unit_test (test_random_crashes_dont_isolate_the_main_kind),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
