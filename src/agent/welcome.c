#include "agent/board.h"

/* The same entry may be known by a seed address and by its address in the roster. The older
 * connection is closed first, so that no START on it can arrive after a QUERY on the new one. */
static void
close_older (struct az_agent_board *board, uint32_t keep, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    if (handle != keep && az_agent_entry_get (board, handle)->incarnation == incarnation)
      az_agent_connections_replace (board, handle);
}

void
az_agent_welcome (struct az_agent_board *board, uint32_t handle, const struct az_welcome *welcome)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);

  if (entry->incarnation || !welcome->incarnation)
    {
      az_counters_add (board->counters, board->metrics.late, 1);
      return;
    }
  close_older (board, handle, welcome->incarnation);
  entry->incarnation = welcome->incarnation;
  entry->backoff_ms = 0;
  az_agent_origin_get (board, welcome->incarnation);
  az_agent_results_resend (board, handle);
  az_agent_heartbeat_send (board, entry);
  az_agent_grants_offer (board, 0);
  az_agent_demand_rebalance (board);
}
