#include "azurerock/log.h"
#include "sim.h"
#include "testing.h"

/* Each rule is checked by turning off one guard: the simulation must find a violation of the rule.
 * Guards against a simulation that is blind to it. */
#define LAST_SEED 4000

static void
assert_finds (const char *rule, const struct sim_guards *guards)
{
  for (uint64_t seed = 1; seed <= LAST_SEED; seed++)
    {
      char *violation = sim_run (seed, guards, NULL);
      bool found = violation && g_str_has_prefix (violation, rule);

      if (found)
        print_message ("seed %d: %s\n", (int)seed, violation);
      g_free (violation);
      if (found)
        return;
    }
  fail_msg ("no violation of %s in %d seeds", rule, LAST_SEED);
}

/* A QUERY that is answered "not started" without a look at the records. */
static void
test_r1_at_most_once_start (void **state)
{
  struct sim_guards guards = { .agent.fate_ignores_records = true };

  guards.faults = 1u << SIM_FAULT_CUT;
  assert_finds ("R1", &guards);
}

/* A job that is answered when its first task is done. */
static void
test_r2_whole_answer (void **state)
{
  struct sim_guards guards = { .entry.answer_partial = true };

  assert_finds ("R2", &guards);
}

/* A start without fresh evidence; the entry's own check, which comes before it, is off too. */
static void
test_r3_withdrawn (void **state)
{
  struct sim_guards guards = { .agent.no_evidence_check = true, .entry_always_fresh = true };

  guards.faults = 1u << SIM_FAULT_PUBLISH | 1u << SIM_FAULT_PARTITION;
  assert_finds ("R3", &guards);
}

/* A result that is taken for whichever attempt is the oldest. */
static void
test_r4_own_answer (void **state)
{
  struct sim_guards guards = { .entry.match_by_position = true };

  assert_finds ("R4", &guards);
}

/* A task of unknown fate that is reported as not started. */
static void
test_r5_true_not_run (void **state)
{
  struct sim_guards guards = { .agent.unknown_is_not_started = true };

  assert_finds ("R5", &guards);
}

/* The same for a purchase, which then runs twice. */
static void
test_r6_non_idempotent (void **state)
{
  struct sim_guards guards = { .agent.unknown_is_not_started = true };

  assert_finds ("R6", &guards);
}

/* An agent that goes on after its planned stop. */
static void
test_r7_leaving (void **state)
{
  struct sim_guards guards = { .agent.no_stopping_check = true };

  guards.faults = 1u << SIM_FAULT_STOP_AGENT;
  assert_finds ("R7", &guards);
}

/* A view of a lower revision that replaces a newer one. */
static void
test_r9_in_force (void **state)
{
  struct sim_guards guards = { .agent.accept_old_view = true };

  assert_finds ("R9", &guards);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_r1_at_most_once_start),
    cmocka_unit_test (test_r2_whole_answer),
    cmocka_unit_test (test_r3_withdrawn),
    cmocka_unit_test (test_r4_own_answer),
    cmocka_unit_test (test_r5_true_not_run),
    cmocka_unit_test (test_r6_non_idempotent),
    cmocka_unit_test (test_r7_leaving),
    cmocka_unit_test (test_r9_in_force),
  };

  az_log_init ("simulation", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
