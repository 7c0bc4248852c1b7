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
  struct az_entry_link *link = g_new0 (struct az_entry_link, 1);

  az_entry_board_update_time (core->board);
  link->outgoing = outgoing;
  link->address = g_strdup (address);
  g_hash_table_insert (core->board->links, GUINT_TO_POINTER (connection), link);
  if (outgoing)
    az_entry_peer_opened (core->board, connection);
}

void
az_entry_core_connection_closed (struct az_entry_core *core, uint32_t connection)
{
  struct az_entry_board *board = core->board;
  struct az_entry_link *link = g_hash_table_lookup (board->links, GUINT_TO_POINTER (connection));

  if (!link)
    return;
  az_entry_board_update_time (board);
  if (link->kind == AZ_ENTRY_LINK_AGENT)
    az_entry_agent_closed (board, link->handle);
  else if (link->kind == AZ_ENTRY_LINK_PEER)
    az_entry_peer_closed (board, link->handle, connection);
  else if (link->outgoing)
    az_entry_peer_unreachable (board, link->address);
  g_hash_table_remove (board->links, GUINT_TO_POINTER (connection));
}

void
az_entry_core_connect_failed (struct az_entry_core *core, const char *address)
{
  az_entry_board_update_time (core->board);
  az_entry_peer_unreachable (core->board, address);
}

static const char *
receive_from_agent (struct az_entry_board *board,
                    struct az_entry_agent *agent,
                    const struct az_message *message)
{
  az_entry_agent_heard (board, agent);
  switch (message->proc)
    {
    case AZ_HEARTBEAT:
      az_entry_received_heartbeat (board, agent, &message->az_message_u.heartbeat);
      return NULL;
    case AZ_GRANT:
      az_entry_grants_add (board, agent, message->az_message_u.grant.grants.grants_val,
                           message->az_message_u.grant.grants.grants_len);
      return NULL;
    case AZ_RECALL:
      az_entry_received_recall (board, agent, &message->az_message_u.recall);
      return NULL;
    case AZ_RESULT:
      az_entry_received_result (board, agent, &message->az_message_u.result);
      return NULL;
    case AZ_REFUSED:
      az_entry_received_refused (board, agent, &message->az_message_u.refused);
      return NULL;
    case AZ_FATE:
      az_entry_received_fate (board, agent, &message->az_message_u.fate);
      return NULL;
    case AZ_RECORDS:
      az_entry_received_records (board, &message->az_message_u.records);
      return NULL;
    default:
      return "unexpected message type from an agent";
    }
}

static const char *
receive_from_peer (struct az_entry_board *board,
                   uint32_t connection,
                   uint32_t handle,
                   const struct az_message *message)
{
  struct az_entry_peer *peer = az_entry_board_peer (board, handle);
  struct az_entry_origin origin = { 0 };
  uint32_t job;

  if (!peer)
    return "the peer has left the roster";
  origin.peer = peer->incarnation;
  /* The newer of two connections to the peer was closed; this one is still open. */
  if (!peer->connection)
    peer->connection = connection;
  switch (message->proc)
    {
    case AZ_PEER_STATE:
      az_entry_received_peer_state (board, peer, &message->az_message_u.peer_state);
      return NULL;
    case AZ_PEER_STATE_ACK:
      az_entry_received_peer_state_ack (board, peer, &message->az_message_u.peer_state_ack);
      return NULL;
    case AZ_CONFIG:
      az_entry_received_config (board, &message->az_message_u.config);
      return NULL;
    case AZ_SUBMIT:
      origin.first_attempt = message->az_message_u.submit.attempt == 1;
      az_entry_submit (board, &message->az_message_u.submit, &origin);
      return NULL;
    case AZ_ANSWER:
      az_entry_received_answer (board, &message->az_message_u.answer);
      return NULL;
    case AZ_CANCEL_JOB:
      job = az_entry_job_find (board, message->az_message_u.cancel_job.job);
      /* A forwarder has no tasks to cancel and waits for the owner's answer. */
      if (job && az_entry_board_job (board, job)->role == AZ_ENTRY_ROLE_OWNER)
        az_entry_job_cancel (board, job);
      return NULL;
    default:
      return "unexpected message type from an entry";
    }
}

static const char *
receive_identification (struct az_entry_board *board,
                        uint32_t connection,
                        const struct az_message *message)
{
  switch (message->proc)
    {
    case AZ_HELLO:
      return az_entry_received_hello (board, connection, &message->az_message_u.hello);
    case AZ_PEER_HELLO:
      return az_entry_received_peer_hello (board, connection, &message->az_message_u.peer_hello);
    default:
      return "first message is neither HELLO nor PEER_HELLO";
    }
}

const char *
az_entry_core_message_received (struct az_entry_core *core,
                                uint32_t connection,
                                const struct az_message *message)
{
  struct az_entry_board *board = core->board;
  const struct az_entry_link *link
      = g_hash_table_lookup (board->links, GUINT_TO_POINTER (connection));

  if (!link)
    return "message on an unknown connection";
  if ((uint32_t)message->proc > AZ_CANCEL_JOB)
    return "unknown message type";
  az_entry_board_update_time (board);
  az_entry_count_received (board, message->proc);
  switch (link->kind)
    {
    case AZ_ENTRY_LINK_AGENT:
      return receive_from_agent (board, az_entry_board_agent (board, link->handle), message);
    case AZ_ENTRY_LINK_PEER:
      return receive_from_peer (board, connection, link->handle, message);
    default:
      return receive_identification (board, connection, message);
    }
}
