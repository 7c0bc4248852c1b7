#include "agent/state.h"

int64_t
az_agent_evidence_age_ms (const struct az_agent_state *state, struct timespec now)
{
  if (!state->has_evidence)
    return INT32_MAX;
  return az_time_diff_ms (now, state->evidence_at);
}

bool
az_agent_is_fresh (const struct az_agent_state *state, struct timespec now)
{
  return az_agent_evidence_age_ms (state, now) <= state->settings.freshness_limit_ms;
}

/* The acknowledgement proves that the revision and table version of the entry were the newest. It
 * proves nothing for an agent that has not received them yet. */
static bool
has_state_of_ack (const struct az_agent_state *state, const struct az_heartbeat_ack *ack)
{
  return state->has_view && state->view.revision >= ack->revision
         && state->owner_table.table_version >= ack->table_version;
}

/* A time stamp from before the connection was opened may come from another process or clock. */
static bool
is_sent_on_connection (const struct az_agent_entry *entry,
                       struct timespec sent,
                       struct timespec now)
{
  return az_time_compare (sent, entry->opened_at) >= 0 && az_time_compare (sent, now) <= 0;
}

void
az_agent_heartbeat_ack_received (struct az_agent_state *state,
                                 uint32_t handle,
                                 const struct az_heartbeat_ack *ack)
{
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct timespec sent = az_time_from_ns ((int64_t)ack->sent_ns);
  struct timespec evidence_at = az_time_add_ms (sent, -(int64_t)ack->evidence_age_ms);
  bool was_fresh = az_agent_is_fresh (state, az_agent_now (state));

  az_agent_records_acknowledge (state, entry->incarnation, ack->result_sequence);
  if (!is_sent_on_connection (entry, sent, az_agent_now (state)) || !has_state_of_ack (state, ack))
    return;
  if (!state->has_evidence || az_time_compare (evidence_at, state->evidence_at) > 0)
    state->evidence_at = evidence_at;
  state->has_evidence = true;
  if (!was_fresh)
    az_agent_grants_issue (state, 0);
}
