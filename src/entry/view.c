#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/send.h"

static bool
serves_domain (const struct az_entry_board *board, const struct az_entry_agent *agent)
{
  const struct az_object_set *set = board->configuration->objects;
  const char *name = az_entry_board_pool (board, agent->pool)->name;
  int domain = az_object_set_find_domain (set, agent->domain);
  int upstream = az_object_set_find_upstream (set, name);
  const struct az_upstream *row;
  uint32_t count;

  if (domain < 0 || upstream < 0)
    return false;
  if (!az_object_set_domains (set, &count)[domain].in_service)
    return false;
  row = &az_object_set_upstreams (set, &count)[upstream];
  for (uint32_t i = 0; row->in_service && i < row->n_domains; i++)
    if (row->domains[i] == (uint32_t)domain)
      return true;
  return false;
}

static void
send_view (struct az_entry_board *board, struct az_entry_agent *agent)
{
  const struct az_entry_pool *pool = az_entry_board_pool (board, agent->pool);
  struct az_message message = { .proc = AZ_VIEW };
  struct az_view *view = &message.az_message_u.view;

  view->revision = board->revision;
  view->in_service = agent->in_service;
  view->slots = pool->slots;
  view->connections = pool->connections;
  view->task_timeout_ms = pool->task_timeout_ms;
  agent->sent_revision = board->revision;
  az_entry_send (board, agent->connection, &message);
}

static void
send_table (struct az_entry_board *board, struct az_entry_agent *agent)
{
  struct az_message message = { .proc = AZ_TABLE };

  message.az_message_u.table = board->table;
  agent->sent_table = board->table.table_version;
  az_entry_send (board, agent->connection, &message);
}

static void
count_slots (struct az_entry_board *board, struct az_entry_pool *pool)
{
  pool->connected_slots = 0;
  for (guint i = 0; i < pool->agents->len; i++)
    {
      const struct az_entry_agent *agent
          = az_entry_board_agent (board, g_array_index (pool->agents, uint32_t, i));

      if (agent->in_service && !agent->stopping)
        pool->connected_slots += pool->slots ? MIN (pool->slots, agent->slots) : agent->slots;
    }
}

void
az_entry_agent_update (struct az_entry_board *board, struct az_entry_agent *agent)
{
  if (board->configuration)
    agent->in_service = serves_domain (board, agent);
  if (agent->connection && board->configuration && agent->sent_revision < board->revision)
    send_view (board, agent);
  if (agent->connection && board->has_table && agent->sent_table < board->table.table_version)
    send_table (board, agent);
  /* Grants of an agent out of service are kept: it may get the revision that returns it to service
   * before this entry does, and its new grants then arrive before the revision. */
  az_entry_grants_place (board, agent);
  count_slots (board, az_entry_board_pool (board, agent->pool));
}

void
az_entry_agents_update (struct az_entry_board *board)
{
  for (uint32_t h = az_table_rows_next (board->agents, 0); h;
       h = az_table_rows_next (board->agents, h))
    az_entry_agent_update (board, az_entry_board_agent (board, h));
}

void
az_entry_received_heartbeat (struct az_entry_board *board,
                             struct az_entry_agent *agent,
                             const struct az_heartbeat *heartbeat)
{
  struct az_message message = { .proc = AZ_HEARTBEAT_ACK };
  struct az_heartbeat_ack *ack = &message.az_message_u.heartbeat_ack;

  ack->sent_ns = heartbeat->sent_ns;
  ack->evidence_age_ms = az_entry_evidence_age_ms (board);
  ack->revision = board->revision;
  ack->table_version = board->has_table ? board->table.table_version : 0;
  ack->result_sequence = agent->result_sequence;
  az_entry_send (board, agent->connection, &message);
  if (agent->stopping == (bool)heartbeat->stopping)
    return;
  agent->stopping = heartbeat->stopping;
  az_entry_agent_update (board, agent);
}
