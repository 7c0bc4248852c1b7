#include "agent/board.h"
#include "azurerock/configuration.h"

static void
mark_roster (struct az_agent_board *board)
{
  const struct az_table *owners = &board->owners;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    az_agent_entry_get (board, handle)->in_roster = false;
  for (u_int i = 0; i < owners->roster.roster_len; i++)
    {
      const char *address = owners->roster.roster_val[i].rpc_address;

      az_agent_entry_get (board, az_agent_entry_add (board, address))->in_roster = true;
    }
}

void
az_agent_owners_received (struct az_agent_board *board, const struct az_table *table)
{
  if (table->table_version <= board->owners.table_version)
    {
      az_counters_add (board->counters, board->metrics.late, 1);
      return;
    }
  az_owner_table_clear (&board->owners);
  az_owner_table_copy (&board->owners, table);
  mark_roster (board);
  az_agent_connections_tick (board);
}
