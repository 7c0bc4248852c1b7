#include "agent/board.h"

int64_t
az_agent_evidence_age_ms (const struct az_agent_board *board, struct timespec now)
{
  if (!board->has_evidence)
    return INT32_MAX;
  return az_time_diff_ms (now, board->evidence);
}

bool
az_agent_is_fresh (const struct az_agent_board *board, struct timespec now)
{
  return az_agent_evidence_age_ms (board, now) <= board->settings.freshness_limit_ms;
}

/* The entry's evidence covers the state it had when it answered, so it says nothing about an
 * agent that has not received that state yet. */
static bool
knows_as_much (const struct az_agent_board *board, const struct az_heartbeat_ack *ack)
{
  return board->has_view && board->view.revision >= ack->revision
         && board->owners.table_version >= ack->table_version;
}

/* An echo from before this connection would be the time of another process or clock. */
static bool
is_echo_of (const struct az_agent_entry *entry, struct timespec sent, struct timespec now)
{
  return az_time_compare (sent, entry->opened) >= 0 && az_time_compare (sent, now) <= 0;
}

void
az_agent_freshness_ack (struct az_agent_board *board,
                        uint32_t handle,
                        const struct az_heartbeat_ack *ack)
{
  const struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  struct timespec sent = az_time_from_ns ((int64_t)ack->sent_ns);
  struct timespec evidence = az_time_add_ms (sent, -(int64_t)ack->evidence_age_ms);
  bool was_fresh = az_agent_is_fresh (board, az_agent_now (board));

  az_agent_records_acknowledge (board, entry->incarnation, ack->result_sequence);
  if (!is_echo_of (entry, sent, az_agent_now (board)) || !knows_as_much (board, ack))
    return;
  if (!board->has_evidence || az_time_compare (evidence, board->evidence) > 0)
    board->evidence = evidence;
  board->has_evidence = true;
  if (!was_fresh)
    az_agent_grants_offer (board, 0);
}
