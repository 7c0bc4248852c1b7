#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "testing.h"
#include <stdlib.h>

/* Minimum results relative to an ideal queue, which knows neither delays nor processors: the value
 * earned, and the share of the jobs of the worst-served kind that are in time. */
#define EARNED_SHARE_MIN 0.95
#define SERVED_SHARE_MIN 0.9

#define REFUSAL_FACTOR_MAX 2

/* The environment variable SEEDS sets the number of seeds for runs that are longer than in CI. */
static unsigned
n_seeds (void)
{
  const char *text = getenv ("SEEDS");

  return text ? (unsigned)atoi (text) : 1;
}

static void
add_fault (struct emulator_scenario *scenario, struct emulator_fault fault)
{
  scenario->faults[scenario->n_faults++] = fault;
}

static double
in_time_share (const struct emulator_job_counts *row)
{
  return (double)row->in_time / MAX (row->submitted, 1);
}

/* Guards against gateways that waste capacity which a queue without delays would use, against a
 * kind of jobs that gets less than the others, and against two simultaneous runs of one task. */
static void
assert_load_is_served (const struct emulator_scenario *scenario)
{
  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    {
      struct emulator_result result = emulator_run (scenario, seed);
      struct emulator_result ideal = emulator_run_ideal (scenario, seed);

      assert_true (result.goodput >= EARNED_SHARE_MIN * ideal.goodput);
      for (unsigned kind = 0; kind < EMULATOR_JOB_KINDS; kind++)
        assert_true (in_time_share (&result.kinds[kind])
                     >= SERVED_SHARE_MIN * in_time_share (&ideal.kinds[kind]));
      assert_int_equal (result.n_overlapping_runs, 0);
      assert_int_equal (result.n_unanswered, 0);
      assert_int_equal (result.n_closed_sessions, 0);
    }
}

static void
test_uneven_gateways_serve_usual_load (void **state)
{
  struct emulator_scenario scenario = emulator_contention_scenario (1.0);

  (void)state;
  scenario.duration_s = 12;
  assert_load_is_served (&scenario);
}

/* The withdrawn domain has the largest and fastest upstreams; the others can just serve the load.
 */
static void
test_uneven_gateways_serve_without_a_domain (void **state)
{
  struct emulator_scenario scenario = emulator_contention_scenario (0.8);

  (void)state;
  scenario.duration_s = 14;
  add_fault (&scenario, (struct emulator_fault){ EMULATOR_WITHDRAW, 1, 13, 2, 0, 1 });
  assert_load_is_served (&scenario);
}

/* Guards against long tasks and slow upstreams that keep the jobs of a queue from ending in time.
 */
static void
test_long_tasks_and_slow_upstreams (void **state)
{
  struct emulator_scenario scenario = emulator_uneven_scenario (1.0);

  (void)state;
  scenario.duration_s = 14;
  assert_load_is_served (&scenario);
}

/* Evidence that test_dispatch_division.c detects what it guards against. */
static void
test_refusals_differ_without_division (void **state)
{
  struct emulator_scenario scenario = emulator_contention_scenario (1.0);

  (void)state;
  scenario.duration_s = 14;
  add_fault (&scenario, (struct emulator_fault){ EMULATOR_WITHDRAW, 1, 13, 2, 0, 1 });
  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    assert_true (emulator_run (&scenario, seed).refusal_factor > REFUSAL_FACTOR_MAX);
}

static double
not_in_time_share (const struct emulator_gateway_counts *row)
{
  return (double)(row->late + row->refused) / MAX (row->submitted, 1);
}

/* Guards against a processor share that has no effect on the callers of its gateway, or one on
 * those of others. */
static void
test_small_processor_delays_its_callers (void **state)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);
  struct emulator_result result;

  (void)state;
  scenario.duration_s = 8;
  scenario.processor_shares[0] = scenario.processor_shares[1] = 0.5;
  scenario.processor_shares[2] = 0.02;
  result = emulator_run (&scenario, 1);
  assert_true (not_in_time_share (&result.gateways[2])
               > not_in_time_share (&result.gateways[0]) + 0.05);
  assert_true (not_in_time_share (&result.gateways[0]) < 0.05);
  assert_true (not_in_time_share (&result.gateways[1]) < 0.05);
}

/* Guards against a burst of one kind that changes the load of others. */
static void
test_burst_of_one_kind (void **state)
{
  struct emulator_scenario scenario = emulator_base_scenario (0.5);
  struct emulator_result without;
  struct emulator_result with;

  (void)state;
  scenario.duration_s = 6;
  without = emulator_run_ideal (&scenario, 1);
  add_fault (&scenario, (struct emulator_fault){ EMULATOR_BURST, 0, 6, 2, 1, 2.5 });
  with = emulator_run_ideal (&scenario, 1);
  assert_int_equal (with.kinds[0].submitted, without.kinds[0].submitted);
  assert_int_equal (with.kinds[1].submitted, without.kinds[1].submitted);
  assert_true (with.kinds[2].submitted > without.kinds[2].submitted * 3 / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_uneven_gateways_serve_usual_load),
    cmocka_unit_test (test_uneven_gateways_serve_without_a_domain),
    cmocka_unit_test (test_long_tasks_and_slow_upstreams),
    cmocka_unit_test (test_refusals_differ_without_division),
    cmocka_unit_test (test_small_processor_delays_its_callers),
    cmocka_unit_test (test_burst_of_one_kind),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
