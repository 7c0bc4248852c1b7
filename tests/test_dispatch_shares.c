#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "shares_check.h"
#include "testing.h"

static void
test_withdrawn_domain_bursts_and_departure (void **state)
{
  static const struct emulator_fault faults[] = {
    { EMULATOR_WITHDRAW, 1, 21, 2, 0, 1 }, { EMULATOR_BURST, 4, 12, 2, 1, 2.5 },
    { EMULATOR_BURST, 6, 12, 0, 0, 1.6 },  { EMULATOR_CRASH, 14, 60, 0, 12, 1 },
    { EMULATOR_BURST, 18, 24, 0, 1, 2.2 },
  };
  struct emulator_scenario scenario = emulator_contention_scenario (1.0);

  (void)state;
  scenario.duration_s = 26;
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    scenario.faults[scenario.n_faults++] = faults[i];
  assert_shares_are_fair (&scenario);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_withdrawn_domain_bursts_and_departure),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
