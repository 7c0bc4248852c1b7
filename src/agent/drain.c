#include "agent/state.h"
#include "azurerock/configuration.h"

/* A stopping agent considers an entry of the roster dead, and does not wait for its
 * acknowledgements, after it has been disconnected for this time. Several reconnects have been
 * attempted by then. */
#define RECONNECT_WAIT_MS 10000

bool
az_agent_is_stopping (const struct az_agent_state *state)
{
  return state->stopping && !state->guards.no_stopping_check;
}

void
az_agent_drain_begin (struct az_agent_state *state)
{
  state->stopping = true;
  if (!az_agent_is_stopping (state))
    return;
  az_agent_grants_revoke_all (state);
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (entry->incarnation)
        az_agent_heartbeat_send (state, entry);
    }
}

static bool
can_acknowledge (const struct az_agent_state *state, const struct az_agent_origin *origin)
{
  if (az_agent_entry_by_incarnation (state, origin->incarnation))
    return true;
  return az_owner_table_has_member (&state->owner_table, origin->incarnation)
         && az_time_diff_ms (az_agent_now (state), origin->disconnected_at) < RECONNECT_WAIT_MS;
}

bool
az_agent_is_drained (const struct az_agent_state *state)
{
  GHashTableIter iter;
  void *value;

  if (az_table_rows_count (state->running))
    return false;
  g_hash_table_iter_init (&iter, state->origins);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct az_agent_origin *origin = value;

      if (origin->unacknowledged.length && can_acknowledge (state, origin))
        return false;
    }
  return true;
}
