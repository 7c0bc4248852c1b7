#include "azurerock/log.h"
#include "crashing_jobs.h"
#include "testing.h"

#define N_SEEDS 3

/* Time after which the kind is to be suspected: a task is started again after 0.8 s, and several
 * crashes are needed. */
#define NOTICED_S 2

/* A quarter of the eleven upstreams. */
#define ISOLATED 3

/* What the other kinds are to get at least: nothing until the kind is suspected and the upstreams
 * are back, then as if the isolated upstreams were missing. */
static struct emulator_scenario
create_target (void)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);
  double all_down_to_s = CRASHES_FROM_S + NOTICED_S + DOWN_S;

  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_CRASH, CRASHES_FROM_S, CRASHES_TO_S, 0, ISOLATED, 1 };
  scenario.faults[scenario.n_faults++] = (struct emulator_fault){
    EMULATOR_CRASH, CRASHES_FROM_S, all_down_to_s, ISOLATED, scenario.n_upstreams - ISOLATED, 1
  };
  return scenario;
}

static void
assert_other_kinds_are_served (unsigned crashing_kind)
{
  struct emulator_scenario scenario = crashing_jobs_scenario (crashing_kind);
  struct emulator_scenario target = create_target ();

  for (unsigned seed = 1; seed <= N_SEEDS; seed++)
    {
      struct emulator_result result = emulator_run (&scenario, seed);
      struct emulator_result least = emulator_run (&target, seed);

      assert_true (result.n_crashes > 3);
      for (unsigned kind = 0; kind < EMULATOR_JOB_KINDS && scenario.kinds[kind].name; kind++)
        if (kind != crashing_kind)
          assert_true (crashing_jobs_served_share (&result, kind)
                       >= crashing_jobs_served_share (&least, kind));
    }
}

/* Guards against jobs of one kind that take down all upstreams one after the other, by which the
 * other kinds lose theirs. */
static void
test_other_kinds_are_served (void **state)
{
  (void)state;
  assert_other_kinds_are_served (HOLD_KIND);
  assert_other_kinds_are_served (BUY_KIND);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_other_kinds_are_served),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
