#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "shares_check.h"
#include "testing.h"

static void
test_withdrawn_domain (void **state)
{
  struct emulator_scenario scenario = emulator_contention_scenario (1.0);

  (void)state;
  scenario.duration_s = 12;
  scenario.faults[scenario.n_faults++]
      = (struct emulator_fault){ EMULATOR_WITHDRAW, 1, 11, 2, 0, 1 };
  assert_shares_are_fair (&scenario);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_withdrawn_domain),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
