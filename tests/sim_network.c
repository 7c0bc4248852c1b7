#include "message_copy.h"
#include "sim.h"
#include <string.h>

/* A connection handle names its connection and its end: 2 * (index + 1) + end. */

struct delivery
{
  uint32_t handle;
  int64_t at;
  struct az_message *message;
};

struct dial
{
  int from;
  uint32_t life;
  char *address;
};

static struct sim_end *
end_of (struct sim *sim, uint32_t handle)
{
  struct sim_connection *connection
      = &g_array_index (sim->connections, struct sim_connection, handle / 2 - 1);

  return &connection->end[handle & 1];
}

static bool
is_cut (const struct sim *sim, int a, int b)
{
  return sim->cut_until[a][b] > sim->now;
}

static int64_t
delay (struct sim *sim)
{
  return sim_chance (sim, 0.02) ? sim_between (sim, 1, 60) : 200000 + sim_between (sim, 0, 2);
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
  const struct sim_end *end = end_of (sim, delivery->handle);

  if (end->closed || delivery->at > end->lost_after)
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

/* Order is kept within a connection. */
static int64_t
arrival (struct sim *sim, const struct sim_end *from, struct sim_end *to)
{
  int64_t at = MAX (sim->now, sim->stall_until[from->node][to->node]);

  at += delay (sim);
  to->last_delivery = MAX (to->last_delivery + 1, at);
  return to->last_delivery;
}

void
sim_send (struct sim *sim, struct sim_node *node, uint32_t handle, const struct az_message *message)
{
  const struct sim_end *from = end_of (sim, handle);
  struct sim_end *to = end_of (sim, handle ^ 1);
  struct delivery *delivery;

  (void)node;
  if (from->closed || to->closed || to->lost_after <= sim->now)
    return;
  delivery = g_new0 (struct delivery, 1);
  delivery->handle = handle ^ 1;
  delivery->message = message_copy (message);
  delivery->at = arrival (sim, from, to);
  if (sim->nodes[to->node].life != to->life)
    {
      free_delivery (delivery);
      return;
    }
  sim_schedule (sim, delivery->at, &sim->nodes[to->node], deliver, delivery, free_delivery);
}

static void
close_event (struct sim *sim, struct sim_node *node, void *data)
{
  uint32_t handle = GPOINTER_TO_UINT (data);
  struct sim_end *end = end_of (sim, handle);

  if (end->closed)
    return;
  end->closed = true;
  sim_trace (sim, "%s connection %u closed", node->instance, handle);
  if (node->agent)
    az_agent_core_connection_closed (node->agent, handle);
  else
    az_entry_core_connection_closed (node->entry, handle);
}

static void
notify_closed (struct sim *sim, uint32_t handle, int64_t at)
{
  const struct sim_end *end = end_of (sim, handle);
  struct sim_node *node = &sim->nodes[end->node];

  if (end->closed || node->life != end->life)
    return;
  sim_schedule (sim, MAX (at, end->last_delivery + 1), node, close_event, GUINT_TO_POINTER (handle),
                NULL);
}

void
sim_close (struct sim *sim, struct sim_node *node, uint32_t handle)
{
  struct sim_end *end = end_of (sim, handle);

  if (end->closed)
    return;
  end->closed = true;
  sim_trace (sim, "%s closes connection %u", node->instance, handle);
  notify_closed (sim, handle ^ 1, sim->now + delay (sim));
  if (node->entry)
    az_entry_core_connection_closed (node->entry, handle);
}

static void
open_end (struct sim *sim, struct sim_node *node, void *data)
{
  uint32_t handle = GPOINTER_TO_UINT (data);
  const struct sim_end *end = end_of (sim, handle);
  const char *address = sim->nodes[end_of (sim, handle ^ 1)->node].address;

  if (end->closed)
    return;
  sim_trace (sim, "%s opened to %s", node->instance, address);
  if (node->agent)
    az_agent_core_connection_opened (node->agent, handle, address);
  else
    az_entry_core_connection_opened (node->entry, handle, !(handle & 1), address);
}

static void
unreachable (struct sim *sim, struct sim_node *node, void *data)
{
  sim_trace (sim, "%s can't reach %s", node->instance, (const char *)data);
  if (node->agent)
    az_agent_core_connect_failed (node->agent, data);
  else
    az_entry_core_connect_failed (node->entry, data);
}

static void
init_end (struct sim *sim, struct sim_end *end, const struct sim_node *node)
{
  *end = (struct sim_end){ node->index, node->life, false, 0, INT64_MAX };
  end->last_delivery = sim->now + delay (sim);
}

static void
join (struct sim *sim, struct sim_node *from, struct sim_node *to)
{
  struct sim_connection connection;
  uint32_t handle = 2 * (sim->connections->len + 1);

  init_end (sim, &connection.end[0], from);
  init_end (sim, &connection.end[1], to);
  g_array_append_val (sim->connections, connection);
  for (uint32_t side = 0; side < 2; side++)
    sim_schedule (sim, connection.end[side].last_delivery, &sim->nodes[connection.end[side].node],
                  open_end, GUINT_TO_POINTER (handle + side), NULL);
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
dial (struct sim *sim, struct sim_node *world, void *data)
{
  struct dial *attempt = data;
  struct sim_node *from = &sim->nodes[attempt->from];
  struct sim_node *to = find_listener (sim, attempt->address);

  (void)world;
  if (!from->alive || from->life != attempt->life)
    return;
  if (to && !is_cut (sim, from->index, to->index))
    {
      join (sim, from, to);
      return;
    }
  sim_schedule (sim, sim->now + delay (sim), from, unreachable, g_strdup (attempt->address),
                g_free);
}

void
sim_connect (struct sim *sim, struct sim_node *node, const char *address)
{
  struct dial *attempt = g_new0 (struct dial, 1);

  attempt->from = node->index;
  attempt->life = node->life;
  attempt->address = g_strdup (address);
  sim_schedule (sim, sim->now + delay (sim), NULL, dial, attempt, free_dial);
}

/* Messages under way are lost from a random moment on; each end learns of it on its own. */
static void
break_connection (struct sim *sim, uint32_t handle, bool silent)
{
  for (uint32_t side = 0; side < 2; side++)
    {
      struct sim_end *end = end_of (sim, handle + side);
      int64_t lost_after = sim->now + sim_between (sim, 0, 3);

      end->lost_after = MIN (end->lost_after, lost_after);
      notify_closed (sim, handle + side, sim->now + sim_between (sim, 0, silent ? 12000 : 40));
    }
}

void
sim_cut (struct sim *sim, int a, int b, bool silent)
{
  for (guint i = 0; i < sim->connections->len; i++)
    {
      const struct sim_connection *connection
          = &g_array_index (sim->connections, struct sim_connection, i);
      int first = connection->end[0].node;
      int second = connection->end[1].node;

      if (connection->end[0].closed && connection->end[1].closed)
        continue;
      if ((first == a && second == b) || (first == b && second == a))
        break_connection (sim, 2 * (i + 1), silent);
    }
}

/* A process has ended: its side is gone; what it sent before still arrives. */
void
sim_close_all (struct sim *sim, struct sim_node *node)
{
  for (guint i = 0; i < sim->connections->len; i++)
    for (uint32_t side = 0; side < 2; side++)
      {
        uint32_t handle = 2 * (i + 1) + side;
        struct sim_end *end = end_of (sim, handle);

        if (end->node != node->index || end->life != node->life || end->closed)
          continue;
        end->closed = true;
        notify_closed (sim, handle ^ 1, sim->now + delay (sim));
      }
}
