#include "agent/state.h"
#include "azurerock/configuration.h"

struct az_agent_origin *
az_agent_origin_get (struct az_agent_state *state, uint64_t incarnation)
{
  gint64 key = (gint64)incarnation;
  struct az_agent_origin *origin = g_hash_table_lookup (state->origins, &key);

  if (origin)
    return origin;
  origin = g_new0 (struct az_agent_origin, 1);
  origin->incarnation = incarnation;
  origin->disconnected_at = az_agent_now (state);
  g_queue_init (&origin->unacknowledged);
  g_hash_table_insert (state->origins, &origin->incarnation, origin);
  return origin;
}

/** az_agent_is_record_memory_full - whether unacknowledged results alone reach the memory limit */
bool
az_agent_is_record_memory_full (const struct az_agent_state *state)
{
  return state->unacknowledged_bytes >= state->settings.record_bytes_max;
}

static bool
is_past_retention (const struct az_agent_state *state,
                   const struct az_agent_origin *origin,
                   struct timespec now)
{
  return !az_agent_entry_by_incarnation (state, origin->incarnation)
         && az_time_diff_ms (now, origin->disconnected_at) > state->settings.record_retention_ms;
}

/* A suspended entry may resume after any time and send a QUERY. The origin remembers that records
 * were dropped, so that the reply is not "not started". */
static void
drop_unacknowledged (struct az_agent_state *state, struct az_agent_origin *origin)
{
  struct az_agent_record *record;

  while ((record = g_queue_peek_head (&origin->unacknowledged)))
    {
      origin->has_dropped_results = true;
      az_agent_record_remove (state, record);
    }
}

static void
drop_absent_origins (struct az_agent_state *state, struct timespec now)
{
  bool is_full = state->record_bytes > state->settings.record_bytes_max;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, state->origins);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct az_agent_origin *origin = value;
      bool may_return = az_owner_table_has_member (&state->owner_table, origin->incarnation);

      if (origin->unacknowledged.length && is_past_retention (state, origin, now)
          && (is_full || !may_return))
        drop_unacknowledged (state, origin);
    }
}

/** az_agent_retention_evict - frees acknowledged records, the oldest first, to meet the memory
 * limit */
void
az_agent_retention_evict (struct az_agent_state *state)
{
  struct az_agent_record *record;

  while (state->record_bytes > state->settings.record_bytes_max
         && (record = g_queue_peek_head (&state->acknowledged)))
    az_agent_record_remove (state, record);
}

void
az_agent_retention_tick (struct az_agent_state *state)
{
  struct timespec now = az_agent_now (state);
  struct az_agent_record *record;

  while ((record = g_queue_peek_head (&state->acknowledged))
         && az_time_diff_ms (now, record->acknowledged_at) > state->settings.record_retention_ms)
    az_agent_record_remove (state, record);
  az_agent_retention_evict (state);
  drop_absent_origins (state, now);
}
