#include "agent/state.h"

static bool
is_recallable (const struct az_agent_grant *grant, uint32_t entry, struct timespec issued_before)
{
  return grant->entry == entry && !grant->recalled
         && az_time_compare (grant->issued_at, issued_before) <= 0;
}

/* Grants that were not sent to the entry yet are removed at once, without RECALL. */
static void
remove_unsent_grants (struct az_agent_state *state, uint32_t handle, uint32_t *wanted)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, state->grants);
  while (*wanted && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct az_agent_grant *grant = value;

      if (grant->entry != handle || grant->sent)
        continue;
      entry->n_idle_grants--;
      (*wanted)--;
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * az_agent_grants_recall - asks an entry to return unused grants
 * @wanted: upper limit of the number of grants
 * @min_age_ms: only grants that were issued at least this long ago are recalled
 *
 * A recalled grant stays valid until it is returned, used or expired. The slots of grants that were
 * not sent yet are free after the call; the caller issues grants for them.
 */
void
az_agent_grants_recall (struct az_agent_state *state,
                        uint32_t handle,
                        uint32_t wanted,
                        int64_t min_age_ms)
{
  struct timespec issued_before = az_time_add_ms (az_agent_now (state), -min_age_ms);
  struct az_message message = { .proc = AZ_RECALL };
  struct az_grant_ids *recall = &message.az_message_u.recall;
  u_quad_t ids[AZ_MAX_GRANTS];
  GHashTableIter iter;
  void *value;

  remove_unsent_grants (state, handle, &wanted);
  recall->ids.ids_val = ids;
  g_hash_table_iter_init (&iter, state->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value) && recall->ids.ids_len < wanted
         && recall->ids.ids_len < AZ_MAX_GRANTS)
    {
      struct az_agent_grant *grant = value;

      if (!is_recallable (grant, handle, issued_before))
        continue;
      grant->recalled = true;
      ids[recall->ids.ids_len++] = grant->id;
    }
  if (!recall->ids.ids_len)
    return;
  az_counters_add (state->counters, state->metrics.recalls, recall->ids.ids_len);
  az_agent_send (state, az_agent_entry_get (state, handle), &message);
}
