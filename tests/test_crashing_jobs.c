#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "testing.h"

#define N_SEEDS 3

/* From 2 s on a tenth of the jobs of one kind crash their upstreams, which are down for 3.3 s. */
#define CRASHES_FROM_S 2
#define CRASHES_TO_S 20
#define DOWN_S 3.3

/* Time after which the kind is to be suspected: a task is started again after 0.8 s, and several
 * crashes are needed. */
#define NOTICED_S 2

/* A quarter of the eleven upstreams. */
#define ISOLATED 3

/* A kind that has less than half of the starts. */
#define HOLD_KIND 0
#define RELEASE_KIND 1
#define BUY_KIND 2

static struct emulator_scenario
create_scenario (unsigned kind)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);

  scenario.faults[scenario.n_faults++] = (struct emulator_fault){
    EMULATOR_CRASHING_JOBS, CRASHES_FROM_S, CRASHES_TO_S, kind, 0, 0.1
  };
  return scenario;
}

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

static double
served_share (const struct emulator_result *result, unsigned kind)
{
  return (double)result->kinds[kind].in_time / result->kinds[kind].submitted;
}

static void
assert_other_kinds_are_served (unsigned crashing_kind)
{
  struct emulator_scenario scenario = create_scenario (crashing_kind);
  struct emulator_scenario target = create_target ();

  for (unsigned seed = 1; seed <= N_SEEDS; seed++)
    {
      struct emulator_result result = emulator_run (&scenario, seed);
      struct emulator_result least = emulator_run (&target, seed);

      assert_true (result.n_crashes > 3);
      for (unsigned kind = 0; kind < EMULATOR_JOB_KINDS && scenario.kinds[kind].name; kind++)
        if (kind != crashing_kind)
          assert_true (served_share (&result, kind) >= served_share (&least, kind));
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

/* Guards against a suspected kind that is shut out, against its jobs that wait for an upstream
 * without being answered, and against tasks that run twice after a crash. */
static void
test_suspected_kind_is_not_starved (void **state)
{
  struct emulator_scenario scenario = create_scenario (HOLD_KIND);
  double before_share = (double)CRASHES_FROM_S / scenario.duration_s;

  (void)state;
  for (unsigned seed = 1; seed <= N_SEEDS; seed++)
    {
      struct emulator_result result = emulator_run (&scenario, seed);

      assert_true (result.n_suspected > 0);
      assert_true (served_share (&result, HOLD_KIND) > before_share);
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
    cmocka_unit_test (test_other_kinds_are_served),
    cmocka_unit_test (test_suspected_kind_is_not_starved),
    cmocka_unit_test (test_random_crashes_isolate_nobody),
    cmocka_unit_test (test_random_crashes_dont_isolate_the_main_kind),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
