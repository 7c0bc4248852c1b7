#ifndef AZUREROCK_RETRY_BUDGET_H
#define AZUREROCK_RETRY_BUDGET_H

#include "azurerock/clock.h"
#include <stdbool.h>
#include <stdint.h>

/** Allows retries up to a share of first starts plus 10, in a window of one second. */
struct az_retry_budget;

struct az_retry_budget *
az_retry_budget_create (const struct az_clock *clock, uint32_t percent);
void
az_retry_budget_destroy (struct az_retry_budget *budget);
void
az_retry_budget_started (struct az_retry_budget *budget);

/** az_retry_budget_take - takes one retry, or returns false when the budget is spent */
bool
az_retry_budget_take (struct az_retry_budget *budget);

#endif
