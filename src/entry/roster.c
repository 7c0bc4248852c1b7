#include "azurerock/log.h"
#include "entry/cluster.h"
#include "entry/send.h"

/* Largest random pause between writes, so that entries don't repeat a conflict in step. */
#define WRITE_JITTER_MAX_MS 200

/* A table is written only if the store was read within this time. */
#define STORE_READ_AGE_MAX_MS 2000

/* A write without an answer for this long doesn't delay the next one. */
#define WRITE_TIMEOUT_MS 5000

bool
az_entry_is_live (const struct az_entry_board *board, uint64_t incarnation)
{
  const struct timespec *missing;

  if (incarnation == board->incarnation)
    return !board->stopping;
  if (!az_owner_table_has (&board->table, incarnation))
    return false;
  if (g_hash_table_contains (board->store.sessions, &incarnation))
    return true;
  missing = g_hash_table_lookup (board->store.missing, &incarnation);
  /* The roster can show a new member before the store read shows its session. */
  return !missing || az_time_diff_ms (board->now, *missing) < board->settings.owner_session_ms;
}

bool
az_entry_has_live_peer (const struct az_entry_board *board)
{
  for (uint32_t i = 0; i < board->table.roster.roster_len; i++)
    {
      uint64_t member = board->table.roster.roster_val[i].incarnation;

      if (member != board->incarnation && az_entry_is_live (board, member))
        return true;
    }
  return false;
}

static void
fill_first_table (const struct az_entry_board *board, struct az_table *table)
{
  table->partitions.partitions_len = AZ_PARTITIONS;
  table->partitions.partitions_val = g_new0 (struct az_partition, AZ_PARTITIONS);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    table->partitions.partitions_val[p].owner = board->incarnation;
  az_entry_plan_join (board, table);
}

static bool
plan_next_table (const struct az_entry_board *board, struct az_table *table)
{
  bool is_member = az_owner_table_has (table, board->incarnation);
  bool is_confirmed = board->confirmed_version >= board->table.table_version;

  /* A replacement needs no confirmed version: the report that is missing may be that of its
   * predecessor, which only the replacement can give. */
  if (!is_member && !board->stopping && az_entry_plan_replace (board, table))
    return true;
  if (!is_confirmed)
    return false;
  if (board->stopping)
    return is_member && az_entry_plan_stop (board, table);
  if (!is_member)
    return az_entry_plan_join (board, table);
  return az_entry_plan_takeover (board, table) || az_entry_plan_removal (board, table)
         || az_entry_plan_rebalance (board, table);
}

static bool
can_write (const struct az_entry_board *board)
{
  if (board->store.write_pending
      && az_time_diff_ms (board->now, board->store.written) < WRITE_TIMEOUT_MS)
    return false;
  if (!board->store.seen || az_time_compare (board->now, board->store.next_write) < 0
      || az_time_diff_ms (board->now, board->store.read) > STORE_READ_AGE_MAX_MS)
    return false;
  if (!board->has_table)
    return board->store.owners_absent && !board->stopping;
  return board->store.has_sessions && board->store.table_version == board->table.table_version;
}

static void
write_table (struct az_entry_board *board, const struct az_table *table)
{
  board->store.write_pending = true;
  board->store.written = board->now;
  board->store.next_write
      = az_time_add_ms (board->now, g_rand_int_range (board->random, 1, WRITE_JITTER_MAX_MS));
  az_entry_count (board, board->count.table_writes, 1);
  board->io.write_table (board->io.context, table, board->has_table ? board->store.index : 0);
}

void
az_entry_roster_tick (struct az_entry_board *board)
{
  struct az_table table = { 0 };
  bool changed = true;

  if (!can_write (board))
    return;
  if (board->has_table)
    az_owner_table_copy (&table, &board->table);
  table.table_version = board->table.table_version + 1;
  if (board->has_table)
    changed = plan_next_table (board, &table);
  else
    fill_first_table (board, &table);
  if (changed)
    write_table (board, &table);
  az_owner_table_clear (&table);
}

void
az_entry_table_written (struct az_entry_board *board, enum az_table_write result)
{
  board->store.write_pending = false;
  if (result == AZ_TABLE_WRITE_OK && board->stopping)
    board->handed_over = true;
  /* The index that the next write must expect is known after the next read of the store. Until
   * then the last read counts as too old. */
  if (result != AZ_TABLE_WRITE_OK)
    az_log (LOG_INFO, "owner table: write %s",
            result == AZ_TABLE_WRITE_CONFLICT ? "lost to another entry" : "without an answer");
  board->store.read = az_time_add_ms (board->now, -STORE_READ_AGE_MAX_MS - 1);
}
