#include "entry/cluster.h"
#include <string.h>

/* Least time between moves of a partition to balance the load. The table names one previous owner,
 * so a second move makes the outcome of the ids that the owner before that one served unknown. */
#define MOVE_INTERVAL_MIN_MS 60000

/* Time after the end of an interval in which its jobs are expected to be answered. A dead member
 * stays in the roster for that time, and a stopping one keeps partitions that it got from a live
 * member. */
#define INTERVAL_DRAIN_MS 10000

static struct az_roster_entry *
find_member (const struct az_table *table, uint64_t incarnation)
{
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    if (table->roster.roster_val[i].incarnation == incarnation)
      return &table->roster.roster_val[i];
  return NULL;
}

static uint32_t
count_owned (const struct az_table *table, uint64_t incarnation)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < table->partitions.partitions_len; i++)
    count += table->partitions.partitions_val[i].owner == incarnation;
  return count;
}

static uint32_t
count_live (const struct az_entry_state *state, const struct az_table *table)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    count += az_entry_is_live (state, table->roster.roster_val[i].incarnation);
  return MAX (count, 1);
}

void
az_entry_plan_move (const struct az_entry_state *state,
                    struct az_partition *partition,
                    uint64_t owner)
{
  int64_t from_ms = state->wall_ms + state->settings.handover_ms + AZ_CONFIRMATION_MARGIN_MS;
  int64_t latest_wall_ms = state->wall_ms + 2 * state->settings.clock_skew_max_ms;

  /* If no wall clock has reached from_ms, the owner has run nothing and the table keeps the
   * previous owner. */
  if ((int64_t)partition->from_ms > latest_wall_ms)
    from_ms = MAX (from_ms, (int64_t)partition->from_ms);
  else
    partition->previous = partition->owner;
  partition->owner = owner;
  partition->from_ms = (uint64_t)from_ms;
}

static void
set_member (const struct az_entry_state *state, struct az_roster_entry *member)
{
  g_free (member->instance);
  g_free (member->domain);
  g_free (member->rpc_address);
  g_free (member->http_address);
  member->incarnation = state->incarnation;
  member->instance = g_strdup (state->settings.instance);
  member->domain = g_strdup (state->settings.domain);
  member->rpc_address = g_strdup (state->settings.rpc_address);
  member->http_address = g_strdup (state->settings.http_address);
}

bool
az_entry_plan_replace (const struct az_entry_state *state, struct az_table *table)
{
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    {
      struct az_roster_entry *member = &table->roster.roster_val[i];
      uint64_t replaced = member->incarnation;

      if (strcmp (member->instance, state->settings.instance) != 0)
        continue;
      set_member (state, member);
      for (uint32_t p = 0; p < table->partitions.partitions_len; p++)
        if (table->partitions.partitions_val[p].owner == replaced)
          az_entry_plan_move (state, &table->partitions.partitions_val[p], state->incarnation);
      return true;
    }
  return false;
}

static bool
is_movable (const struct az_entry_state *state, const struct az_partition *partition)
{
  int64_t from_ms = (int64_t)partition->from_ms;

  return from_ms > state->wall_ms + 2 * state->settings.clock_skew_max_ms
         || from_ms + MOVE_INTERVAL_MIN_MS < state->wall_ms;
}

/* Takes partitions from members that own more than an equal share. */
bool
az_entry_plan_rebalance (const struct az_entry_state *state, struct az_table *table)
{
  uint32_t share = AZ_PARTITIONS / count_live (state, table);
  uint32_t owned = count_owned (table, state->incarnation);
  uint32_t taken = 0;

  for (uint32_t p = 0; p < table->partitions.partitions_len && owned + taken < share; p++)
    {
      struct az_partition *partition = &table->partitions.partitions_val[p];

      if (partition->owner == state->incarnation || !is_movable (state, partition)
          || count_owned (table, partition->owner) <= share)
        continue;
      az_entry_plan_move (state, partition, state->incarnation);
      taken++;
    }
  return taken > 0;
}

bool
az_entry_plan_join (const struct az_entry_state *state, struct az_table *table)
{
  uint32_t count = table->roster.roster_len;
  struct az_roster_entry *member;

  if (count >= AZ_MAX_ENTRIES)
    return false;
  table->roster.roster_val
      = g_realloc_n (table->roster.roster_val, count + 1, sizeof (struct az_roster_entry));
  member = &table->roster.roster_val[count];
  memset (member, 0, sizeof *member);
  set_member (state, member);
  member->joined = table->table_version;
  table->roster.roster_len = count + 1;
  az_entry_plan_rebalance (state, table);
  return true;
}

/* Returns the live member with the fewest partitions, but with @min_owned or more, or 0. A live
 * member without partitions is stopping or will take its share by itself. */
static uint64_t
least_loaded (const struct az_entry_state *state,
              const struct az_table *table,
              uint64_t except,
              uint32_t min_owned)
{
  uint64_t best = 0;
  uint32_t best_owned = UINT32_MAX;

  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    {
      uint64_t member = table->roster.roster_val[i].incarnation;
      uint32_t owned = count_owned (table, member);

      if (member == except || !az_entry_is_live (state, member) || owned < min_owned
          || owned >= best_owned)
        continue;
      best = member;
      best_owned = owned;
    }
  return best;
}

static uint64_t
choose_successor (const struct az_entry_state *state, const struct az_table *table, uint64_t except)
{
  uint64_t successor = least_loaded (state, table, except, 1);

  /* Members that stop at the same time would otherwise pass partitions back and forth forever. */
  if (successor || state->has_handed_over)
    return successor;
  return least_loaded (state, table, except, 0);
}

bool
az_entry_plan_takeover (const struct az_entry_state *state, struct az_table *table)
{
  bool changed = false;

  for (uint32_t p = 0; p < table->partitions.partitions_len; p++)
    {
      struct az_partition *partition = &table->partitions.partitions_val[p];

      if (az_entry_is_live (state, partition->owner))
        continue;
      az_entry_plan_move (state, partition, choose_successor (state, table, partition->owner));
      changed = true;
    }
  return changed;
}

static bool
is_current_or_recent_owner (const struct az_entry_state *state,
                            const struct az_table *table,
                            uint64_t member)
{
  for (uint32_t p = 0; p < table->partitions.partitions_len; p++)
    {
      const struct az_partition *partition = &table->partitions.partitions_val[p];

      if (partition->owner == member)
        return true;
      if (partition->previous == member
          && (int64_t)partition->from_ms + INTERVAL_DRAIN_MS > state->wall_ms)
        return true;
    }
  return false;
}

static void
remove_member (struct az_table *table, uint32_t index)
{
  struct az_roster_entry *member = &table->roster.roster_val[index];

  g_free (member->instance);
  g_free (member->domain);
  g_free (member->rpc_address);
  g_free (member->http_address);
  table->roster.roster_len--;
  memmove (member, member + 1, (table->roster.roster_len - index) * sizeof *member);
}

/* Removes one member per version, so that half of the remaining members intersects every majority
 * of the roster before. */
bool
az_entry_plan_removal (const struct az_entry_state *state, struct az_table *table)
{
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    {
      uint64_t member = table->roster.roster_val[i].incarnation;

      if (az_entry_is_live (state, member) || is_current_or_recent_owner (state, table, member))
        continue;
      remove_member (table, i);
      return true;
    }
  return false;
}

/* Returns whether the previous owner may have open jobs of its interval. The table names one
 * previous owner, so a move would make the outcome of those jobs unknown. */
static bool
can_previous_have_open_jobs (const struct az_entry_state *state,
                             const struct az_partition *partition)
{
  int64_t from_ms = (int64_t)partition->from_ms;

  return partition->previous && partition->previous != partition->owner && from_ms <= state->wall_ms
         && from_ms + INTERVAL_DRAIN_MS > state->wall_ms
         && az_entry_is_live (state, partition->previous);
}

bool
az_entry_plan_stop (const struct az_entry_state *state, struct az_table *table)
{
  bool changed = false;

  if (!find_member (table, state->incarnation))
    return false;
  for (uint32_t p = 0; p < table->partitions.partitions_len; p++)
    {
      struct az_partition *partition = &table->partitions.partitions_val[p];
      uint64_t successor = choose_successor (state, table, state->incarnation);

      if (partition->owner != state->incarnation || !successor
          || can_previous_have_open_jobs (state, partition))
        continue;
      az_entry_plan_move (state, partition, successor);
      changed = true;
    }
  return changed;
}
