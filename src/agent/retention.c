#include "agent/board.h"
#include "azurerock/configuration.h"

struct az_agent_origin *
az_agent_origin_get (struct az_agent_board *board, uint64_t incarnation)
{
  gint64 key = (gint64)incarnation;
  struct az_agent_origin *origin = g_hash_table_lookup (board->origins, &key);

  if (origin)
    return origin;
  origin = g_new0 (struct az_agent_origin, 1);
  origin->incarnation = incarnation;
  origin->gone = az_agent_now (board);
  g_queue_init (&origin->unacknowledged);
  g_hash_table_insert (board->origins, &origin->incarnation, origin);
  return origin;
}

/** az_agent_records_full - unacknowledged results alone have reached the memory limit */
bool
az_agent_records_full (const struct az_agent_board *board)
{
  return board->unacknowledged_bytes >= board->settings.record_bytes_max;
}

static bool
is_gone (const struct az_agent_board *board,
         const struct az_agent_origin *origin,
         struct timespec now)
{
  return !az_agent_entry_by_incarnation (board, origin->incarnation)
         && az_time_diff_ms (now, origin->gone) > board->settings.record_retention_ms;
}

/* A frozen entry may return after any time and ask, so the loss of a record is remembered: its
 * QUERY must not be answered "not started" then. */
static void
drop_unacknowledged (struct az_agent_board *board, struct az_agent_origin *origin)
{
  struct az_agent_record *record;

  while ((record = g_queue_peek_head (&origin->unacknowledged)))
    {
      origin->forgotten = true;
      az_agent_record_remove (board, record);
    }
}

static void
drop_gone_origins (struct az_agent_board *board, struct timespec now)
{
  bool is_full = board->record_bytes > board->settings.record_bytes_max;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, board->origins);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_origin *origin = value;
      bool may_return = az_owner_table_has (&board->owners, origin->incarnation);

      if (origin->unacknowledged.length && is_gone (board, origin, now) && (is_full || !may_return))
        drop_unacknowledged (board, origin);
    }
}

/** az_agent_retention_evict - frees acknowledged records, the oldest first, down to the limit */
void
az_agent_retention_evict (struct az_agent_board *board)
{
  struct az_agent_record *record;

  while (board->record_bytes > board->settings.record_bytes_max
         && (record = g_queue_peek_head (&board->acknowledged)))
    az_agent_record_remove (board, record);
}

void
az_agent_retention_tick (struct az_agent_board *board)
{
  struct timespec now = az_agent_now (board);
  struct az_agent_record *record;

  while ((record = g_queue_peek_head (&board->acknowledged))
         && az_time_diff_ms (now, record->acknowledged_at) > board->settings.record_retention_ms)
    az_agent_record_remove (board, record);
  az_agent_retention_evict (board);
  drop_gone_origins (board, now);
}
