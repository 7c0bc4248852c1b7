#include "agent/state.h"

static uint32_t
count_recalled_grants (const struct az_agent_state *state)
{
  GHashTableIter iter;
  uint32_t n_recalled = 0;
  void *grant;

  g_hash_table_iter_init (&iter, state->grants);
  while (g_hash_table_iter_next (&iter, NULL, &grant))
    n_recalled += ((struct az_agent_grant *)grant)->recalled;
  return n_recalled;
}

static uint32_t
total_unmet_demand (const struct az_agent_state *state)
{
  uint32_t need = 0;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      need += entry->incarnation ? az_agent_entry_unmet_demand (state, entry) : 0;
    }
  return need;
}

/* Returns the entry with the most idle grants among those that have no unmet demand and were not
 * asked yet. */
static uint32_t
most_idle_entry (const struct az_agent_state *state, uint64_t asked)
{
  uint32_t choice = 0;
  uint32_t most = 0;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
      bool was_asked = asked & (1ull << (handle & 63));

      if (was_asked || entry->n_idle_grants <= most || az_agent_entry_unmet_demand (state, entry))
        continue;
      most = entry->n_idle_grants;
      choice = handle;
    }
  return choice;
}

/* Recalls idle grants, from the entry with the most of them first, until half of the unmet demand
 * is covered by recalled grants or every entry was asked. */
static void
recall_for_demand (struct az_agent_state *state)
{
  uint32_t wanted = az_agent_can_grant (state) ? (total_unmet_demand (state) + 1) / 2 : 0;
  uint32_t pending = wanted ? count_recalled_grants (state) : 0;
  uint64_t asked = 0;

  while (wanted > pending)
    {
      uint32_t entry = most_idle_entry (state, asked);

      if (!entry)
        break;
      asked |= 1ull << (entry & 63);
      az_agent_grants_recall (state, entry, wanted - pending, AZ_RECALL_MIN_GRANT_AGE_MS);
      pending = count_recalled_grants (state);
    }
  if (asked)
    az_agent_grants_issue (state, 0);
}

void
az_agent_demand_received (struct az_agent_state *state,
                          uint32_t handle,
                          const struct az_demand *demand)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);

  entry->demand_received_at = az_agent_now (state);
  entry->waiting = demand->waiting;
  entry->oldest_waiting_since
      = az_time_add_ms (entry->demand_received_at, -(int64_t)demand->oldest_ms);
  if (!demand->waiting)
    return;
  az_agent_grants_issue (state, 0);
  recall_for_demand (state);
}

void
az_agent_demand_tick (struct az_agent_state *state)
{
  recall_for_demand (state);
}

/**
 * az_agent_demand_rebalance - recalls idle grants above an equal share per entry
 *
 * Called when an entry connects. Without it, the new entry would get its first grant only after it
 * has reported demand.
 */
void
az_agent_demand_rebalance (struct az_agent_state *state)
{
  uint32_t n_entries = 0;
  uint32_t share;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    n_entries += az_agent_entry_get (state, handle)->incarnation != 0;
  share = n_entries ? (az_agent_capacity (state) + n_entries - 1) / n_entries : 0;
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (entry->n_idle_grants > share && !az_agent_entry_unmet_demand (state, entry))
        az_agent_grants_recall (state, handle, entry->n_idle_grants - share, 0);
    }
  az_agent_grants_issue (state, 0);
}
