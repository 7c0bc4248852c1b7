#include "entry/agents.h"
#include "entry/cluster.h"

static uint32_t
collect_peer_reports (const struct az_entry_state *state,
                      uint32_t team,
                      struct az_quota_peer *reports)
{
  uint32_t count = 0;

  for (uint32_t h = az_table_rows_next (state->peers, 0); h && count < AZ_MAX_ENTRIES;
       h = az_table_rows_next (state->peers, h))
    {
      const struct az_entry_peer *peer = az_entry_state_peer (state, h);
      const struct az_quota_peer *report;

      /* The claim of a dead member doesn't count, though its last tasks may still run. */
      if (!peer->in_roster || (!peer->connection && !az_entry_is_live (state, peer->incarnation)))
        continue;
      report = g_hash_table_lookup (peer->claims, GUINT_TO_POINTER (team + 1));
      reports[count] = report ? *report : (struct az_quota_peer){ 0 };
      reports[count].has_higher_incarnation = peer->incarnation > state->incarnation;
      count++;
    }
  return count;
}

void
az_entry_quota_update (struct az_entry_state *state, bool is_exchange)
{
  struct az_quota_peer reports[AZ_MAX_ENTRIES];

  for (uint32_t i = 0; i < state->teams->len; i++)
    {
      struct az_entry_team *team = az_entry_state_team (state, i);
      uint32_t count = collect_peer_reports (state, i, reports);

      if (!team->configured)
        continue;
      /* There are no other entries with which the quota is shared. */
      if (!count)
        team->claim = team->quota;
      else if (is_exchange)
        team->claim
            = az_quota_share (team->quota, team->claim, az_team_queue_running (state->queue, i),
                              az_team_queue_waiting (state->queue, i), reports, count);
      az_team_queue_set_slot_limit (state->queue, i, team->claim);
    }
}

void
az_entry_quota_received (struct az_entry_state *state,
                         struct az_entry_peer *peer,
                         const struct az_peer_state *peer_state)
{
  for (uint32_t i = 0; i < peer_state->claims.claims_len; i++)
    {
      const struct az_team_claim *claim = &peer_state->claims.claims_val[i];
      struct az_quota_peer *report;
      void *team;

      if (!g_hash_table_lookup_extended (state->team_by_name, claim->team, NULL, &team))
        continue;
      report = g_new0 (struct az_quota_peer, 1);
      report->claim = claim->claim;
      report->running = claim->running;
      report->waiting = claim->waiting;
      g_hash_table_replace (peer->claims, GUINT_TO_POINTER (GPOINTER_TO_UINT (team) + 1), report);
    }
}
