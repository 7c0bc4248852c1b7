#ifndef AZUREROCK_ENTRY_CORE_INTERNAL_H
#define AZUREROCK_ENTRY_CORE_INTERNAL_H

#include "entry/state.h"

struct az_entry_core
{
  struct az_entry_state *state;
};

/** az_entry_is_drained - implements az_entry_core_is_drained() */
bool
az_entry_is_drained (const struct az_entry_state *state);
json_t *
az_entry_status (struct az_entry_state *state);

#endif
