#include "agent/state.h"
#include "entry/core.h"
#include "sim.h"
#include <string.h>

#define TICK_MS 20

static void
read_monotonic (void *context, struct timespec *now)
{
  const struct sim_node *node = context;

  *now = az_time_from_ns (node->sim->now + node->mono_offset);
}

static void
read_wall (void *context, struct timespec *now)
{
  const struct sim_node *node = context;

  *now = az_time_from_ns (node->sim->now + node->wall_offset + SIM_WALL_MS * SIM_MS);
}

bool
sim_node_is_frozen (const struct sim_node *node)
{
  return node->frozen_until > node->sim->now;
}

uint64_t
sim_node_revision (struct sim_node *node)
{
  return node->agent ? az_agent_core_state (node->agent)->view.revision
                     : node->entry->state->revision;
}

void
sim_node_flush (struct sim_node *node)
{
  if (sim_node_is_frozen (node))
    return;
  if (node->agent)
    az_agent_core_flush (node->agent);
  else
    az_entry_core_flush (node->entry);
  sim_rules_check_revision (node->sim, node);
}

static void
on_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct sim_node *node = context;

  sim_send (node->sim, node, connection, message);
}

static void
on_connect (void *context, const char *address)
{
  struct sim_node *node = context;

  sim_connect (node->sim, node, address);
}

static void
on_close (void *context, uint32_t connection)
{
  struct sim_node *node = context;

  sim_close (node->sim, node, connection);
}

static void
on_write_table (void *context, const struct az_table *table, uint64_t expected_index)
{
  struct sim_node *node = context;

  sim_store_write_table (node->sim, node, table, expected_index);
}

static void
create_entry (struct sim_node *node)
{
  struct az_entry_settings settings;
  struct az_entry_io io = { on_send, on_connect, sim_callers_handle_answer, on_write_table, node };

  az_entry_settings_init (&settings);
  settings.instance = node->instance;
  settings.domain = node->domain;
  settings.rpc_address = node->address;
  settings.http_address = node->http_address;
  if (node->sim->guards.entry_always_fresh)
    settings.freshness_limit_ms = INT32_MAX;
  node->entry = az_entry_core_create (&settings, node->incarnation, &node->clock, node->random, &io,
                                      node->counters, NULL);
  node->entry->state->guards = node->sim->guards.entry;
  sim_store_attach (node->sim, node);
}

static void
create_agent (struct sim_node *node)
{
  struct az_agent_settings settings;
  struct az_agent_io io
      = { on_send, on_connect, on_close, sim_upstream_start, sim_upstream_cancel, node };

  az_agent_settings_init (&settings);
  settings.instance = node->instance;
  settings.upstream = "u";
  settings.domain = node->domain;
  settings.slots = SIM_SLOTS;
  node->agent = az_agent_core_create (&settings, node->incarnation, &node->clock, node->random, &io,
                                      node->counters, NULL);
  az_agent_core_state (node->agent)->guards = node->sim->guards.agent;
  sim_upstream_attach (node);
  for (int i = 0; i < SIM_N_ENTRIES; i++)
    az_agent_core_add_seed (node->agent, node->sim->nodes[i].address);
}

static void
tick (struct sim *sim, struct sim_node *node, void *data)
{
  (void)data;
  if (node->agent)
    az_agent_core_tick (node->agent);
  else
    az_entry_core_tick (node->entry);
  sim_schedule (sim, sim->now + TICK_MS * SIM_MS, node, tick, NULL, NULL);
}

/* The last entry gets another address in each generation, as after a move to another machine. */
static void
set_addresses (struct sim_node *node)
{
  uint32_t host = node->index == SIM_N_ENTRIES - 1 ? node->generation : 0;

  g_snprintf (node->address, sizeof node->address, "10.0.%u.%d:7000", host, node->index);
  g_snprintf (node->http_address, sizeof node->http_address, "10.0.%u.%d:80", host, node->index);
}

void
sim_node_start (struct sim *sim, struct sim_node *node)
{
  node->generation++;
  node->alive = true;
  node->stopping = false;
  node->frozen_until = 0;
  node->started_at = sim->now;
  node->revision = 0;
  node->incarnation = (uint64_t)g_rand_int (sim->random) << 32 | g_rand_int (sim->random);
  node->random = g_rand_new_with_seed (g_rand_int (sim->random));
  node->counters = az_counters_create ();
  set_addresses (node);
  if (node->kind == SIM_ENTRY)
    create_entry (node);
  else
    create_agent (node);
  sim_trace (sim, "start %s incarnation %" G_GUINT64_FORMAT, node->instance,
             (guint64)node->incarnation);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 0, TICK_MS), node, tick, NULL, NULL);
}

void
sim_node_destroy (struct sim_node *node)
{
  if (!node->alive)
    return;
  node->alive = false;
  sim_node_clear_inbox (node);
  az_agent_core_destroy (node->agent);
  az_entry_core_destroy (node->entry);
  node->agent = NULL;
  node->entry = NULL;
  if (node->running_tasks)
    g_hash_table_destroy (node->running_tasks);
  node->running_tasks = NULL;
  g_rand_free (node->random);
  az_counters_destroy (node->counters);
}

void
sim_node_terminate (struct sim *sim, struct sim_node *node)
{
  if (!node->alive)
    return;
  sim_trace (sim, "end %s", node->instance);
  sim_close_connections (sim, node);
  sim_callers_disconnect (sim, node);
  sim_node_destroy (node);
}

static bool
is_drained (const struct sim_node *node)
{
  return node->agent ? az_agent_core_is_drained (node->agent)
                     : az_entry_core_is_drained (node->entry);
}

static void
restart (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct sim_node *node = data;

  (void)no_node;
  if (!node->alive)
    sim_node_start (sim, node);
}

static void
check_drained (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct sim_node *node = data;

  (void)no_node;
  if (!node->alive || !node->stopping)
    return;
  if (sim_node_is_frozen (node) || !is_drained (node))
    {
      sim_schedule (sim, sim->now + 50 * SIM_MS, NULL, check_drained, node, NULL);
      return;
    }
  sim_rules_check_drained (sim, node);
  sim_node_terminate (sim, node);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 10, 2000), NULL, restart, node, NULL);
}

static void
stop (struct sim *sim, struct sim_node *node, void *data)
{
  (void)data;
  sim_trace (sim, "stop %s", node->instance);
  node->stopping = true;
  node->stopped_at = sim->now;
  if (node->agent)
    az_agent_core_stop (node->agent);
  else
    az_entry_core_stop (node->entry);
  sim_schedule (sim, sim->now + 50 * SIM_MS, NULL, check_drained, node, NULL);
}

void
sim_node_stop (struct sim *sim, struct sim_node *node)
{
  if (node->alive && !node->stopping)
    sim_schedule (sim, sim->now, node, stop, NULL, NULL);
}

struct sim_node *
sim_random_node (struct sim *sim, enum sim_node_kind kind)
{
  if (kind == SIM_ENTRY)
    return &sim->nodes[g_rand_int_range (sim->random, 0, SIM_N_ENTRIES)];
  return &sim->nodes[SIM_N_ENTRIES + g_rand_int_range (sim->random, 0, SIM_N_AGENTS)];
}

static void
init_node (struct sim *sim, int index)
{
  struct sim_node *node = &sim->nodes[index];
  bool is_entry = index < SIM_N_ENTRIES;

  node->index = index;
  node->sim = sim;
  node->kind = is_entry ? SIM_ENTRY : SIM_AGENT;
  g_snprintf (node->instance, sizeof node->instance, "%s-%d", is_entry ? "entry" : "agent", index);
  g_snprintf (node->domain, sizeof node->domain, "d%d", index % SIM_N_DOMAINS);
  node->mono_offset = sim_random_ns (sim, 10000, 100000);
  node->wall_offset = sim_random_ns (sim, 0, 500) - 250 * SIM_MS;
  node->clock = (struct az_clock){ read_monotonic, read_wall, node };
  g_queue_init (&node->inbox);
  set_addresses (node);
}

void
sim_nodes_create (struct sim *sim)
{
  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    init_node (sim, i);
  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    sim_schedule (sim, sim->now + sim_random_ns (sim, 0, 100), NULL, restart, &sim->nodes[i], NULL);
}
