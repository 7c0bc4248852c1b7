#include "azurerock/log.h"
#include "entry/cluster.h"
#include "entry/send.h"

/* Largest random pause between writes, so that entries don't repeat a conflict in step. */
#define WRITE_JITTER_MAX_MS 200

/* A table is written only if the store was read within this time: an older read says too little
 * about what the store holds now. */
#define STORE_READ_AGE_MAX_MS 2000

/* A write without an answer for this long doesn't delay the next one. */
#define WRITE_TIMEOUT_MS 5000

bool
az_entry_is_live (const struct az_entry_state *state, uint64_t incarnation)
{
  const struct timespec *session_lost_at;

  if (incarnation == state->incarnation)
    return !state->stopping;
  if (!az_owner_table_has_member (&state->table, incarnation))
    return false;
  if (g_hash_table_contains (state->store.sessions, &incarnation))
    return true;
  session_lost_at = g_hash_table_lookup (state->store.session_lost_at, &incarnation);
  /* The roster can show a new member before the store read shows its session. */
  return !session_lost_at
         || az_time_diff_ms (state->now, *session_lost_at) < state->settings.owner_session_ms;
}

bool
az_entry_has_live_peer (const struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->table.roster.roster_len; i++)
    {
      uint64_t member = state->table.roster.roster_val[i].incarnation;

      if (member != state->incarnation && az_entry_is_live (state, member))
        return true;
    }
  return false;
}

static void
fill_first_table (const struct az_entry_state *state, struct az_table *table)
{
  table->partitions.partitions_len = AZ_PARTITIONS;
  table->partitions.partitions_val = g_new0 (struct az_partition, AZ_PARTITIONS);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    table->partitions.partitions_val[p].owner = state->incarnation;
  az_entry_plan_join (state, table);
}

static bool
plan_next_table (const struct az_entry_state *state, struct az_table *table)
{
  bool is_member = az_owner_table_has_member (table, state->incarnation);
  bool is_confirmed = state->confirmed_version >= state->table.table_version;

  /* This entry may replace an earlier incarnation of its instance in the roster although the
   * present version isn't confirmed. The member whose report is missing may be that incarnation,
   * and only this entry can report in its place. */
  if (!is_member && !state->stopping && az_entry_plan_replace (state, table))
    return true;
  if (!is_confirmed)
    return false;
  if (state->stopping)
    return is_member && az_entry_plan_stop (state, table);
  if (!is_member)
    return az_entry_plan_join (state, table);
  return az_entry_plan_takeover (state, table) || az_entry_plan_removal (state, table)
         || az_entry_plan_rebalance (state, table);
}

static bool
can_write (const struct az_entry_state *state)
{
  if (state->store.write_pending
      && az_time_diff_ms (state->now, state->store.write_requested_at) < WRITE_TIMEOUT_MS)
    return false;
  if (!state->store.has_been_read || az_time_compare (state->now, state->store.next_write) < 0
      || az_time_diff_ms (state->now, state->store.last_read_sent_at) > STORE_READ_AGE_MAX_MS)
    return false;
  if (!state->has_table)
    return state->store.owners_absent && !state->stopping;
  return state->store.has_sessions && state->store.table_version == state->table.table_version;
}

static void
write_table (struct az_entry_state *state, const struct az_table *table)
{
  state->store.write_pending = true;
  state->store.write_requested_at = state->now;
  state->store.next_write
      = az_time_add_ms (state->now, g_rand_int_range (state->random, 1, WRITE_JITTER_MAX_MS));
  az_entry_count (state, state->count.table_writes, 1);
  state->io.write_table (state->io.context, table, state->has_table ? state->store.index : 0);
}

void
az_entry_roster_tick (struct az_entry_state *state)
{
  struct az_table table = { 0 };
  bool changed = true;

  if (!can_write (state))
    return;
  if (state->has_table)
    az_owner_table_copy (&table, &state->table);
  table.table_version = state->table.table_version + 1;
  if (state->has_table)
    changed = plan_next_table (state, &table);
  else
    fill_first_table (state, &table);
  if (changed)
    write_table (state, &table);
  az_owner_table_clear (&table);
}

void
az_entry_table_written (struct az_entry_state *state, enum az_table_write result)
{
  state->store.write_pending = false;
  if (result == AZ_TABLE_WRITE_OK && state->stopping)
    state->has_handed_over = true;
  /* The modify index that the next write must expect is known after the next read of the store.
   * Until then the last read counts as too old. */
  if (result != AZ_TABLE_WRITE_OK)
    az_log (LOG_INFO, "owner table: write %s",
            result == AZ_TABLE_WRITE_CONFLICT ? "lost to another entry" : "without an answer");
  state->store.last_read_sent_at = az_time_add_ms (state->now, -STORE_READ_AGE_MAX_MS - 1);
}
