#include "entry/cluster.h"
#include <stdlib.h>

static bool
has_newer_state (const struct az_entry_board *board, const struct az_entry_peer *peer)
{
  return peer->revision > board->revision || peer->table_version > board->table.table_version;
}

static int
compare_newest_first (const void *a, const void *b)
{
  return az_time_compare (*(const struct timespec *)b, *(const struct timespec *)a);
}

/* Collects when the last acknowledged exchange with each counted member was sent, newest first. A
 * member that is not restored doesn't count. Nor does one without partitions, which may have been
 * taken over: a later table can leave it out, and then a majority that includes it need not
 * intersect the members that confirm later versions. */
static uint32_t
collect_ack_times (const struct az_entry_board *board, struct timespec *acked, bool *has_newer)
{
  uint32_t count = 0;

  *has_newer = false;
  for (uint32_t h = az_table_rows_next (board->peers, 0); h;
       h = az_table_rows_next (board->peers, h))
    {
      const struct az_entry_peer *peer = az_entry_board_peer (board, h);

      *has_newer |= has_newer_state (board, peer);
      if (peer->in_roster && peer->has_acked && peer->restored && count < AZ_MAX_ENTRIES
          && az_entry_owns_partitions (board, peer->incarnation))
        acked[count++] = peer->acked;
    }
  qsort (acked, count, sizeof *acked, compare_newest_first);
  return count;
}

static bool
can_count_itself (const struct az_entry_board *board)
{
  return board->restored && az_owner_table_has (&board->table, board->incarnation)
         && az_entry_owns_partitions (board, board->incarnation);
}

static bool
find_majority_evidence (const struct az_entry_board *board,
                        bool counts_self,
                        struct timespec *evidence)
{
  struct timespec acked[AZ_MAX_ENTRIES] = { 0 };
  uint32_t majority = board->table.roster.roster_len / 2 + 1;
  uint32_t needed = majority - (counts_self ? 1 : 0);
  bool has_newer;
  uint32_t count = collect_ack_times (board, acked, &has_newer);

  if (!board->has_table || !board->configuration || has_newer || count < needed)
    return false;
  *evidence = needed ? acked[needed - 1] : board->now;
  return true;
}

void
az_entry_evidence_update (struct az_entry_board *board)
{
  struct az_entry_evidence *evidence = &board->evidence;
  struct timespec from_peers;
  bool has_peers = find_majority_evidence (board, can_count_itself (board), &from_peers);
  bool has_store = board->store.seen && board->has_table && board->configuration;

  evidence->exists = has_peers || has_store;
  /* No publication is accepted without the only member, so its state is always the newest. */
  evidence->is_now = has_peers && board->table.roster.roster_len == 1;
  if (has_store)
    evidence->time = board->store.evidence;
  if (has_peers && (!has_store || az_time_compare (from_peers, evidence->time) > 0))
    evidence->time = from_peers;
}

uint32_t
az_entry_evidence_age_ms (const struct az_entry_board *board)
{
  const struct az_entry_evidence *evidence = &board->evidence;
  int64_t age_ms = 0;

  if (!evidence->exists)
    return G_MAXUINT32;
  if (!evidence->is_now)
    age_ms = az_time_diff_ms (board->now, evidence->time);
  /* Rounded up: an agent subtracts the age from its own time and must not get a newer time. */
  return (uint32_t)CLAMP (age_ms + 1, 0, (int64_t)G_MAXUINT32);
}

bool
az_entry_is_fresh (const struct az_entry_board *board)
{
  return az_entry_evidence_age_ms (board) <= board->settings.freshness_limit_ms;
}

void
az_entry_check_restored (struct az_entry_board *board)
{
  struct timespec evidence;

  if (!board->restored && find_majority_evidence (board, false, &evidence))
    board->restored = true;
}
