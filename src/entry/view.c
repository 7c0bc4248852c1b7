#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/send.h"

static bool
serves_domain (const struct az_entry_state *state, const struct az_entry_agent *agent)
{
  const struct az_object_set *set = state->configuration->objects;
  const char *name = az_entry_state_upstream (state, agent->pool)->name;
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
send_view (struct az_entry_state *state, struct az_entry_agent *agent)
{
  const struct az_entry_upstream *pool = az_entry_state_upstream (state, agent->pool);
  struct az_message message = { .proc = AZ_VIEW };
  struct az_view *view = &message.az_message_u.view;

  view->revision = state->revision;
  view->in_service = agent->in_service;
  view->slots = pool->slots;
  view->connections = pool->connections;
  view->task_timeout_ms = pool->task_timeout_ms;
  agent->sent_revision = state->revision;
  az_entry_send (state, agent->connection, &message);
}

static void
send_table (struct az_entry_state *state, struct az_entry_agent *agent)
{
  struct az_message message = { .proc = AZ_TABLE };

  message.az_message_u.table = state->table;
  agent->sent_table_version = state->table.table_version;
  az_entry_send (state, agent->connection, &message);
}

static void
count_slots (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  upstream->connected_slots = 0;
  for (guint i = 0; i < upstream->agents->len; i++)
    {
      const struct az_entry_agent *agent
          = az_entry_state_agent (state, g_array_index (upstream->agents, uint32_t, i));

      if (agent->in_service && !agent->stopping)
        upstream->connected_slots
            += upstream->slots ? MIN (upstream->slots, agent->slots) : agent->slots;
    }
}

void
az_entry_agent_update (struct az_entry_state *state, struct az_entry_agent *agent)
{
  if (state->configuration)
    agent->in_service = serves_domain (state, agent);
  if (agent->connection && state->configuration && agent->sent_revision < state->revision)
    send_view (state, agent);
  if (agent->connection && state->has_table
      && agent->sent_table_version < state->table.table_version)
    send_table (state, agent);
  /* Grants of an agent out of service are kept: it may get the revision that returns it to service
   * before this entry does, and its new grants then arrive before the revision. */
  az_entry_agent_update_bucket (state, agent);
  count_slots (state, az_entry_state_upstream (state, agent->pool));
}

void
az_entry_agents_update (struct az_entry_state *state)
{
  for (uint32_t h = az_table_rows_next (state->agents, 0); h;
       h = az_table_rows_next (state->agents, h))
    az_entry_agent_update (state, az_entry_state_agent (state, h));
}

void
az_entry_handle_heartbeat (struct az_entry_state *state,
                           struct az_entry_agent *agent,
                           const struct az_heartbeat *heartbeat)
{
  struct az_message message = { .proc = AZ_HEARTBEAT_ACK };
  struct az_heartbeat_ack *ack = &message.az_message_u.heartbeat_ack;

  ack->sent_ns = heartbeat->sent_ns;
  ack->evidence_age_ms = az_entry_evidence_age_ms (state);
  ack->revision = state->revision;
  ack->table_version = state->has_table ? state->table.table_version : 0;
  ack->result_sequence = agent->result_sequence;
  az_entry_send (state, agent->connection, &message);
  if (agent->stopping == (bool)heartbeat->stopping)
    return;
  agent->stopping = heartbeat->stopping;
  az_entry_agent_update (state, agent);
}
