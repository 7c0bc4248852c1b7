#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

void
az_entry_config_send (struct az_entry_state *state, struct az_entry_peer *peer)
{
  struct az_message message = { .proc = AZ_CONFIG };
  struct az_config *config = &message.az_message_u.config;

  if (!peer->connection || !state->has_table || !state->configuration)
    return;
  if (peer->revision >= state->revision && peer->table_version >= state->table.table_version)
    return;
  /* Each state is sent once on a connection, which either delivers the message or closes. */
  if (peer->sent_revision >= state->revision
      && peer->sent_table_version >= state->table.table_version)
    return;
  peer->sent_revision = state->revision;
  peer->sent_table_version = state->table.table_version;
  config->revision = state->revision;
  config->document.document_len = (u_int)state->document_length;
  config->document.document_val = state->document;
  config->table = state->table;
  az_entry_send (state, peer->connection, &message);
}

static void
update_peer_state (struct az_entry_state *state,
                   struct az_entry_peer *peer,
                   uint64_t revision,
                   uint64_t table_version,
                   bool restored)
{
  peer->revision = MAX (peer->revision, revision);
  peer->table_version = MAX (peer->table_version, table_version);
  peer->restored = restored;
  az_entry_update_confirmation (state);
  az_entry_evidence_update (state);
  az_entry_config_send (state, peer);
}

void
az_entry_handle_peer_state (struct az_entry_state *state,
                            struct az_entry_peer *peer,
                            const struct az_peer_state *peer_state)
{
  struct az_message message = { .proc = AZ_PEER_STATE_ACK };
  struct az_peer_state_ack *ack = &message.az_message_u.peer_state_ack;

  ack->sent_ns = peer_state->sent_ns;
  ack->revision = state->revision;
  ack->table_version = state->table.table_version;
  ack->restored = state->restored;
  az_entry_send (state, peer->connection, &message);
  az_entry_quota_received (state, peer, peer_state);
  update_peer_state (state, peer, peer_state->revision, peer_state->table_version,
                     peer_state->restored);
}

void
az_entry_handle_peer_state_ack (struct az_entry_state *state,
                                struct az_entry_peer *peer,
                                const struct az_peer_state_ack *ack)
{
  struct timespec sent = az_time_from_ns ((int64_t)ack->sent_ns);

  update_peer_state (state, peer, ack->revision, ack->table_version, ack->restored);
  if (!peer->has_acked || az_time_compare (sent, peer->acked_sent_at) > 0)
    peer->acked_sent_at = sent;
  peer->has_acked = true;
  az_entry_check_restored (state);
  az_entry_evidence_update (state);
}

/* Configuration and table are adopted together, so that an entry with a newer roster also has every
 * revision that was accepted under the older one. */
void
az_entry_handle_config (struct az_entry_state *state, const struct az_config *config)
{
  uint64_t revision = state->revision;
  uint64_t version = state->table.table_version;

  if (!az_entry_adopt_configuration (state, config->document.document_val,
                                     config->document.document_len))
    return;
  az_entry_adopt_table (state, &config->table);
  az_entry_evidence_update (state);
  if (state->revision != revision || state->table.table_version != version)
    az_entry_notify_state_change (state);
  az_entry_check_restored (state);
  az_entry_evidence_update (state);
}
