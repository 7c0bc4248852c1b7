#include "agent/state.h"

struct az_agent_grant *
az_agent_grant_get (const struct az_agent_state *state, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_lookup (state->grants, &key);
}

void
az_agent_grant_remove (struct az_agent_state *state, struct az_agent_grant *grant)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, grant->entry);

  if (entry)
    entry->n_idle_grants--;
  g_hash_table_remove (state->grants, &grant->id);
}

bool
az_agent_can_grant (const struct az_agent_state *state)
{
  if (az_agent_is_stopping (state) || state->is_upstream_unhealthy
      || !az_agent_is_in_service (state))
    return false;
  if (az_agent_is_record_memory_full (state))
    return false;
  return az_agent_is_fresh (state, az_agent_now (state));
}

static uint32_t
slot_limit (const struct az_agent_state *state)
{
  uint32_t capacity = az_agent_capacity (state);

  if (az_time_compare (az_agent_now (state), state->ramp_ends_at) < 0)
    return MAX (capacity / 2, 1);
  return capacity;
}

static uint32_t
used_slots (const struct az_agent_state *state)
{
  return az_table_rows_count (state->running) + g_hash_table_size (state->grants);
}

/* After a reduction of the slots, grants are not renewed until enough of them have expired. */
static bool
is_over_slot_limit (const struct az_agent_state *state)
{
  return used_slots (state) > slot_limit (state);
}

static uint32_t
free_slots (const struct az_agent_state *state)
{
  uint32_t used = used_slots (state);
  uint32_t limit = slot_limit (state);

  return limit > used ? limit - used : 0;
}

/* The upper 24 bits are the low bits of the incarnation, so that a grant issued by an earlier
 * process of this instance does not match. */
static uint64_t
next_grant_id (struct az_agent_state *state)
{
  return (state->incarnation << 40) | (++state->last_grant_number & 0xffffffffff);
}

static void
issue_grant (struct az_agent_state *state, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_agent_grant *grant = g_new0 (struct az_agent_grant, 1);

  grant->id = next_grant_id (state);
  grant->entry = handle;
  grant->issued_at = az_agent_now (state);
  grant->expires_at = az_time_add_ms (grant->issued_at, state->settings.grant_lifetime_ms);
  g_hash_table_insert (state->grants, &grant->id, grant);
  g_array_append_val (entry->grants, grant->id);
  entry->n_idle_grants++;
  az_counters_add (state->counters, state->metrics.grants, 1);
}

/**
 * az_agent_grants_issue - grants all free slots to connected entries
 * @preferred: entry whose task has just freed a slot, or 0
 */
void
az_agent_grants_issue (struct az_agent_state *state, uint32_t preferred)
{
  uint32_t n_free = az_agent_can_grant (state) ? free_slots (state) : 0;

  for (; n_free > 0; n_free--)
    {
      uint32_t entry = az_agent_grant_choose (state, preferred);

      if (!entry)
        return;
      issue_grant (state, entry);
    }
}

/* Removes all grants of @entry, or the expired grants of all entries if @entry is 0. */
static void
remove_grants (struct az_agent_state *state, uint32_t entry)
{
  struct timespec now = az_agent_now (state);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, state->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_grant *grant = value;
      struct az_agent_entry *holder = az_agent_entry_get (state, grant->entry);

      if (entry ? grant->entry != entry : az_time_compare (grant->expires_at, now) > 0)
        continue;
      if (holder)
        holder->n_idle_grants--;
      g_hash_table_iter_remove (&iter);
    }
}

void
az_agent_grants_remove_by_entry (struct az_agent_state *state, uint32_t entry)
{
  remove_grants (state, entry);
}

/**
 * az_agent_grants_revoke_all - invalidates all grants and sends RECALL to their holders
 *
 * RECALL only saves the entries a refusal: a START with a revoked grant is refused in any case.
 */
void
az_agent_grants_revoke_all (struct az_agent_state *state)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (entry->n_idle_grants)
        az_agent_grants_recall (state, handle, entry->n_idle_grants, 0);
      g_array_set_size (entry->grants, 0);
      az_agent_grants_remove_by_entry (state, handle);
    }
}

void
az_agent_grants_returned (struct az_agent_state *state,
                          uint32_t entry,
                          const struct az_grant_ids *ids)
{
  for (u_int i = 0; i < ids->ids.ids_len; i++)
    {
      struct az_agent_grant *grant = az_agent_grant_get (state, ids->ids.ids_val[i]);

      if (grant && grant->entry == entry)
        az_agent_grant_remove (state, grant);
      else
        az_counters_add (state->counters, state->metrics.late_messages, 1);
    }
  az_agent_grants_issue (state, 0);
}

void
az_agent_grants_tick (struct az_agent_state *state)
{
  remove_grants (state, 0);
  if (az_agent_can_grant (state) && !is_over_slot_limit (state))
    az_agent_grants_renew (state);
  az_agent_grants_issue (state, 0);
}
