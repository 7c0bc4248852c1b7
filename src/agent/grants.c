#include "agent/board.h"

struct az_agent_grant *
az_agent_grant_get (const struct az_agent_board *board, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_lookup (board->grants, &key);
}

void
az_agent_grant_remove (struct az_agent_board *board, struct az_agent_grant *grant)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, grant->entry);

  if (entry)
    entry->idle--;
  g_hash_table_remove (board->grants, &grant->id);
}

bool
az_agent_may_grant (const struct az_agent_board *board)
{
  if (az_agent_is_stopping (board) || board->unhealthy || !az_agent_in_service (board))
    return false;
  if (az_agent_records_full (board))
    return false;
  return az_agent_is_fresh (board, az_agent_now (board));
}

static uint32_t
slot_limit (const struct az_agent_board *board)
{
  uint32_t capacity = az_agent_capacity (board);

  if (az_time_compare (az_agent_now (board), board->ramp_until) < 0)
    return MAX (capacity / 2, 1);
  return capacity;
}

static uint32_t
used_slots (const struct az_agent_board *board)
{
  return az_table_rows_count (board->running) + g_hash_table_size (board->grants);
}

/* After a reduction of the slots, the grants above it expire. */
static bool
exceeds_limit (const struct az_agent_board *board)
{
  return used_slots (board) > slot_limit (board);
}

static uint32_t
free_slots (const struct az_agent_board *board)
{
  uint32_t used = used_slots (board);
  uint32_t limit = slot_limit (board);

  return limit > used ? limit - used : 0;
}

/* The low half of the incarnation in the id keeps a grant of a former agent from matching. */
static uint64_t
next_id (struct az_agent_board *board)
{
  return (board->incarnation << 40) | (++board->next_grant & 0xffffffffff);
}

static void
give (struct az_agent_board *board, uint32_t handle)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  struct az_agent_grant *grant = g_new0 (struct az_agent_grant, 1);

  grant->id = next_id (board);
  grant->entry = handle;
  grant->given = az_agent_now (board);
  grant->expires = az_time_add_ms (grant->given, board->settings.grant_life_ms);
  g_hash_table_insert (board->grants, &grant->id, grant);
  g_array_append_val (entry->grants, grant->id);
  entry->idle++;
  az_counters_add (board->counters, board->metrics.grants, 1);
}

/**
 * az_agent_grants_offer - grants the free slots
 * @preferred: entry whose task has just freed a slot, or 0
 */
void
az_agent_grants_offer (struct az_agent_board *board, uint32_t preferred)
{
  uint32_t n_free = az_agent_may_grant (board) ? free_slots (board) : 0;

  for (; n_free > 0; n_free--)
    {
      uint32_t entry = az_agent_grant_choose (board, preferred);

      if (!entry)
        return;
      give (board, entry);
    }
}

/* Removes the grants of an entry, or those that have expired if @entry is 0. */
static void
remove_grants (struct az_agent_board *board, uint32_t entry)
{
  struct timespec now = az_agent_now (board);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, board->grants);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_grant *grant = value;
      struct az_agent_entry *holder = az_agent_entry_get (board, grant->entry);

      if (entry ? grant->entry != entry : az_time_compare (grant->expires, now) > 0)
        continue;
      if (holder)
        holder->idle--;
      g_hash_table_iter_remove (&iter);
    }
}

void
az_agent_grants_drop_entry (struct az_agent_board *board, uint32_t entry)
{
  remove_grants (board, entry);
}

/**
 * az_agent_grants_revoke_all - ends all grants at once and tells their holders
 *
 * RECALL only spares the entries a refusal: a START with a revoked grant finds no grant.
 */
void
az_agent_grants_revoke_all (struct az_agent_board *board)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      if (entry->idle)
        az_agent_recall (board, handle, entry->idle, 0);
      g_array_set_size (entry->grants, 0);
      az_agent_grants_drop_entry (board, handle);
    }
}

void
az_agent_grants_returned (struct az_agent_board *board,
                          uint32_t entry,
                          const struct az_grant_ids *ids)
{
  for (u_int i = 0; i < ids->ids.ids_len; i++)
    {
      struct az_agent_grant *grant = az_agent_grant_get (board, ids->ids.ids_val[i]);

      if (grant && grant->entry == entry)
        az_agent_grant_remove (board, grant);
      else
        az_counters_add (board->counters, board->metrics.late, 1);
    }
  az_agent_grants_offer (board, 0);
}

void
az_agent_grants_tick (struct az_agent_board *board)
{
  remove_grants (board, 0);
  if (az_agent_may_grant (board) && !exceeds_limit (board))
    az_agent_grants_renew (board);
  az_agent_grants_offer (board, 0);
}
