#include "azurerock/log.h"
#include "sim.h"
#include "testing.h"

/* Each test disables a safety check of the entry or the agent, and the simulation must then detect
 * a violation of the rule that the check enforces. This guards against a simulation that would not
 * detect such a fault. The comment of each test describes the fault. */
#define LAST_SEED 4000

static void
assert_violation_found (const char *rule, const struct sim_guards *guards)
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

/* The agent answers QUERY with "not started" without a look at its records, so the entry starts the
 * task again. */
static void
test_r1_at_most_once_start (void **state)
{
  struct sim_guards guards = { .agent.fate_ignores_records = true };

  guards.fault_kinds = 1u << SIM_FAULT_DISCONNECT;
  assert_violation_found ("R1", &guards);
}

/* The entry answers a job when its first task is done. */
static void
test_r2_complete_answer (void **state)
{
  struct sim_guards guards = { .entry.answer_partial = true };

  assert_violation_found ("R2", &guards);
}

/* The agent starts tasks without fresh evidence. The check at the entry, which comes first, is
 * disabled as well. */
static void
test_r3_no_start_in_withdrawn_domain (void **state)
{
  struct sim_guards guards = { .agent.no_evidence_check = true, .entry_always_fresh = true };

  guards.fault_kinds = 1u << SIM_FAULT_PUBLISH | 1u << SIM_FAULT_PARTITION;
  assert_violation_found ("R3", &guards);
}

/* The entry assigns a result to the first open attempt at the agent, whatever its id. */
static void
test_r4_results_of_own_tasks (void **state)
{
  struct sim_guards guards = { .entry.match_by_position = true };

  assert_violation_found ("R4", &guards);
}

/* The agent reports a task whose outcome is unknown as not started. */
static void
test_r5_not_run_has_no_start (void **state)
{
  struct sim_guards guards = { .agent.unknown_is_not_started = true };

  assert_violation_found ("R5", &guards);
}

/* The agent reports a task whose outcome is unknown as not started, so a non-idempotent task runs
 * twice. */
static void
test_r6_non_idempotent_at_most_once (void **state)
{
  struct sim_guards guards = { .agent.unknown_is_not_started = true };

  assert_violation_found ("R6", &guards);
}

/* The agent starts tasks after its planned stop has begun. */
static void
test_r7_no_start_after_stop (void **state)
{
  struct sim_guards guards = { .agent.no_stopping_check = true };

  guards.fault_kinds = 1u << SIM_FAULT_STOP_AGENT;
  assert_violation_found ("R7", &guards);
}

/* The agent replaces its configuration by that of a VIEW with a lower revision. */
static void
test_r9_revision_never_decreases (void **state)
{
  struct sim_guards guards = { .agent.accept_old_view = true };

  assert_violation_found ("R9", &guards);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_r1_at_most_once_start),
    cmocka_unit_test (test_r2_complete_answer),
    cmocka_unit_test (test_r3_no_start_in_withdrawn_domain),
    cmocka_unit_test (test_r4_results_of_own_tasks),
    cmocka_unit_test (test_r5_not_run_has_no_start),
    cmocka_unit_test (test_r6_non_idempotent_at_most_once),
    cmocka_unit_test (test_r7_no_start_after_stop),
    cmocka_unit_test (test_r9_revision_never_decreases),
  };

  az_log_init ("simulation", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
