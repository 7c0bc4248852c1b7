#include "message_copy.h"
#include "sim.h"
#include <string.h>

/* The handle of a connection at one of its two endpoints is 2 * (index + 1) + endpoint. The process
 * that opened the connection is at endpoint 0. */

struct delivery
{
  uint32_t handle;
  int64_t at;
  struct az_message *message;
};

struct dial
{
  int from;
  uint32_t generation;
  char *address;
};

static struct sim_endpoint *
endpoint_of (struct sim *sim, uint32_t handle)
{
  struct sim_connection *connection
      = &g_array_index (sim->connections, struct sim_connection, handle / 2 - 1);

  return &connection->endpoints[handle & 1];
}

static bool
is_disconnected (const struct sim *sim, int a, int b)
{
  return sim->disconnected_until[a][b] > sim->now;
}

static int64_t
random_delay (struct sim *sim)
{
  return sim_chance (sim, 0.02) ? sim_random_ns (sim, 1, 60) : 200000 + sim_random_ns (sim, 0, 2);
}

static void
free_delivery (void *data)
{
  message_free (((struct delivery *)data)->message);
  g_free (data);
}

static void
deliver (struct sim *sim, struct sim_node *node, void *data)
{
  struct delivery *delivery = data;
  const struct sim_endpoint *endpoint = endpoint_of (sim, delivery->handle);

  if (endpoint->closed || delivery->at > endpoint->lost_after)
    return;
  sim->n_messages++;
  if (sim->trace > 1)
    sim_trace (sim, "%s receives %s on %u", node->instance,
               az_message_name (delivery->message->proc), delivery->handle);
  if (node->agent)
    az_agent_core_message_received (node->agent, delivery->handle, delivery->message);
  else if (az_entry_core_message_received (node->entry, delivery->handle, delivery->message))
    sim_close (sim, node, delivery->handle);
}

/* Messages arrive in the order in which they were sent on a connection. */
static int64_t
next_delivery_time (struct sim *sim, const struct sim_endpoint *from, struct sim_endpoint *to)
{
  int64_t at = MAX (sim->now, sim->stall_until[from->node][to->node]);

  at += random_delay (sim);
  to->last_delivery_at = MAX (to->last_delivery_at + 1, at);
  return to->last_delivery_at;
}

void
sim_send (struct sim *sim, struct sim_node *node, uint32_t handle, const struct az_message *message)
{
  const struct sim_endpoint *from = endpoint_of (sim, handle);
  struct sim_endpoint *to = endpoint_of (sim, handle ^ 1);
  struct delivery *delivery;

  (void)node;
  if (from->closed || to->closed || to->lost_after <= sim->now)
    return;
  delivery = g_new0 (struct delivery, 1);
  delivery->handle = handle ^ 1;
  delivery->message = message_copy (message);
  delivery->at = next_delivery_time (sim, from, to);
  if (sim->nodes[to->node].generation != to->generation)
    {
      free_delivery (delivery);
      return;
    }
  sim_schedule (sim, delivery->at, &sim->nodes[to->node], deliver, delivery, free_delivery);
}

static void
close_endpoint (struct sim *sim, struct sim_node *node, void *data)
{
  uint32_t handle = GPOINTER_TO_UINT (data);
  struct sim_endpoint *endpoint = endpoint_of (sim, handle);

  if (endpoint->closed)
    return;
  endpoint->closed = true;
  sim_trace (sim, "%s connection %u closed", node->instance, handle);
  if (node->agent)
    az_agent_core_connection_closed (node->agent, handle);
  else
    az_entry_core_connection_closed (node->entry, handle);
}

static void
schedule_close (struct sim *sim, uint32_t handle, int64_t at)
{
  const struct sim_endpoint *endpoint = endpoint_of (sim, handle);
  struct sim_node *node = &sim->nodes[endpoint->node];

  if (endpoint->closed || node->generation != endpoint->generation)
    return;
  sim_schedule (sim, MAX (at, endpoint->last_delivery_at + 1), node, close_endpoint,
                GUINT_TO_POINTER (handle), NULL);
}

void
sim_close (struct sim *sim, struct sim_node *node, uint32_t handle)
{
  struct sim_endpoint *endpoint = endpoint_of (sim, handle);

  if (endpoint->closed)
    return;
  endpoint->closed = true;
  sim_trace (sim, "%s closes connection %u", node->instance, handle);
  schedule_close (sim, handle ^ 1, sim->now + random_delay (sim));
  if (node->entry)
    az_entry_core_connection_closed (node->entry, handle);
}

static void
open_endpoint (struct sim *sim, struct sim_node *node, void *data)
{
  uint32_t handle = GPOINTER_TO_UINT (data);
  const struct sim_endpoint *endpoint = endpoint_of (sim, handle);
  const char *address = sim->nodes[endpoint_of (sim, handle ^ 1)->node].address;

  if (endpoint->closed)
    return;
  sim_trace (sim, "%s has a connection to %s", node->instance, address);
  if (node->agent)
    az_agent_core_connection_opened (node->agent, handle, address);
  else
    az_entry_core_connection_opened (node->entry, handle, !(handle & 1), address);
}

static void
report_connect_failed (struct sim *sim, struct sim_node *node, void *data)
{
  sim_trace (sim, "%s can't connect to %s", node->instance, (const char *)data);
  if (node->agent)
    az_agent_core_connect_failed (node->agent, data);
  else
    az_entry_core_connect_failed (node->entry, data);
}

static void
init_endpoint (struct sim *sim, struct sim_endpoint *endpoint, const struct sim_node *node)
{
  *endpoint = (struct sim_endpoint){ node->index, node->generation, false, 0, INT64_MAX };
  endpoint->last_delivery_at = sim->now + random_delay (sim);
}

static void
create_connection (struct sim *sim, struct sim_node *from, struct sim_node *to)
{
  struct sim_connection connection;
  uint32_t handle = 2 * (sim->connections->len + 1);

  init_endpoint (sim, &connection.endpoints[0], from);
  init_endpoint (sim, &connection.endpoints[1], to);
  g_array_append_val (sim->connections, connection);
  for (uint32_t side = 0; side < 2; side++)
    sim_schedule (sim, connection.endpoints[side].last_delivery_at,
                  &sim->nodes[connection.endpoints[side].node], open_endpoint,
                  GUINT_TO_POINTER (handle + side), NULL);
}

static void
free_dial (void *data)
{
  g_free (((struct dial *)data)->address);
  g_free (data);
}

static struct sim_node *
find_listener (struct sim *sim, const char *address)
{
  for (int i = 0; i < SIM_N_ENTRIES; i++)
    if (sim->nodes[i].alive && !strcmp (sim->nodes[i].address, address))
      return &sim->nodes[i];
  return NULL;
}

static void
dial (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct dial *attempt = data;
  struct sim_node *from = &sim->nodes[attempt->from];
  struct sim_node *to = find_listener (sim, attempt->address);

  (void)no_node;
  if (!from->alive || from->generation != attempt->generation)
    return;
  if (to && !is_disconnected (sim, from->index, to->index))
    {
      create_connection (sim, from, to);
      return;
    }
  sim_schedule (sim, sim->now + random_delay (sim), from, report_connect_failed,
                g_strdup (attempt->address), g_free);
}

void
sim_connect (struct sim *sim, struct sim_node *node, const char *address)
{
  struct dial *attempt = g_new0 (struct dial, 1);

  attempt->from = node->index;
  attempt->generation = node->generation;
  attempt->address = g_strdup (address);
  sim_schedule (sim, sim->now + random_delay (sim), NULL, dial, attempt, free_dial);
}

/* Breaks a connection: for each direction, messages in transit are lost from a random time on. The
 * two processes learn at different times that the connection is closed. */
static void
break_connection (struct sim *sim, uint32_t handle, bool silent)
{
  for (uint32_t side = 0; side < 2; side++)
    {
      struct sim_endpoint *endpoint = endpoint_of (sim, handle + side);
      int64_t lost_after = sim->now + sim_random_ns (sim, 0, 3);

      endpoint->lost_after = MIN (endpoint->lost_after, lost_after);
      schedule_close (sim, handle + side, sim->now + sim_random_ns (sim, 0, silent ? 12000 : 40));
    }
}

void
sim_break_connections (struct sim *sim, int a, int b, bool silent)
{
  for (guint i = 0; i < sim->connections->len; i++)
    {
      const struct sim_connection *connection
          = &g_array_index (sim->connections, struct sim_connection, i);
      int first = connection->endpoints[0].node;
      int second = connection->endpoints[1].node;

      if (connection->endpoints[0].closed && connection->endpoints[1].closed)
        continue;
      if ((first == a && second == b) || (first == b && second == a))
        break_connection (sim, 2 * (i + 1), silent);
    }
}

void
sim_close_connections (struct sim *sim, struct sim_node *node)
{
  for (guint i = 0; i < sim->connections->len; i++)
    for (uint32_t side = 0; side < 2; side++)
      {
        uint32_t handle = 2 * (i + 1) + side;
        struct sim_endpoint *endpoint = endpoint_of (sim, handle);

        if (endpoint->node != node->index || endpoint->generation != node->generation
            || endpoint->closed)
          continue;
        endpoint->closed = true;
        schedule_close (sim, handle ^ 1, sim->now + random_delay (sim));
      }
}
