#include "entry/cluster.h"
#include <stdlib.h>

static bool
has_newer_state (const struct az_entry_state *state, const struct az_entry_peer *peer)
{
  return peer->revision > state->revision || peer->table_version > state->table.table_version;
}

static int
compare_newest_first (const void *a, const void *b)
{
  return az_time_compare (*(const struct timespec *)b, *(const struct timespec *)a);
}

/* Collects for each counted member when this entry sent the last PEER_STATE that the member has
 * acknowledged, newest first. A majority without newer state proves that none was confirmed at that
 * time, since half of the members must confirm newer state and every majority includes one of them.
 * Members that have restarted and don't have their state again (not restored) don't count. Members
 * without partitions don't count either: others may have taken the partitions over, so that a later
 * table can leave such a member out, and then a majority that includes it need not include any
 * member that confirms later versions. */
static uint32_t
collect_ack_times (const struct az_entry_state *state,
                   struct timespec *acked_sent_at,
                   bool *has_newer)
{
  uint32_t count = 0;

  *has_newer = false;
  for (uint32_t h = az_table_rows_next (state->peers, 0); h;
       h = az_table_rows_next (state->peers, h))
    {
      const struct az_entry_peer *peer = az_entry_state_peer (state, h);

      *has_newer |= has_newer_state (state, peer);
      if (peer->in_roster && peer->has_acked && peer->restored && count < AZ_MAX_ENTRIES
          && az_entry_owns_partitions (state, peer->incarnation))
        acked_sent_at[count++] = peer->acked_sent_at;
    }
  qsort (acked_sent_at, count, sizeof *acked_sent_at, compare_newest_first);
  return count;
}

static bool
can_count_itself (const struct az_entry_state *state)
{
  return state->restored && az_owner_table_has_member (&state->table, state->incarnation)
         && az_entry_owns_partitions (state, state->incarnation);
}

static bool
find_majority_evidence (const struct az_entry_state *state,
                        bool counts_self,
                        struct timespec *evidence)
{
  struct timespec acked_sent_at[AZ_MAX_ENTRIES] = { 0 };
  uint32_t majority = state->table.roster.roster_len / 2 + 1;
  uint32_t needed = majority - (counts_self ? 1 : 0);
  bool has_newer;
  uint32_t count = collect_ack_times (state, acked_sent_at, &has_newer);

  if (!state->has_table || !state->configuration || has_newer || count < needed)
    return false;
  *evidence = needed ? acked_sent_at[needed - 1] : state->now;
  return true;
}

void
az_entry_evidence_update (struct az_entry_state *state)
{
  struct az_entry_evidence *evidence = &state->evidence;
  struct timespec from_peers;
  bool has_peers = find_majority_evidence (state, can_count_itself (state), &from_peers);
  bool has_store = state->store.has_been_read && state->has_table && state->configuration;

  evidence->exists = has_peers || has_store;
  /* If this entry is the only member, no publication is accepted without it, so its state is always
   * the newest. */
  evidence->is_now = has_peers && state->table.roster.roster_len == 1;
  if (has_store)
    evidence->time = state->store.evidence;
  if (has_peers && (!has_store || az_time_compare (from_peers, evidence->time) > 0))
    evidence->time = from_peers;
}

uint32_t
az_entry_evidence_age_ms (const struct az_entry_state *state)
{
  const struct az_entry_evidence *evidence = &state->evidence;
  int64_t age_ms = 0;

  if (!evidence->exists)
    return G_MAXUINT32;
  if (!evidence->is_now)
    age_ms = az_time_diff_ms (state->now, evidence->time);
  /* Rounded up: an agent subtracts the age from its own time and must not get a newer time. */
  return (uint32_t)CLAMP (age_ms + 1, 0, (int64_t)G_MAXUINT32);
}

bool
az_entry_is_fresh (const struct az_entry_state *state)
{
  return az_entry_evidence_age_ms (state) <= state->settings.freshness_limit_ms;
}

void
az_entry_check_restored (struct az_entry_state *state)
{
  struct timespec evidence;

  if (!state->restored && find_majority_evidence (state, false, &evidence))
    state->restored = true;
}
