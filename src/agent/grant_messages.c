#include "agent/state.h"

/* A grant is due for renewal when less than 40% of its lifetime is left. One message then renews
 * all grants of the entry with less than 60% left. A RESULT also renews these, so that under load
 * no separate message is needed. */
#define RENEW_PERCENT 40
#define RENEW_EARLY_PERCENT 60

static bool
is_near_expiry (const struct az_agent_state *state,
                const struct az_agent_grant *grant,
                int64_t percent)
{
  int64_t left_ms = az_time_diff_ms (grant->expires_at, az_agent_now (state));

  return left_ms * 100 < state->settings.grant_lifetime_ms * percent;
}

static bool
is_grant_pending (const struct az_agent_entry *entry, uint64_t id)
{
  for (guint i = 0; i < entry->grants->len; i++)
    if (g_array_index (entry->grants, uint64_t, i) == id)
      return true;
  return false;
}

static void
renew_grants (struct az_agent_state *state, uint32_t handle, int64_t percent)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct timespec now = az_agent_now (state);
  GHashTableIter iter;
  void *value;

  if (!az_agent_can_keep_idle (state, entry))
    return;
  g_hash_table_iter_init (&iter, state->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_grant *grant = value;

      if (grant->entry != handle || grant->recalled || is_grant_pending (entry, grant->id))
        continue;
      if (!is_near_expiry (state, grant, percent) || az_time_compare (grant->expires_at, now) <= 0)
        continue;
      grant->expires_at = az_time_add_ms (now, state->settings.grant_lifetime_ms);
      g_array_append_val (entry->grants, grant->id);
    }
}

void
az_agent_grants_renew (struct az_agent_state *state)
{
  GHashTableIter iter;
  uint32_t due_entry = 0;
  void *value;

  g_hash_table_iter_init (&iter, state->grants);
  while (!due_entry && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_grant *grant = value;

      if (!grant->recalled && is_near_expiry (state, grant, RENEW_PERCENT)
          && az_agent_can_keep_idle (state, az_agent_entry_get (state, grant->entry)))
        due_entry = grant->entry;
    }
  if (due_entry)
    renew_grants (state, due_entry, RENEW_EARLY_PERCENT);
}

/** az_agent_grants_renew_early - renews grants of an entry in a message that is sent in any case */
void
az_agent_grants_renew_early (struct az_agent_state *state, uint32_t entry)
{
  if (az_agent_can_grant (state))
    renew_grants (state, entry, RENEW_EARLY_PERCENT);
}

/**
 * az_agent_grants_take - moves the pending grants of an entry to a new array
 * @n_grants: receives the length, 0 if no pending grant is still valid
 *
 * Return: array to free with g_free(), NULL if no grant was pending.
 */
struct az_grant *
az_agent_grants_take (struct az_agent_state *state, uint32_t handle, u_int *n_grants)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_grant *grants = g_new0 (struct az_grant, entry->grants->len);

  *n_grants = 0;
  for (guint i = 0; i < entry->grants->len && *n_grants < AZ_MAX_GRANTS; i++)
    {
      uint64_t id = g_array_index (entry->grants, uint64_t, i);
      struct az_agent_grant *grant = az_agent_grant_get (state, id);
      int64_t left_ms = grant ? az_time_diff_ms (grant->expires_at, az_agent_now (state)) : 0;

      if (left_ms <= 0 || grant->recalled)
        continue;
      grant->sent = true;
      grants[*n_grants].id = id;
      grants[(*n_grants)++].remaining_ms = (u_int)left_ms;
    }
  g_array_set_size (entry->grants, 0);
  return grants;
}
