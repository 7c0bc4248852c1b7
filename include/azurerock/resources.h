#ifndef AZUREROCK_RESOURCES_H
#define AZUREROCK_RESOURCES_H

#include "azurerock/message.h"
#include <stdbool.h>

/** az_resources_fit - whether @need is within @room in every dimension */
bool
az_resources_fit (const struct az_resources *need, const struct az_resources *room);

/** az_resources_add - adds to @to */
void
az_resources_add (struct az_resources *to, const struct az_resources *amount);

/** az_resources_subtract - subtracts from @from, which stops at zero */
void
az_resources_subtract (struct az_resources *from, const struct az_resources *amount);

#endif
