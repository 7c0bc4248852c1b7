#include "agent/board.h"
#include "azurerock/configuration.h"

/* An entry of the roster that has not reconnected for this time is taken for dead by a process
 * that only waits for its acknowledgement. Its connections were retried several times by then. */
#define ABSENT_MS 10000

bool
az_agent_is_stopping (const struct az_agent_board *board)
{
  return board->stopping && !board->guards.no_stopping_check;
}

void
az_agent_drain_begin (struct az_agent_board *board)
{
  board->stopping = true;
  if (!az_agent_is_stopping (board))
    return;
  az_agent_grants_revoke_all (board);
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      if (entry->incarnation)
        az_agent_heartbeat_send (board, entry);
    }
}

static bool
has_live_owner (const struct az_agent_board *board, const struct az_agent_origin *origin)
{
  if (az_agent_entry_by_incarnation (board, origin->incarnation))
    return true;
  return az_owner_table_has (&board->owners, origin->incarnation)
         && az_time_diff_ms (az_agent_now (board), origin->gone) < ABSENT_MS;
}

bool
az_agent_is_drained (const struct az_agent_board *board)
{
  GHashTableIter iter;
  void *value;

  if (az_table_rows_count (board->running))
    return false;
  g_hash_table_iter_init (&iter, board->origins);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct az_agent_origin *origin = value;

      if (origin->unacknowledged.length && has_live_owner (board, origin))
        return false;
    }
  return true;
}
