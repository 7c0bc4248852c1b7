#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

void
az_entry_config_send (struct az_entry_board *board, struct az_entry_peer *peer)
{
  struct az_message message = { .proc = AZ_CONFIG };
  struct az_config *config = &message.az_message_u.config;

  if (!peer->connection || !board->has_table || !board->configuration)
    return;
  if (peer->revision >= board->revision && peer->table_version >= board->table.table_version)
    return;
  /* One message per state is enough on a connection, which delivers it or closes. */
  if (peer->sent_revision >= board->revision && peer->sent_table >= board->table.table_version)
    return;
  peer->sent_revision = board->revision;
  peer->sent_table = board->table.table_version;
  config->revision = board->revision;
  config->document.document_len = (u_int)board->document_length;
  config->document.document_val = board->document;
  config->table = board->table;
  az_entry_send (board, peer->connection, &message);
}

static void
update_peer_state (struct az_entry_board *board,
                   struct az_entry_peer *peer,
                   uint64_t revision,
                   uint64_t table_version,
                   bool restored)
{
  peer->revision = MAX (peer->revision, revision);
  peer->table_version = MAX (peer->table_version, table_version);
  peer->restored = restored;
  az_entry_update_confirmation (board);
  az_entry_evidence_update (board);
  az_entry_config_send (board, peer);
}

void
az_entry_received_peer_state (struct az_entry_board *board,
                              struct az_entry_peer *peer,
                              const struct az_peer_state *state)
{
  struct az_message message = { .proc = AZ_PEER_STATE_ACK };
  struct az_peer_state_ack *ack = &message.az_message_u.peer_state_ack;

  ack->sent_ns = state->sent_ns;
  ack->revision = board->revision;
  ack->table_version = board->table.table_version;
  ack->restored = board->restored;
  az_entry_send (board, peer->connection, &message);
  az_entry_quota_received (board, peer, state);
  update_peer_state (board, peer, state->revision, state->table_version, state->restored);
}

void
az_entry_received_peer_state_ack (struct az_entry_board *board,
                                  struct az_entry_peer *peer,
                                  const struct az_peer_state_ack *ack)
{
  struct timespec sent = az_time_from_ns ((int64_t)ack->sent_ns);

  update_peer_state (board, peer, ack->revision, ack->table_version, ack->restored);
  if (!peer->has_acked || az_time_compare (sent, peer->acked) > 0)
    peer->acked = sent;
  peer->has_acked = true;
  az_entry_check_restored (board);
  az_entry_evidence_update (board);
}

/* Configuration and table are adopted together, so that an entry with a newer roster also has every
 * revision that was accepted under the older one. */
void
az_entry_received_config (struct az_entry_board *board, const struct az_config *config)
{
  uint64_t revision = board->revision;
  uint64_t version = board->table.table_version;

  if (!az_entry_adopt_configuration (board, config->document.document_val,
                                     config->document.document_len))
    return;
  az_entry_adopt_table (board, &config->table);
  az_entry_evidence_update (board);
  if (board->revision != revision || board->table.table_version != version)
    az_entry_notify_state_change (board);
  az_entry_check_restored (board);
  az_entry_evidence_update (board);
}
