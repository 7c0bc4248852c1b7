#include "entry/agents.h"
#include "azurerock/log.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"
#include <string.h>

/* An agent with open tasks of this entry sends a heartbeat every 700 ms and is suspected after
 * three intervals. */
#define SUSPECT_BUSY_MS 2100

/* An agent without open tasks of this entry is suspected after three long heartbeat intervals. */
#define SUSPECT_IDLE_MS 9000

/* A disconnected agent without open tasks is removed after this time. */
#define DISCONNECTED_RETENTION_MS 60000

static uint32_t
add_agent (struct az_entry_state *state, const struct az_hello *hello)
{
  struct az_entry_agent *agent;
  void *row;
  uint32_t handle = az_table_rows_add (state->agents, &row);

  agent = row;
  agent->handle = handle;
  agent->incarnation = hello->incarnation;
  agent->instance = g_strdup (hello->instance);
  agent->domain = g_strdup (hello->domain);
  agent->pool = az_entry_upstream_of (state, hello->upstream);
  agent->idle_grants = g_array_new (FALSE, FALSE, sizeof (struct az_entry_grant));
  agent->open = g_array_new (FALSE, FALSE, sizeof (struct az_entry_open_attempt));
  agent->batch = g_array_new (FALSE, FALSE, sizeof (struct az_entry_open_attempt));
  g_hash_table_insert (state->agents_by_instance, g_strdup (hello->instance),
                       GUINT_TO_POINTER (handle));
  az_ejector_add (az_entry_state_upstream (state, agent->pool)->ejector, handle);
  return handle;
}

static void
remove_agent (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_agent *agent = az_entry_state_agent (state, handle);
  void *registered = g_hash_table_lookup (state->agents_by_instance, agent->instance);

  if (GPOINTER_TO_UINT (registered) == handle)
    g_hash_table_remove (state->agents_by_instance, agent->instance);
  az_ejector_remove (az_entry_state_upstream (state, agent->pool)->ejector, handle);
  g_free (agent->instance);
  g_free (agent->domain);
  g_array_unref (agent->idle_grants);
  g_array_unref (agent->open);
  g_array_unref (agent->batch);
  az_table_rows_remove (state->agents, handle);
}

static void
remove_from_upstream (struct az_entry_state *state, struct az_entry_agent *agent)
{
  GArray *agents = az_entry_state_upstream (state, agent->pool)->agents;

  for (guint i = 0; i < agents->len; i++)
    if (g_array_index (agents, uint32_t, i) == agent->handle)
      {
        g_array_remove_index_fast (agents, i);
        return;
      }
}

static void
detach_connection (struct az_entry_state *state, struct az_entry_agent *agent)
{
  struct az_entry_connection *row;

  if (!agent->connection)
    return;
  row = g_hash_table_lookup (state->connections, GUINT_TO_POINTER (agent->connection));
  if (row)
    row->kind = AZ_ENTRY_CONNECTION_NEW;
  agent->connection = 0;
  remove_from_upstream (state, agent);
  az_entry_grants_clear (state, agent);
}

static void
send_welcome (struct az_entry_state *state, uint32_t connection)
{
  struct az_message message = { .proc = AZ_WELCOME };

  message.az_message_u.welcome.incarnation = state->incarnation;
  message.az_message_u.welcome.instance = (char *)state->settings.instance;
  az_entry_send (state, connection, &message);
}

/* Returns the agent with the incarnation in HELLO. An earlier incarnation of the same instance has
 * ended and is removed. */
static struct az_entry_agent *
find_or_add_agent (struct az_entry_state *state, const struct az_hello *hello)
{
  uint32_t handle
      = GPOINTER_TO_UINT (g_hash_table_lookup (state->agents_by_instance, hello->instance));
  struct az_entry_agent *agent = az_entry_state_agent (state, handle);

  if (agent && agent->incarnation == hello->incarnation)
    return agent;
  if (agent)
    {
      detach_connection (state, agent);
      az_entry_agent_end_attempts (state, agent);
      remove_agent (state, handle);
    }
  return az_entry_state_agent (state, add_agent (state, hello));
}

const char *
az_entry_handle_hello (struct az_entry_state *state,
                       uint32_t connection,
                       const struct az_hello *hello)
{
  struct az_entry_connection *row
      = g_hash_table_lookup (state->connections, GUINT_TO_POINTER (connection));
  struct az_entry_agent *agent;

  if (row->kind != AZ_ENTRY_CONNECTION_NEW)
    return "HELLO on an identified connection";
  agent = find_or_add_agent (state, hello);
  detach_connection (state, agent);
  row->kind = AZ_ENTRY_CONNECTION_AGENT;
  row->handle = agent->handle;
  agent->connection = connection;
  agent->slots = hello->slots;
  agent->stopping = false;
  agent->sent_revision = 0;
  agent->sent_table_version = 0;
  agent->demand = (struct az_demand){ 0 };
  g_array_append_val (az_entry_state_upstream (state, agent->pool)->agents, agent->handle);
  az_entry_agent_record_received (state, agent);
  send_welcome (state, connection);
  az_entry_agent_update (state, agent);
  az_entry_send_query (state, agent);
  az_entry_request_records (state, agent);
  return NULL;
}

void
az_entry_agent_closed (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_agent *agent = az_entry_state_agent (state, handle);

  if (!agent)
    return;
  az_log (LOG_INFO, "agent %s: connection closed, %u tasks open", agent->instance,
          agent->open->len);
  detach_connection (state, agent);
  az_entry_agent_update (state, agent);
}

void
az_entry_agent_record_received (struct az_entry_state *state, struct az_entry_agent *agent)
{
  agent->last_received_at = state->now;
  if (!agent->suspected)
    return;
  agent->suspected = false;
  az_entry_agent_update_bucket (state, agent);
}

static void
update_suspicion (struct az_entry_state *state, struct az_entry_agent *agent)
{
  int64_t silent_ms = az_time_diff_ms (state->now, agent->last_received_at);
  int64_t limit_ms = agent->open->len ? SUSPECT_BUSY_MS : SUSPECT_IDLE_MS;

  if (!agent->suspected && silent_ms > limit_ms)
    agent->suspected = true;
  az_entry_grants_remove_expired (state, agent);
  az_entry_agent_update_bucket (state, agent);
}

void
az_entry_agents_tick (struct az_entry_state *state)
{
  uint32_t next;

  for (uint32_t h = az_table_rows_next (state->agents, 0); h; h = next)
    {
      struct az_entry_agent *agent = az_entry_state_agent (state, h);

      next = az_table_rows_next (state->agents, h);
      if (agent->connection)
        update_suspicion (state, agent);
      else if (!agent->open->len
               && az_time_diff_ms (state->now, agent->last_received_at) > DISCONNECTED_RETENTION_MS)
        remove_agent (state, h);
    }
}
