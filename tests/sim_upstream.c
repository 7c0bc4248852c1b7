#include "sim.h"
#include <string.h>

struct finish
{
  uint32_t handle;
  az_status status;
  char payload[128];
};

void
sim_upstream_attach (struct sim_node *node)
{
  node->is_upstream_unhealthy = false;
  node->running_tasks = g_hash_table_new (NULL, NULL);
}

static void
finish (struct sim *sim, struct sim_node *node, void *data)
{
  const struct finish *task = data;

  (void)sim;
  if (g_hash_table_remove (node->running_tasks, GUINT_TO_POINTER (task->handle)))
    az_agent_core_task_finished (node->agent, task->handle, task->status,
                                 (const uint8_t *)task->payload, strlen (task->payload));
}

static int64_t
random_run_time (struct sim *sim)
{
  return sim_chance (sim, 0.05) ? sim_random_ns (sim, 1000, 4000) : sim_random_ns (sim, 10, 400);
}

static az_status
random_status (struct sim *sim)
{
  if (sim_chance (sim, 0.01))
    return AZ_STATUS_UNKNOWN;
  return sim_chance (sim, 0.03) ? AZ_STATUS_FAILED : AZ_STATUS_OK;
}

void
sim_upstream_start (void *context, const struct az_agent_task *task)
{
  struct sim_node *node = context;
  struct sim *sim = node->sim;
  struct finish *end = g_new0 (struct finish, 1);

  end->handle = task->handle;
  g_hash_table_add (node->running_tasks, GUINT_TO_POINTER (task->handle));
  if (node->is_upstream_unhealthy || sim_chance (sim, 0.01))
    {
      end->status = AZ_STATUS_NOT_STARTED;
      sim_schedule (sim, sim->now + sim_random_ns (sim, 0, 3), node, finish, end, g_free);
      return;
    }
  sim_rules_check_start (sim, node, task->id);
  end->status = random_status (sim);
  if (end->status == AZ_STATUS_OK)
    g_snprintf (end->payload, sizeof end->payload, "%s/%u", task->id->job, task->id->task);
  sim_schedule (sim, sim->now + random_run_time (sim), node, finish, end, g_free);
}

void
sim_upstream_cancel (void *context, uint32_t handle)
{
  struct sim_node *node = context;
  struct finish *end = g_new0 (struct finish, 1);

  end->handle = handle;
  end->status = AZ_STATUS_UNKNOWN;
  sim_schedule (node->sim, node->sim->now + SIM_MS, node, finish, end, g_free);
}
