#include "agent/state.h"

/* Demand that has not been reported again for this time is ignored, on the assumption that other
 * agents have met it. */
#define DEMAND_LIFETIME_MS 2000

/* Moving an idle slot costs a GRANT message, whereas one message serves many slots if there is
 * demand. Without demand a slot is therefore moved only if the imbalance is at least this large, so
 * that idle slots don't move back and forth between entries with equal load. */
#define IDLE_HYSTERESIS 8

/** az_agent_entry_unmet_demand - waiting tasks of @entry in excess of its idle grants */
uint32_t
az_agent_entry_unmet_demand (const struct az_agent_state *state, const struct az_agent_entry *entry)
{
  if (az_time_diff_ms (az_agent_now (state), entry->demand_received_at) > DEMAND_LIFETIME_MS)
    return 0;
  return entry->waiting > entry->n_idle_grants ? entry->waiting - entry->n_idle_grants : 0;
}

/* Returns the entry whose unmet demand has waited longest; @preferred wins a tie. */
static uint32_t
choose_by_demand (const struct az_agent_state *state, uint32_t preferred)
{
  const struct az_agent_entry *best = NULL;
  uint32_t choice = 0;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
      int order
          = best ? az_time_compare (entry->oldest_waiting_since, best->oldest_waiting_since) : -1;

      if (!entry->incarnation || !az_agent_entry_unmet_demand (state, entry))
        continue;
      if (order > 0 || (order == 0 && handle != preferred))
        continue;
      best = entry;
      choice = handle;
    }
  return choice;
}

/* Ties are broken by a weight that differs between agents. Otherwise, with more entries than slots,
 * the same few entries would hold the grants of every agent. */
static bool
has_fewer_idle (const struct az_agent_state *state,
                const struct az_agent_entry *entry,
                const struct az_agent_entry *best)
{
  if (entry->n_idle_grants != best->n_idle_grants)
    return entry->n_idle_grants < best->n_idle_grants;
  return az_agent_entry_weight (state, entry) > az_agent_entry_weight (state, best);
}

/**
 * az_agent_can_keep_idle - whether grants that @entry does not use are renewed
 *
 * With more entries than slots, an agent renews only the grants of the entries with the highest
 * weights. Otherwise the entries that connected first would hold the slots of every agent.
 */
bool
az_agent_can_keep_idle (const struct az_agent_state *state, const struct az_agent_entry *entry)
{
  uint32_t n_ahead = 0;

  if (!entry)
    return false;
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *other = az_agent_entry_get (state, handle);

      n_ahead += other->incarnation
                 && az_agent_entry_weight (state, other) > az_agent_entry_weight (state, entry);
    }
  return n_ahead < az_agent_capacity (state);
}

static uint32_t
choose_by_idle (const struct az_agent_state *state, uint32_t preferred)
{
  const struct az_agent_entry *best = NULL;
  uint32_t choice = 0;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (!entry->incarnation || (best && !has_fewer_idle (state, entry, best)))
        continue;
      best = entry;
      choice = handle;
    }
  if (!best || !preferred)
    return choice;
  return az_agent_entry_get (state, preferred)->n_idle_grants
                 < best->n_idle_grants + IDLE_HYSTERESIS
             ? preferred
             : choice;
}

/**
 * az_agent_grant_choose - chooses the entry that is granted the next free slot
 * @preferred: entry whose task has just freed the slot, or 0
 *
 * Return: handle of the entry, 0 if none is connected.
 */
uint32_t
az_agent_grant_choose (const struct az_agent_state *state, uint32_t preferred)
{
  uint32_t choice = choose_by_demand (state, preferred);

  return choice ? choice : choose_by_idle (state, preferred);
}
