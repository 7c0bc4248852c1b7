#ifndef AZUREROCK_RETRY_BUDGET_H
#define AZUREROCK_RETRY_BUDGET_H

#include "azurerock/clock.h"
#include <stdbool.h>
#include <stdint.h>

/** Limits the retries in a window of one second to a percentage of the first starts plus 10. */
struct az_retry_budget;

struct az_retry_budget *
az_retry_budget_create (const struct az_clock *clock, uint32_t percent);
void
az_retry_budget_destroy (struct az_retry_budget *budget);
void
az_retry_budget_record_start (struct az_retry_budget *budget);

/** az_retry_budget_take - consumes one retry; returns false if the budget is exhausted */
bool
az_retry_budget_take (struct az_retry_budget *budget);

#endif
