#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/core.h"
#include "entry/jobs.h"
#include "entry/send.h"

void
az_entry_core_connection_opened (struct az_entry_core *core,
                                 uint32_t connection,
                                 bool outgoing,
                                 const char *address)
{
  struct az_entry_connection *row = g_new0 (struct az_entry_connection, 1);

  az_entry_state_update_time (core->state);
  row->outgoing = outgoing;
  row->address = g_strdup (address);
  g_hash_table_insert (core->state->connections, GUINT_TO_POINTER (connection), row);
  if (outgoing)
    az_entry_peer_opened (core->state, connection);
}

void
az_entry_core_connection_closed (struct az_entry_core *core, uint32_t connection)
{
  struct az_entry_state *state = core->state;
  struct az_entry_connection *row
      = g_hash_table_lookup (state->connections, GUINT_TO_POINTER (connection));

  if (!row)
    return;
  az_entry_state_update_time (state);
  if (row->kind == AZ_ENTRY_CONNECTION_AGENT)
    az_entry_agent_closed (state, row->handle);
  else if (row->kind == AZ_ENTRY_CONNECTION_PEER)
    az_entry_peer_closed (state, row->handle, connection);
  else if (row->outgoing)
    az_entry_peer_unreachable (state, row->address);
  g_hash_table_remove (state->connections, GUINT_TO_POINTER (connection));
}

void
az_entry_core_connect_failed (struct az_entry_core *core, const char *address)
{
  az_entry_state_update_time (core->state);
  az_entry_peer_unreachable (core->state, address);
}

static const char *
receive_from_agent (struct az_entry_state *state,
                    struct az_entry_agent *agent,
                    const struct az_message *message)
{
  az_entry_agent_record_received (state, agent);
  switch (message->proc)
    {
    case AZ_HEARTBEAT:
      az_entry_handle_heartbeat (state, agent, &message->az_message_u.heartbeat);
      return NULL;
    case AZ_GRANT:
      az_entry_grants_add (state, agent, message->az_message_u.grant.grants.grants_val,
                           message->az_message_u.grant.grants.grants_len);
      return NULL;
    case AZ_RECALL:
      az_entry_handle_recall (state, agent, &message->az_message_u.recall);
      return NULL;
    case AZ_RESULT:
      az_entry_handle_result (state, agent, &message->az_message_u.result);
      return NULL;
    case AZ_REFUSED:
      az_entry_handle_refused (state, agent, &message->az_message_u.refused);
      return NULL;
    case AZ_FATE:
      az_entry_handle_fate (state, agent, &message->az_message_u.fate);
      return NULL;
    case AZ_RECORDS:
      az_entry_handle_records (state, &message->az_message_u.records);
      return NULL;
    default:
      return "unexpected message type from an agent";
    }
}

static const char *
receive_from_peer (struct az_entry_state *state,
                   uint32_t connection,
                   uint32_t handle,
                   const struct az_message *message)
{
  struct az_entry_peer *peer = az_entry_state_peer (state, handle);
  struct az_entry_origin origin = { 0 };
  uint32_t job;

  if (!peer)
    return "the peer has left the roster";
  origin.peer = peer->incarnation;
  /* The newer of two connections to the peer was closed, and the message came on the older one. */
  if (!peer->connection)
    peer->connection = connection;
  switch (message->proc)
    {
    case AZ_PEER_STATE:
      az_entry_handle_peer_state (state, peer, &message->az_message_u.peer_state);
      return NULL;
    case AZ_PEER_STATE_ACK:
      az_entry_handle_peer_state_ack (state, peer, &message->az_message_u.peer_state_ack);
      return NULL;
    case AZ_CONFIG:
      az_entry_handle_config (state, &message->az_message_u.config);
      return NULL;
    case AZ_SUBMIT:
      origin.is_first_submission = message->az_message_u.submit.attempt == 1;
      az_entry_submit (state, &message->az_message_u.submit, &origin);
      return NULL;
    case AZ_ANSWER:
      az_entry_handle_answer (state, &message->az_message_u.answer);
      return NULL;
    case AZ_CANCEL_JOB:
      job = az_entry_job_find (state, message->az_message_u.cancel_job.job);
      /* A forwarder has no tasks to cancel and waits for the owner's answer. */
      if (job && az_entry_state_job (state, job)->role == AZ_ENTRY_ROLE_OWNER)
        az_entry_job_cancel (state, job);
      return NULL;
    default:
      return "unexpected message type from an entry";
    }
}

static const char *
receive_identification (struct az_entry_state *state,
                        uint32_t connection,
                        const struct az_message *message)
{
  switch (message->proc)
    {
    case AZ_HELLO:
      return az_entry_handle_hello (state, connection, &message->az_message_u.hello);
    case AZ_PEER_HELLO:
      return az_entry_handle_peer_hello (state, connection, &message->az_message_u.peer_hello);
    default:
      return "first message is neither HELLO nor PEER_HELLO";
    }
}

const char *
az_entry_core_message_received (struct az_entry_core *core,
                                uint32_t connection,
                                const struct az_message *message)
{
  struct az_entry_state *state = core->state;
  const struct az_entry_connection *row
      = g_hash_table_lookup (state->connections, GUINT_TO_POINTER (connection));

  if (!row)
    return "message on an unknown connection";
  if ((uint32_t)message->proc > AZ_CANCEL_JOB)
    return "unknown message type";
  az_entry_state_update_time (state);
  az_entry_count_received (state, message->proc);
  switch (row->kind)
    {
    case AZ_ENTRY_CONNECTION_AGENT:
      return receive_from_agent (state, az_entry_state_agent (state, row->handle), message);
    case AZ_ENTRY_CONNECTION_PEER:
      return receive_from_peer (state, connection, row->handle, message);
    default:
      return receive_identification (state, connection, message);
    }
}
