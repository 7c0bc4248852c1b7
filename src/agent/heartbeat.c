#include "agent/board.h"
#include <string.h>
#include <xxhash.h>

/* An entry that sent a START this recently is likely to send another. */
#define ACTIVE_MS 3000

/* Older evidence than in normal operation (sections 5.2 of the design page): the home entry may
 * be cut off, so the other entries are asked as often as it. */
#define EVIDENCE_LATE_MS 1500

/* While results wait for an acknowledgement that the agent needs soon: it stops, or its records
 * use more than half of their memory. */
#define URGENT_INTERVAL_MS 100

void
az_agent_heartbeat_send (struct az_agent_board *board, struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_HEARTBEAT };
  struct az_heartbeat *heartbeat = &message.az_message_u.heartbeat;
  struct timespec now = az_agent_now (board);

  heartbeat->sent_ns = (uint64_t)az_time_to_ns (now);
  heartbeat->revision = board->view.revision;
  heartbeat->table_version = board->owners.table_version;
  heartbeat->running = az_table_rows_count (board->running);
  heartbeat->stopping = az_agent_is_stopping (board);
  entry->last_heartbeat = now;
  if (!entry->awaiting)
    entry->awaiting_since = now;
  entry->awaiting = true;
  az_agent_send (board, entry, &message);
}

/* Rendezvous hashing: each entry is home to its share of the agents, and the loss of an entry
 * moves only its own. */
uint64_t
az_agent_entry_weight (const struct az_agent_board *board, const struct az_agent_entry *entry)
{
  const char *instance = board->settings.instance;

  return XXH64 (instance, strlen (instance), entry->incarnation);
}

static uint32_t
home_entry (const struct az_agent_board *board)
{
  uint64_t best = 0;
  uint32_t home = 0;

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (board, handle);

      if (!entry->incarnation || (home && az_agent_entry_weight (board, entry) <= best))
        continue;
      best = az_agent_entry_weight (board, entry);
      home = handle;
    }
  return home;
}

static bool
has_running (const struct az_agent_board *board, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (board->running, 0); handle;
       handle = az_table_rows_next (board->running, handle))
    {
      const struct az_agent_running *running = az_table_rows_get (board->running, handle);

      if (running->record->origin == incarnation)
        return true;
    }
  return false;
}

static bool
is_urgent (const struct az_agent_board *board)
{
  if (board->stopping)
    return board->unacknowledged_bytes > 0;
  return board->unacknowledged_bytes > board->settings.record_bytes_max / 2;
}

static int64_t
interval_ms (const struct az_agent_board *board,
             const struct az_agent_entry *entry,
             bool is_home,
             struct timespec now)
{
  if (is_urgent (board))
    return URGENT_INTERVAL_MS;
  if (is_home || az_time_diff_ms (now, entry->last_start) < ACTIVE_MS)
    return board->settings.heartbeat_home_ms;
  if (az_agent_evidence_age_ms (board, now) > EVIDENCE_LATE_MS)
    return board->settings.heartbeat_home_ms;
  if (has_running (board, entry->incarnation))
    return board->settings.heartbeat_home_ms;
  return board->settings.heartbeat_other_ms;
}

void
az_agent_heartbeat_tick (struct az_agent_board *board)
{
  struct timespec now = az_agent_now (board);
  uint32_t home = home_entry (board);

  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (board, handle);
      int64_t interval = interval_ms (board, entry, handle == home, now);

      if (entry->incarnation && az_time_diff_ms (now, entry->last_heartbeat) >= interval)
        az_agent_heartbeat_send (board, entry);
    }
}
