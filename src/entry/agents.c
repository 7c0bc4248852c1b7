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
add_agent (struct az_entry_board *board, const struct az_hello *hello)
{
  struct az_entry_agent *agent;
  void *row;
  uint32_t handle = az_table_rows_add (board->agents, &row);

  agent = row;
  agent->handle = handle;
  agent->incarnation = hello->incarnation;
  agent->instance = g_strdup (hello->instance);
  agent->domain = g_strdup (hello->domain);
  agent->pool = az_entry_pool_of (board, hello->upstream);
  agent->idle = g_array_new (FALSE, FALSE, sizeof (struct az_entry_grant));
  agent->open = g_array_new (FALSE, FALSE, sizeof (struct az_entry_open_attempt));
  agent->batch = g_array_new (FALSE, FALSE, sizeof (struct az_entry_open_attempt));
  g_hash_table_insert (board->agents_by_instance, g_strdup (hello->instance),
                       GUINT_TO_POINTER (handle));
  az_ejector_add (az_entry_board_pool (board, agent->pool)->ejector, handle);
  return handle;
}

static void
remove_agent (struct az_entry_board *board, uint32_t handle)
{
  struct az_entry_agent *agent = az_entry_board_agent (board, handle);
  void *registered = g_hash_table_lookup (board->agents_by_instance, agent->instance);

  if (GPOINTER_TO_UINT (registered) == handle)
    g_hash_table_remove (board->agents_by_instance, agent->instance);
  az_ejector_remove (az_entry_board_pool (board, agent->pool)->ejector, handle);
  g_free (agent->instance);
  g_free (agent->domain);
  g_array_unref (agent->idle);
  g_array_unref (agent->open);
  g_array_unref (agent->batch);
  az_table_rows_remove (board->agents, handle);
}

static void
remove_from_pool (struct az_entry_board *board, struct az_entry_agent *agent)
{
  GArray *agents = az_entry_board_pool (board, agent->pool)->agents;

  for (guint i = 0; i < agents->len; i++)
    if (g_array_index (agents, uint32_t, i) == agent->handle)
      {
        g_array_remove_index_fast (agents, i);
        return;
      }
}

static void
detach_connection (struct az_entry_board *board, struct az_entry_agent *agent)
{
  struct az_entry_link *link;

  if (!agent->connection)
    return;
  link = g_hash_table_lookup (board->links, GUINT_TO_POINTER (agent->connection));
  if (link)
    link->kind = AZ_ENTRY_LINK_NEW;
  agent->connection = 0;
  remove_from_pool (board, agent);
  az_entry_grants_clear (board, agent);
}

static void
send_welcome (struct az_entry_board *board, uint32_t connection)
{
  struct az_message message = { .proc = AZ_WELCOME };

  message.az_message_u.welcome.incarnation = board->incarnation;
  message.az_message_u.welcome.instance = (char *)board->settings.instance;
  az_entry_send (board, connection, &message);
}

/* Returns the agent with the incarnation in HELLO. An earlier incarnation of the same instance has
 * ended and is removed. */
static struct az_entry_agent *
find_or_add_agent (struct az_entry_board *board, const struct az_hello *hello)
{
  uint32_t handle
      = GPOINTER_TO_UINT (g_hash_table_lookup (board->agents_by_instance, hello->instance));
  struct az_entry_agent *agent = az_entry_board_agent (board, handle);

  if (agent && agent->incarnation == hello->incarnation)
    return agent;
  if (agent)
    {
      detach_connection (board, agent);
      az_entry_agent_end_attempts (board, agent);
      remove_agent (board, handle);
    }
  return az_entry_board_agent (board, add_agent (board, hello));
}

const char *
az_entry_received_hello (struct az_entry_board *board,
                         uint32_t connection,
                         const struct az_hello *hello)
{
  struct az_entry_link *link = g_hash_table_lookup (board->links, GUINT_TO_POINTER (connection));
  struct az_entry_agent *agent;

  if (link->kind != AZ_ENTRY_LINK_NEW)
    return "HELLO on an identified connection";
  agent = find_or_add_agent (board, hello);
  detach_connection (board, agent);
  link->kind = AZ_ENTRY_LINK_AGENT;
  link->handle = agent->handle;
  agent->connection = connection;
  agent->slots = hello->slots;
  agent->stopping = false;
  agent->sent_revision = 0;
  agent->sent_table = 0;
  agent->demand = (struct az_demand){ 0 };
  g_array_append_val (az_entry_board_pool (board, agent->pool)->agents, agent->handle);
  az_entry_agent_heard (board, agent);
  send_welcome (board, connection);
  az_entry_agent_update (board, agent);
  az_entry_send_query (board, agent);
  az_entry_recover_start (board, agent);
  return NULL;
}

void
az_entry_agent_closed (struct az_entry_board *board, uint32_t handle)
{
  struct az_entry_agent *agent = az_entry_board_agent (board, handle);

  if (!agent)
    return;
  az_log (LOG_INFO, "agent %s: connection closed, %u tasks open", agent->instance,
          agent->open->len);
  detach_connection (board, agent);
  az_entry_agent_update (board, agent);
}

void
az_entry_agent_heard (struct az_entry_board *board, struct az_entry_agent *agent)
{
  agent->last_received_at = board->now;
  if (!agent->suspected)
    return;
  agent->suspected = false;
  az_entry_grants_place (board, agent);
}

static void
update_suspicion (struct az_entry_board *board, struct az_entry_agent *agent)
{
  int64_t silent_ms = az_time_diff_ms (board->now, agent->last_received_at);
  int64_t limit_ms = agent->open->len ? SUSPECT_BUSY_MS : SUSPECT_IDLE_MS;

  if (!agent->suspected && silent_ms > limit_ms)
    agent->suspected = true;
  az_entry_grants_remove_expired (board, agent);
  az_entry_grants_place (board, agent);
}

void
az_entry_agents_tick (struct az_entry_board *board)
{
  uint32_t next;

  for (uint32_t h = az_table_rows_next (board->agents, 0); h; h = next)
    {
      struct az_entry_agent *agent = az_entry_board_agent (board, h);

      next = az_table_rows_next (board->agents, h);
      if (agent->connection)
        update_suspicion (board, agent);
      else if (!agent->open->len
               && az_time_diff_ms (board->now, agent->last_received_at) > DISCONNECTED_RETENTION_MS)
        remove_agent (board, h);
    }
}
