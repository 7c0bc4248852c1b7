#include "azurerock/job_id.h"
#include "entry/cluster.h"
#include "entry/jobs.h"

uint64_t
az_entry_owner_of (const struct az_entry_state *state, const char *id)
{
  uint64_t owner = az_owner_table_find_owner (&state->table, id);

  /* No entry has the records of a member that left the roster. The present owner of the partition
   * answers for the ids that the member served. */
  if (!az_owner_table_has_member (&state->table, owner))
    return state->table.partitions.partitions_val[az_job_id_partition (id)].owner;
  return owner;
}

bool
az_entry_owns_partitions (const struct az_entry_state *state, uint64_t incarnation)
{
  for (uint32_t i = 0; i < state->table.partitions.partitions_len; i++)
    if (state->table.partitions.partitions_val[i].owner == incarnation)
      return true;
  return false;
}

bool
az_entry_has_reported_version (const struct az_entry_state *state,
                               uint64_t incarnation,
                               uint64_t version)
{
  const struct az_entry_peer *peer;

  if (incarnation == state->incarnation)
    return true;
  peer = az_entry_peer_find (state, incarnation);
  return peer && peer->table_version >= version;
}

static uint32_t
half_rounded_up (uint32_t members)
{
  return (members + 1) / 2;
}

/* Returns whether at least half of the members of the present roster and of the previous one have
 * reported this table version. An entry without it could get fresh evidence from a majority of
 * either roster, and any such majority then includes a member that has the version. */
static bool
is_confirmed (const struct az_entry_state *state)
{
  uint64_t version = state->table.table_version;
  uint32_t n_previous = 0, n_previous_reported = 0, n_reported = 0;

  for (uint32_t i = 0; i < state->table.roster.roster_len; i++)
    {
      const struct az_roster_entry *member = &state->table.roster.roster_val[i];
      bool has_version = az_entry_has_reported_version (state, member->incarnation, version);
      bool was_member = member->joined < version;

      n_reported += has_version;
      n_previous += was_member;
      n_previous_reported += was_member && has_version;
    }
  return n_reported >= half_rounded_up (state->table.roster.roster_len)
         && n_previous_reported >= half_rounded_up (n_previous);
}

/* Returns whether the previous owner had the table before any wall clock reached from_ms, so that
 * it has accepted no id of the new interval. If an owner in between was replaced before its
 * interval started, the table doesn't show that owner, which may not know of its replacement. So
 * this entry must have seen the version directly before, with the previous owner as the owner. */
static bool
has_previous_owner_stopped (const struct az_entry_state *state, uint32_t partition)
{
  const struct az_partition *row = &state->table.partitions.partitions_val[partition];
  int64_t max_skew_ms = 2 * state->settings.clock_skew_max_ms;

  return state->owned[partition].has_seen_previous_owner
         && state->wall_ms + max_skew_ms <= (int64_t)row->from_ms
         && az_entry_has_reported_version (state, row->previous, state->table.table_version);
}

static void
set_horizon (struct az_entry_state *state, uint32_t partition)
{
  const struct az_partition *row = &state->table.partitions.partitions_val[partition];

  state->owned[partition].is_pending = false;
  /* The first table has no previous owners, so no older id can have run. */
  if (row->from_ms == 0 && row->previous == 0)
    {
      state->owned[partition].horizon_ms = 0;
      return;
    }
  state->owned[partition].horizon_ms
      = MAX ((int64_t)row->from_ms, state->wall_ms + state->settings.handover_ms);
  state->owned[partition].handover_horizon_ms = state->owned[partition].horizon_ms;
  if (row->previous)
    state->recover_partitions |= 1ULL << partition;
}

/* Moves horizons back to the start of the interval where no other entry can have run its ids. A
 * horizon that az_entry_raise_horizon() has raised stays, because records before it are gone. */
static void
lower_horizons (struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->table.partitions.partitions_len; i++)
    {
      const struct az_partition *row = &state->table.partitions.partitions_val[i];
      struct az_entry_owned *owned = &state->owned[i];

      if (owned->from_ms < 0 || owned->is_pending || owned->horizon_ms != owned->handover_horizon_ms
          || !(has_previous_owner_stopped (state, i)
               || az_entry_has_complete_records_until (state, i, row->from_ms)))
        continue;
      owned->horizon_ms = (int64_t)row->from_ms;
    }
}

static void
confirm_version (struct az_entry_state *state)
{
  uint64_t partitions_before = state->recover_partitions;

  if (!state->has_table || state->confirmed_version >= state->table.table_version
      || !is_confirmed (state))
    return;
  state->confirmed_version = state->table.table_version;
  for (uint32_t i = 0; i < AZ_PARTITIONS; i++)
    if (state->owned[i].is_pending)
      set_horizon (state, i);
  if (state->recover_partitions != partitions_before)
    az_entry_request_records (state, NULL);
}

void
az_entry_update_confirmation (struct az_entry_state *state)
{
  confirm_version (state);
  if (!state->has_table)
    return;
  az_entry_extend_complete_range (state);
  lower_horizons (state);
}
