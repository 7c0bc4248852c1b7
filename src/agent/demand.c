#include "agent/board.h"

static uint32_t
recalled_idle (const struct az_agent_board *board)
{
  GHashTableIter iter;
  uint32_t n_recalled = 0;
  void *grant;

  g_hash_table_iter_init (&iter, board->grants);
  while (g_hash_table_iter_next (&iter, NULL, &grant))
    n_recalled += ((struct az_agent_grant *)grant)->recalled;
  return n_recalled;
}

static uint32_t
total_need (const struct az_agent_board *board)
{
  uint32_t need = 0;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      need += entry->incarnation ? az_agent_entry_need (board, entry) : 0;
    }
  return need;
}

/* Entry with the most idle grants above what it needs itself. */
static uint32_t
most_idle_entry (const struct az_agent_board *board, uint64_t asked)
{
  uint32_t choice = 0;
  uint32_t most = 0;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);
      bool was_asked = asked & (1ull << (handle & 63));

      if (was_asked || entry->idle <= most || az_agent_entry_need (board, entry))
        continue;
      most = entry->idle;
      choice = handle;
    }
  return choice;
}

/* Asks the entries with the most idle grants until enough is on its way back or every entry was
 * asked. */
static void
recall_for_need (struct az_agent_board *board)
{
  uint32_t wanted = az_agent_may_grant (board) ? (total_need (board) + 1) / 2 : 0;
  uint32_t pending = wanted ? recalled_idle (board) : 0;
  uint64_t asked = 0;

  while (wanted > pending)
    {
      uint32_t entry = most_idle_entry (board, asked);

      if (!entry)
        break;
      asked |= 1ull << (entry & 63);
      az_agent_recall (board, entry, wanted - pending, AZ_RECALL_IDLE_MS);
      pending = recalled_idle (board);
    }
  if (asked)
    az_agent_grants_offer (board, 0);
}

void
az_agent_demand_received (struct az_agent_board *board,
                          uint32_t handle,
                          const struct az_demand *demand)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  entry->demanded = az_agent_now (board);
  entry->waiting = demand->waiting;
  entry->oldest = az_time_add_ms (entry->demanded, -(int64_t)demand->oldest_ms);
  if (!demand->waiting)
    return;
  az_agent_grants_offer (board, 0);
  recall_for_need (board);
}

void
az_agent_demand_tick (struct az_agent_board *board)
{
  recall_for_need (board);
}

/**
 * az_agent_demand_rebalance - recalls what others hold above an equal share
 *
 * Called when an entry joins, which would otherwise wait for its first grant until it has
 * demand.
 */
void
az_agent_demand_rebalance (struct az_agent_board *board)
{
  uint32_t n_entries = 0;
  uint32_t share;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    n_entries += az_agent_entry_get (board, handle)->incarnation != 0;
  share = n_entries ? (az_agent_capacity (board) + n_entries - 1) / n_entries : 0;
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      if (entry->idle > share && !az_agent_entry_need (board, entry))
        az_agent_recall (board, handle, entry->idle - share, 0);
    }
  az_agent_grants_offer (board, 0);
}
