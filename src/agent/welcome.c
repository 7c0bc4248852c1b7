#include "agent/state.h"

/* An entry may be reached by its seed address and by its address in the roster. The older
 * connection is closed first, so that no START on it can arrive after a QUERY on the new one. */
static void
close_older_connection (struct az_agent_state *state, uint32_t keep, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    if (handle != keep && az_agent_entry_get (state, handle)->incarnation == incarnation)
      az_agent_connections_disconnect (state, handle);
}

void
az_agent_welcome_received (struct az_agent_state *state,
                           uint32_t handle,
                           const struct az_welcome *welcome)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  if (entry->incarnation || !welcome->incarnation)
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      return;
    }
  close_older_connection (state, handle, welcome->incarnation);
  entry->incarnation = welcome->incarnation;
  entry->backoff_ms = 0;
  az_agent_origin_get (state, welcome->incarnation);
  az_agent_results_resend (state, handle);
  az_agent_heartbeat_send (state, entry);
  az_agent_grants_issue (state, 0);
  az_agent_demand_rebalance (state);
}
