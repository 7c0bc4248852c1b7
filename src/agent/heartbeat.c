#include "agent/state.h"
#include <string.h>
#include <xxhash.h>

/* An entry that has sent a START within this time is likely to send another. */
#define RECENT_START_MS 3000

/* In normal operation the evidence of freshness is younger than this (design page, section 5.2). If
 * it is older, the home entry may be partitioned, so heartbeats to the other entries become as
 * frequent as those to the home entry. */
#define EVIDENCE_LATE_MS 1500

/* Heartbeat interval while acknowledgements of results are needed soon: the agent is stopping, or
 * unacknowledged results use more than half of the memory for records. */
#define URGENT_INTERVAL_MS 100

void
az_agent_heartbeat_send (struct az_agent_state *state, struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_HEARTBEAT };
  struct az_heartbeat *heartbeat = &message.az_message_u.heartbeat;
  struct timespec now = az_agent_now (state);

  heartbeat->sent_ns = (uint64_t)az_time_to_ns (now);
  heartbeat->revision = state->view.revision;
  heartbeat->table_version = state->owner_table.table_version;
  heartbeat->running = az_table_rows_count (state->running);
  heartbeat->stopping = az_agent_is_stopping (state);
  entry->last_heartbeat_at = now;
  if (!entry->is_awaiting_reply)
    entry->awaiting_reply_since = now;
  entry->is_awaiting_reply = true;
  az_agent_send (state, entry, &message);
}

/* Rendezvous hashing: the entry with the highest weight is the home entry of this agent. Each entry
 * is home to an equal share of the agents, and the loss of an entry moves only its own agents. */
uint64_t
az_agent_entry_weight (const struct az_agent_state *state, const struct az_agent_entry *entry)
{
  const char *instance = state->settings.instance;

  return XXH64 (instance, strlen (instance), entry->incarnation);
}

static uint32_t
home_entry (const struct az_agent_state *state)
{
  uint64_t best = 0;
  uint32_t home = 0;

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      const struct az_agent_entry *entry = az_agent_entry_get (state, handle);

      if (!entry->incarnation || (home && az_agent_entry_weight (state, entry) <= best))
        continue;
      best = az_agent_entry_weight (state, entry);
      home = handle;
    }
  return home;
}

static bool
has_running_task (const struct az_agent_state *state, uint64_t incarnation)
{
  for (uint32_t handle = az_table_rows_next (state->running, 0); handle;
       handle = az_table_rows_next (state->running, handle))
    {
      const struct az_agent_running *running = az_table_rows_get (state->running, handle);

      if (running->record->origin == incarnation)
        return true;
    }
  return false;
}

static bool
is_acknowledgement_urgent (const struct az_agent_state *state)
{
  if (state->stopping)
    return state->unacknowledged_bytes > 0;
  return state->unacknowledged_bytes > state->settings.record_bytes_max / 2;
}

static int64_t
interval_ms (const struct az_agent_state *state,
             const struct az_agent_entry *entry,
             bool is_home,
             struct timespec now)
{
  if (is_acknowledgement_urgent (state))
    return URGENT_INTERVAL_MS;
  if (is_home || az_time_diff_ms (now, entry->last_start_at) < RECENT_START_MS)
    return state->settings.heartbeat_short_interval_ms;
  if (az_agent_evidence_age_ms (state, now) > EVIDENCE_LATE_MS)
    return state->settings.heartbeat_short_interval_ms;
  if (has_running_task (state, entry->incarnation))
    return state->settings.heartbeat_short_interval_ms;
  return state->settings.heartbeat_long_interval_ms;
}

void
az_agent_heartbeat_tick (struct az_agent_state *state)
{
  struct timespec now = az_agent_now (state);
  uint32_t home = home_entry (state);

  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    {
      struct az_agent_entry *entry = az_agent_entry_get (state, handle);
      int64_t interval = interval_ms (state, entry, handle == home, now);

      if (entry->incarnation && az_time_diff_ms (now, entry->last_heartbeat_at) >= interval)
        az_agent_heartbeat_send (state, entry);
    }
}
