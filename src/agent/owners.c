#include "agent/state.h"
#include "azurerock/configuration.h"

static void
apply_roster (struct az_agent_state *state)
{
  const struct az_table *owner_table = &state->owner_table;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    az_agent_entry_get (state, handle)->in_roster = false;
  for (u_int i = 0; i < owner_table->roster.roster_len; i++)
    {
      const char *address = owner_table->roster.roster_val[i].rpc_address;

      az_agent_entry_get (state, az_agent_entry_add (state, address))->in_roster = true;
    }
}

void
az_agent_table_received (struct az_agent_state *state, const struct az_table *table)
{
  if (table->table_version <= state->owner_table.table_version)
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      return;
    }
  az_owner_table_clear (&state->owner_table);
  az_owner_table_copy (&state->owner_table, table);
  apply_roster (state);
  az_agent_connections_tick (state);
}
