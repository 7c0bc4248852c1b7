#include "entry/cluster.h"
#include "entry/jobs.h"

bool
az_entry_knows (const struct az_entry_owned *owned, int64_t id_time_ms)
{
  return id_time_ms >= owned->horizon_ms
         || (id_time_ms >= owned->known_from_ms && id_time_ms < owned->known_until_ms);
}

bool
az_entry_has_complete_records_until (const struct az_entry_board *board,
                                     uint32_t partition,
                                     uint64_t until_ms)
{
  const struct az_entry_owned *owned = &board->owned[partition];

  return board->table.partitions.partitions_val[partition].previous == board->incarnation
         && owned->known_until_ms == (int64_t)until_ms;
}

void
az_entry_forget (struct az_entry_owned *owned, int64_t id_time_ms)
{
  owned->horizon_ms = MAX (owned->horizon_ms, id_time_ms + 1);
  owned->known_from_ms = MAX (owned->known_from_ms, id_time_ms + 1);
}

static void
clear_complete_range (struct az_entry_owned *owned)
{
  owned->known_from_ms = 0;
  owned->known_until_ms = 0;
  owned->interim = 0;
}

/* Another entry owns the partition from @row->from_ms on. The range from the horizon to there is
 * added to the earlier range of complete records. With a gap between them only one is kept: the
 * earlier one if the horizon lies in the future. */
static void
end_interval (const struct az_entry_board *board,
              struct az_entry_owned *owned,
              const struct az_partition *row)
{
  bool is_contiguous = owned->horizon_ms <= owned->known_until_ms;
  bool is_empty = owned->known_from_ms >= owned->known_until_ms;

  if (is_contiguous || is_empty || owned->horizon_ms <= board->wall_ms)
    {
      owned->known_from_ms = is_contiguous ? owned->known_from_ms : owned->horizon_ms;
      owned->known_until_ms = (int64_t)row->from_ms;
      owned->interim = row->owner;
    }
  else
    owned->interim = 0;
  owned->horizon_ms = INT64_MAX;
}

static void
end_ownership (struct az_entry_board *board, uint32_t partition)
{
  const struct az_partition *row = &board->table.partitions.partitions_val[partition];
  struct az_entry_owned *owned = &board->owned[partition];

  if (row->previous != board->incarnation)
    {
      clear_complete_range (owned);
      owned->horizon_ms = INT64_MAX;
    }
  else if (owned->from_ms >= 0)
    end_interval (board, owned, row);
  owned->from_ms = -1;
  owned->is_pending = false;
  board->recover_partitions &= ~(1ULL << partition);
}

void
az_entry_update_ownership (struct az_entry_board *board, uint32_t partition, uint64_t former_owner)
{
  const struct az_partition *row = &board->table.partitions.partitions_val[partition];
  struct az_entry_owned *owned = &board->owned[partition];

  /* A second owner in between, or one in a version that was missed, may have run ids. */
  if (owned->interim != former_owner)
    owned->interim = 0;
  if (row->owner != board->incarnation)
    {
      end_ownership (board, partition);
      return;
    }
  if (owned->from_ms == (int64_t)row->from_ms)
    return;
  if (row->previous != board->incarnation)
    clear_complete_range (owned);
  owned->from_ms = (int64_t)row->from_ms;
  owned->horizon_ms = INT64_MAX;
  owned->is_pending = true;
  owned->is_direct = former_owner && former_owner == row->previous;
}

/* The interim owner has run nothing if it had a later version before any wall clock reached the
 * start of its interval. */
static bool
has_interim_owner_run_nothing (const struct az_entry_board *board,
                               const struct az_entry_owned *owned,
                               const struct az_partition *row)
{
  return owned->interim && owned->interim != row->owner && row->previous == board->incarnation
         && board->wall_ms + 2 * board->settings.clock_skew_max_ms <= owned->known_until_ms
         && az_entry_has_reported_version (board, owned->interim, board->table.table_version);
}

void
az_entry_extend_complete_range (struct az_entry_board *board)
{
  for (uint32_t i = 0; i < board->table.partitions.partitions_len; i++)
    {
      const struct az_partition *row = &board->table.partitions.partitions_val[i];
      struct az_entry_owned *owned = &board->owned[i];

      if (!has_interim_owner_run_nothing (board, owned, row))
        continue;
      owned->known_until_ms = (int64_t)row->from_ms;
      owned->interim = row->owner == board->incarnation ? 0 : row->owner;
    }
}
