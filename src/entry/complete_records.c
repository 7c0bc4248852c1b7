#include "entry/cluster.h"
#include "entry/jobs.h"

bool
az_entry_has_complete_records (const struct az_entry_owned *owned, int64_t id_time_ms)
{
  return id_time_ms >= owned->horizon_ms
         || (id_time_ms >= owned->complete_from_ms && id_time_ms < owned->complete_until_ms);
}

bool
az_entry_has_complete_records_until (const struct az_entry_state *state,
                                     uint32_t partition,
                                     uint64_t until_ms)
{
  const struct az_entry_owned *owned = &state->owned[partition];

  return state->table.partitions.partitions_val[partition].previous == state->incarnation
         && owned->complete_until_ms == (int64_t)until_ms;
}

void
az_entry_raise_horizon (struct az_entry_owned *owned, int64_t id_time_ms)
{
  owned->horizon_ms = MAX (owned->horizon_ms, id_time_ms + 1);
  owned->complete_from_ms = MAX (owned->complete_from_ms, id_time_ms + 1);
}

static void
clear_complete_range (struct az_entry_owned *owned)
{
  owned->complete_from_ms = 0;
  owned->complete_until_ms = 0;
  owned->interim_owner = 0;
}

/* Ends the interval of this entry, since another entry owns the partition from @row->from_ms on.
 * The range from the horizon to @row->from_ms is added to the earlier range of complete records. If
 * there is a gap between the two ranges, only one is kept: the earlier one if the horizon lies in
 * the future, otherwise the new one. */
static void
end_interval (const struct az_entry_state *state,
              struct az_entry_owned *owned,
              const struct az_partition *row)
{
  bool is_contiguous = owned->horizon_ms <= owned->complete_until_ms;
  bool is_empty = owned->complete_from_ms >= owned->complete_until_ms;

  if (is_contiguous || is_empty || owned->horizon_ms <= state->wall_ms)
    {
      owned->complete_from_ms = is_contiguous ? owned->complete_from_ms : owned->horizon_ms;
      owned->complete_until_ms = (int64_t)row->from_ms;
      owned->interim_owner = row->owner;
    }
  else
    owned->interim_owner = 0;
  owned->horizon_ms = INT64_MAX;
}

static void
end_ownership (struct az_entry_state *state, uint32_t partition)
{
  const struct az_partition *row = &state->table.partitions.partitions_val[partition];
  struct az_entry_owned *owned = &state->owned[partition];

  if (row->previous != state->incarnation)
    {
      clear_complete_range (owned);
      owned->horizon_ms = INT64_MAX;
    }
  else if (owned->from_ms >= 0)
    end_interval (state, owned, row);
  owned->from_ms = -1;
  owned->is_pending = false;
  state->recover_partitions &= ~(1ULL << partition);
}

void
az_entry_update_ownership (struct az_entry_state *state, uint32_t partition, uint64_t former_owner)
{
  const struct az_partition *row = &state->table.partitions.partitions_val[partition];
  struct az_entry_owned *owned = &state->owned[partition];

  /* If the version directly before named another owner than the interim owner, or was missed,
   * another entry may have run ids in between. */
  if (owned->interim_owner != former_owner)
    owned->interim_owner = 0;
  if (row->owner != state->incarnation)
    {
      end_ownership (state, partition);
      return;
    }
  if (owned->from_ms == (int64_t)row->from_ms)
    return;
  if (row->previous != state->incarnation)
    clear_complete_range (owned);
  owned->from_ms = (int64_t)row->from_ms;
  owned->horizon_ms = INT64_MAX;
  owned->is_pending = true;
  owned->has_seen_previous_owner = former_owner && former_owner == row->previous;
}

/* Returns whether the interim owner, whose interval starts where the range of complete records
 * ends, has certainly run none of its ids. That is so if it has reported the present table version,
 * which names another owner, before any wall clock reached the start of its interval. */
static bool
has_interim_owner_run_nothing (const struct az_entry_state *state,
                               const struct az_entry_owned *owned,
                               const struct az_partition *row)
{
  return owned->interim_owner && owned->interim_owner != row->owner
         && row->previous == state->incarnation
         && state->wall_ms + 2 * state->settings.clock_skew_max_ms <= owned->complete_until_ms
         && az_entry_has_reported_version (state, owned->interim_owner, state->table.table_version);
}

void
az_entry_extend_complete_range (struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->table.partitions.partitions_len; i++)
    {
      const struct az_partition *row = &state->table.partitions.partitions_val[i];
      struct az_entry_owned *owned = &state->owned[i];

      if (!has_interim_owner_run_nothing (state, owned, row))
        continue;
      owned->complete_until_ms = (int64_t)row->from_ms;
      owned->interim_owner = row->owner == state->incarnation ? 0 : row->owner;
    }
}
