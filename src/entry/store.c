#include "azurerock/log.h"
#include "entry/cluster.h"

static struct timespec *
copy_time (struct timespec time)
{
  return g_memdup2 (&time, sizeof time);
}

static uint64_t *
copy_incarnation (uint64_t incarnation)
{
  return g_memdup2 (&incarnation, sizeof incarnation);
}

/* Records for each member the time since which it has had no session. The time is removed if the
 * session returns. */
static void
track_missing_sessions (struct az_entry_state *state)
{
  for (uint32_t i = 0; state->has_table && i < state->table.roster.roster_len; i++)
    {
      uint64_t member = state->table.roster.roster_val[i].incarnation;

      if (g_hash_table_contains (state->store.sessions, &member))
        g_hash_table_remove (state->store.session_lost_at, &member);
      else if (!g_hash_table_contains (state->store.session_lost_at, &member))
        g_hash_table_insert (state->store.session_lost_at, copy_incarnation (member),
                             copy_time (state->now));
    }
}

static void
read_sessions (struct az_entry_state *state, const struct az_store_reading *reading)
{
  if (reading->sessions)
    {
      g_hash_table_remove_all (state->store.sessions);
      for (size_t i = 0; i < reading->n_sessions; i++)
        g_hash_table_add (state->store.sessions, copy_incarnation (reading->sessions[i]));
      state->store.has_sessions = true;
    }
  if (state->store.has_sessions)
    track_missing_sessions (state);
}

/* Returns whether this entry has the table that is in the store. */
static bool
read_table (struct az_entry_state *state, const struct az_store_reading *reading)
{
  struct az_table table;
  GError *error = NULL;

  state->store.owners_absent = reading->owners_absent;
  if (reading->owners_absent)
    return !state->has_table;
  if (!reading->owners)
    return state->store.table_version && reading->owners_index == state->store.index;
  if (!az_owner_table_parse (reading->owners, reading->owners_length, &table, &error))
    {
      az_log (LOG_ERR, "invalid owner table in the store: %s", error->message);
      g_error_free (error);
      return false;
    }
  state->store.index = reading->owners_index;
  state->store.table_version = table.table_version;
  az_entry_adopt_table (state, &table);
  az_owner_table_clear (&table);
  return true;
}

/* A read that was sent after the write shows the result of the write, whose answer is then not
 * waited for. */
static void
clear_pending_write (struct az_entry_state *state, const struct az_store_reading *reading)
{
  if (state->store.write_pending
      && az_time_compare (reading->sent, state->store.write_requested_at) > 0)
    state->store.write_pending = false;
}

void
az_entry_store_read (struct az_entry_state *state, const struct az_store_reading *reading)
{
  uint64_t revision = state->revision;
  uint64_t version = state->table.table_version;
  bool has_configuration;
  bool has_table;

  clear_pending_write (state, reading);
  if (reading->config)
    state->store.config_rejected
        = !az_entry_adopt_configuration (state, reading->config, reading->config_length);
  has_configuration
      = !state->store.config_rejected && !(reading->config_absent && state->configuration);
  has_table = read_table (state, reading);
  read_sessions (state, reading);
  state->store.last_read_sent_at = reading->sent;
  if (has_configuration && has_table)
    {
      state->store.has_been_read = true;
      state->restored = true;
      state->store.evidence = reading->sent;
    }
  az_entry_evidence_update (state);
  if (state->revision != revision || state->table.table_version != version)
    az_entry_notify_state_change (state);
}
