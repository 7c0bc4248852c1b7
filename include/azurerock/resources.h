#ifndef AZUREROCK_RESOURCES_H
#define AZUREROCK_RESOURCES_H

#include "azurerock/message.h"
#include <stdbool.h>

/** az_resources_fit - whether @need doesn't exceed @available in any dimension */
bool
az_resources_fit (const struct az_resources *need, const struct az_resources *available);
void
az_resources_add (struct az_resources *to, const struct az_resources *amount);

/** az_resources_raise - raises each dimension of @to to that of @other if it is lower */
void
az_resources_raise (struct az_resources *to, const struct az_resources *other);

/** az_resources_subtract - subtracts @amount; each dimension of @from is at least 0 afterwards */
void
az_resources_subtract (struct az_resources *from, const struct az_resources *amount);

#endif
