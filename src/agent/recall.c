#include "agent/board.h"

static bool
is_recallable (const struct az_agent_grant *grant, uint32_t entry, struct timespec given_before)
{
  return grant->entry == entry && !grant->recalled
         && az_time_compare (grant->given, given_before) <= 0;
}

/* A grant that the entry has not been told of needs no answer. */
static void
withdraw_unsent (struct az_agent_board *board, uint32_t handle, uint32_t *wanted)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, board->grants);
  while (*wanted && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct az_agent_grant *grant = value;

      if (grant->entry != handle || grant->sent)
        continue;
      entry->idle--;
      (*wanted)--;
      g_hash_table_iter_remove (&iter);
    }
}

/**
 * az_agent_recall - asks an entry to return unused grants
 * @wanted: at most this many
 * @idle_ms: only grants given at least this long ago
 *
 * A recalled grant stays valid until it is returned, used or expires. Grants that were not sent
 * yet are free after the call; the caller offers them again.
 */
void
az_agent_recall (struct az_agent_board *board, uint32_t handle, uint32_t wanted, int64_t idle_ms)
{
  struct timespec before = az_time_add_ms (az_agent_now (board), -idle_ms);
  struct az_message message = { .proc = AZ_RECALL };
  struct az_grant_ids *recall = &message.az_message_u.recall;
  u_quad_t ids[AZ_MAX_GRANTS];
  GHashTableIter iter;
  void *value;

  withdraw_unsent (board, handle, &wanted);
  recall->ids.ids_val = ids;
  g_hash_table_iter_init (&iter, board->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value) && recall->ids.ids_len < wanted
         && recall->ids.ids_len < AZ_MAX_GRANTS)
    {
      struct az_agent_grant *grant = value;

      if (!is_recallable (grant, handle, before))
        continue;
      grant->recalled = true;
      ids[recall->ids.ids_len++] = grant->id;
    }
  if (!recall->ids.ids_len)
    return;
  az_counters_add (board->counters, board->metrics.recalls, recall->ids.ids_len);
  az_agent_send (board, az_agent_entry_get (board, handle), &message);
}
