#include "sim.h"

/** struct fault_plan - @kinds is a bit mask of enum sim_fault, @max_pause_ms limits the time
 * between two faults */
struct fault_plan
{
  uint32_t kinds;
  int64_t max_pause_ms;
};

static void
restart (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct sim_node *node = data;

  (void)no_node;
  if (!node->alive)
    sim_node_start (sim, node);
}

static void
crash (struct sim *sim, struct sim_node *node)
{
  sim_node_terminate (sim, node);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 20, 7000), NULL, restart, node, NULL);
}

static void
freeze (struct sim *sim, struct sim_node *node)
{
  int64_t duration
      = sim_chance (sim, 0.5) ? sim_random_ns (sim, 100, 3000) : sim_random_ns (sim, 2000, 15000);

  sim_trace (sim, "freeze %s for %d ms", node->instance, (int)(duration / SIM_MS));
  if (node->alive)
    sim_freeze (sim, node, duration);
}

static void
disconnect_pair (struct sim *sim, int a, int b, int64_t duration)
{
  bool silent = sim_chance (sim, 0.3);

  if (a == b)
    return;
  sim_trace (sim, "disconnect %s from %s for %d ms%s", sim->nodes[a].instance,
             sim->nodes[b].instance, (int)(duration / SIM_MS), silent ? ", silent" : "");
  sim_break_connections (sim, a, b, silent);
  sim->disconnected_until[a][b] = sim->now + duration;
  sim->disconnected_until[b][a] = sim->now + duration;
}

static void
disconnect_random_pair (struct sim *sim)
{
  int a = sim_random_node (sim, SIM_ENTRY)->index;
  int b = sim_random_node (sim, sim_chance (sim, 0.4) ? SIM_ENTRY : SIM_AGENT)->index;

  disconnect_pair (sim, a, b, sim_chance (sim, 0.5) ? 0 : sim_random_ns (sim, 100, 6000));
}

static void
isolate_random_node (struct sim *sim)
{
  int node = g_rand_int_range (sim->random, 0, SIM_N_ENTRIES + SIM_N_AGENTS);
  int64_t duration = sim_random_ns (sim, 500, 9000);

  for (int i = 0; i < SIM_N_ENTRIES + SIM_N_AGENTS; i++)
    disconnect_pair (sim, node, i, duration);
  if (sim_chance (sim, 0.7))
    sim->store_disconnected_until[node] = sim->now + duration;
}

/* Divides the nodes at random into two sides without connections between them. The store is on one
 * side. */
static void
partition_nodes (struct sim *sim)
{
  uint32_t side = g_rand_int (sim->random);
  int64_t duration = sim_random_ns (sim, 1000, 9000);

  for (int a = 0; a < SIM_N_ENTRIES + SIM_N_AGENTS; a++)
    for (int b = 0; b < a; b++)
      if ((side >> a & 1) != (side >> b & 1))
        disconnect_pair (sim, a, b, duration);
  for (int a = 0; a < SIM_N_ENTRIES + SIM_N_AGENTS; a++)
    if (side >> a & 1)
      sim->store_disconnected_until[a] = sim->now + duration;
}

/* Simulates lost packets that TCP sends again: messages arrive late, but in order. */
static void
stall_random_pair (struct sim *sim)
{
  int a = sim_random_node (sim, SIM_ENTRY)->index;
  int b = sim_random_node (sim, sim_chance (sim, 0.3) ? SIM_ENTRY : SIM_AGENT)->index;

  sim_trace (sim, "stall between %s and %s", sim->nodes[a].instance, sim->nodes[b].instance);
  sim->stall_until[a][b] = sim->now + sim_random_ns (sim, 200, 6000);
  if (sim_chance (sim, 0.5))
    sim->stall_until[b][a] = sim->stall_until[a][b];
}

static void
heal_store (struct sim *sim, struct sim_node *no_node, void *data)
{
  bool *flag = data;

  (void)sim;
  (void)no_node;
  *flag = false;
}

static void
break_store (struct sim *sim, bool *flag, const char *name)
{
  sim_trace (sim, "store %s", name);
  *flag = true;
  sim_schedule (sim, sim->now + sim_random_ns (sim, 500, 12000), NULL, heal_store, flag, NULL);
}

static void
heal_upstream (struct sim *sim, struct sim_node *node, void *data)
{
  (void)sim;
  (void)data;
  node->is_upstream_unhealthy = false;
  az_agent_core_set_upstream_healthy (node->agent, true);
}

static void
report_unhealthy_upstream (struct sim *sim, struct sim_node *node, void *data)
{
  (void)sim;
  (void)data;
  az_agent_core_set_upstream_healthy (node->agent, false);
}

static void
break_upstream (struct sim *sim, struct sim_node *node)
{
  if (!node->alive || node->is_upstream_unhealthy)
    return;
  node->is_upstream_unhealthy = true;
  sim_schedule (sim, sim->now + sim_random_ns (sim, 1, 500), node, report_unhealthy_upstream, NULL,
                NULL);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 600, 3000), node, heal_upstream, NULL, NULL);
}

static void
inject_node_fault (struct sim *sim, enum sim_fault fault)
{
  struct sim_node *entry = sim_random_node (sim, SIM_ENTRY);
  struct sim_node *agent = sim_random_node (sim, SIM_AGENT);

  if (fault == SIM_FAULT_CRASH_ENTRY)
    crash (sim, entry);
  else if (fault == SIM_FAULT_CRASH_AGENT)
    crash (sim, agent);
  else if (fault == SIM_FAULT_STOP_ENTRY)
    sim_node_stop (sim, entry);
  else if (fault == SIM_FAULT_STOP_AGENT)
    sim_node_stop (sim, agent);
  else if (fault == SIM_FAULT_FREEZE_ENTRY)
    freeze (sim, entry);
  else if (fault == SIM_FAULT_FREEZE_AGENT)
    freeze (sim, agent);
  else
    break_upstream (sim, agent);
}

static void
inject_fault (struct sim *sim, enum sim_fault fault)
{
  switch (fault)
    {
    case SIM_FAULT_DISCONNECT:
      disconnect_random_pair (sim);
      break;
    case SIM_FAULT_ISOLATE:
      isolate_random_node (sim);
      break;
    case SIM_FAULT_PARTITION:
      partition_nodes (sim);
      break;
    case SIM_FAULT_STALL:
      stall_random_pair (sim);
      break;
    case SIM_FAULT_STORE_DOWN:
      break_store (sim, &sim->store.is_down, "down");
      break;
    case SIM_FAULT_STORE_SLOW:
      break_store (sim, &sim->store.is_slow, "slow");
      break;
    case SIM_FAULT_STORE_LOSES_ANSWERS:
      break_store (sim, &sim->store.loses_answers, "loses answers");
      break;
    case SIM_FAULT_PUBLISH:
      sim_operator_publish (sim);
      break;
    default:
      inject_node_fault (sim, fault);
    }
}

static void
inject_next_fault (struct sim *sim, struct sim_node *no_node, void *data)
{
  const struct fault_plan *fault_plan = data;
  enum sim_fault fault = (enum sim_fault)g_rand_int_range (sim->random, 0, SIM_N_FAULTS);

  (void)no_node;
  if (sim->has_healed)
    return;
  while (!(fault_plan->kinds >> fault & 1))
    fault = (fault + 1) % SIM_N_FAULTS;
  inject_fault (sim, fault);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 10, fault_plan->max_pause_ms), NULL,
                inject_next_fault, g_memdup2 (fault_plan, sizeof *fault_plan), g_free);
}

void
sim_faults_create (struct sim *sim)
{
  struct fault_plan fault_plan = { 1u << SIM_FAULT_PUBLISH, 0 };
  int n_kinds = g_rand_int_range (sim->random, 1, 7);

  for (int i = 0; i < n_kinds; i++)
    fault_plan.kinds |= 1u << g_rand_int_range (sim->random, 0, SIM_N_FAULTS);
  if (sim->guards.fault_kinds)
    fault_plan.kinds = sim->guards.fault_kinds;
  fault_plan.max_pause_ms = g_rand_int_range (sim->random, 200, 3000);
  sim_schedule (sim, sim->now + sim_random_ns (sim, 500, 6000), NULL, inject_next_fault,
                g_memdup2 (&fault_plan, sizeof fault_plan), g_free);
}
