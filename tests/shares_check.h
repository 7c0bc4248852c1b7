#ifndef AZUREROCK_TESTS_SHARES_CHECK_H
#define AZUREROCK_TESTS_SHARES_CHECK_H

#include "emulator/emulator.h"

/** assert_shares_are_fair - guards against gateways that refuse more than others because they are
 * slower or more distant, and against shares that leave capacity unused */
void
assert_shares_are_fair (struct emulator_scenario *scenario);

#endif
