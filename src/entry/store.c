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

/* Records since when each member has had no session; a session that returns clears the time. */
static void
track_missing_sessions (struct az_entry_board *board)
{
  for (uint32_t i = 0; board->has_table && i < board->table.roster.roster_len; i++)
    {
      uint64_t member = board->table.roster.roster_val[i].incarnation;

      if (g_hash_table_contains (board->store.sessions, &member))
        g_hash_table_remove (board->store.missing, &member);
      else if (!g_hash_table_contains (board->store.missing, &member))
        g_hash_table_insert (board->store.missing, copy_incarnation (member),
                             copy_time (board->now));
    }
}

static void
read_sessions (struct az_entry_board *board, const struct az_store_reading *reading)
{
  if (reading->sessions)
    {
      g_hash_table_remove_all (board->store.sessions);
      for (size_t i = 0; i < reading->n_sessions; i++)
        g_hash_table_add (board->store.sessions, copy_incarnation (reading->sessions[i]));
      board->store.has_sessions = true;
    }
  if (board->store.has_sessions)
    track_missing_sessions (board);
}

/* Returns whether this entry has the table that is in the store. */
static bool
read_table (struct az_entry_board *board, const struct az_store_reading *reading)
{
  struct az_table table;
  GError *error = NULL;

  board->store.owners_absent = reading->owners_absent;
  if (reading->owners_absent)
    return !board->has_table;
  if (!reading->owners)
    return board->store.table_version && reading->owners_index == board->store.index;
  if (!az_owner_table_parse (reading->owners, reading->owners_length, &table, &error))
    {
      az_log (LOG_ERR, "invalid owner table in the store: %s", error->message);
      g_error_free (error);
      return false;
    }
  board->store.index = reading->owners_index;
  board->store.table_version = table.table_version;
  az_entry_adopt_table (board, &table);
  az_owner_table_clear (&table);
  return true;
}

/* A read that was sent after the write shows its result, so a lost answer isn't waited for. */
static void
clear_pending_write (struct az_entry_board *board, const struct az_store_reading *reading)
{
  if (board->store.write_pending && az_time_compare (reading->sent, board->store.written) > 0)
    board->store.write_pending = false;
}

void
az_entry_store_read (struct az_entry_board *board, const struct az_store_reading *reading)
{
  uint64_t revision = board->revision;
  uint64_t version = board->table.table_version;
  bool has_configuration;
  bool has_table;

  clear_pending_write (board, reading);
  if (reading->config)
    board->store.config_rejected
        = !az_entry_adopt_configuration (board, reading->config, reading->config_length);
  has_configuration
      = !board->store.config_rejected && !(reading->config_absent && board->configuration);
  has_table = read_table (board, reading);
  read_sessions (board, reading);
  board->store.read = reading->sent;
  if (has_configuration && has_table)
    {
      board->store.seen = true;
      board->restored = true;
      board->store.evidence = reading->sent;
    }
  az_entry_evidence_update (board);
  if (board->revision != revision || board->table.table_version != version)
    az_entry_notify_state_change (board);
}
