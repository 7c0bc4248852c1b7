#include "azurerock/log.h"
#include "gateway/state.h"

bool
az_gateway_is_step_ready (const struct job *job, size_t step_index)
{
  const struct az_job_step *step = &job->request.steps[step_index];

  for (size_t i = 0; i < step->n_after; i++)
    if (job->steps[step->after[i]].n_done < job->request.steps[step->after[i]].n_tasks)
      return false;
  return true;
}

struct task *
az_gateway_find_task (struct job *job, uint32_t step, uint32_t index)
{
  if (step >= job->request.n_steps || index >= job->request.steps[step].n_tasks)
    return NULL;
  return &job->tasks[job->steps[step].first_task + index];
}

void
az_gateway_detach_task (struct az_gateway *gateway,
                        struct job *job,
                        uint32_t step,
                        struct task *task)
{
  struct upstream *upstream = az_gateway_get_upstream (gateway, task->upstream);
  uint32_t cpu_milli = job->request.steps[step].need.cpu_milli;

  if (task->state == TASK_SENT && upstream)
    {
      upstream->n_tasks--;
      upstream->used_cpu_milli -= MIN (upstream->used_cpu_milli, cpu_milli);
    }
  job->n_in_flight--;
}

void
az_gateway_requeue_task (struct az_gateway *gateway,
                         struct job *job,
                         uint32_t step,
                         struct task *task)
{
  task->state = TASK_WAITING;
  job->steps[step].n_waiting++;
  job->n_waiting++;
  gateway->needs_placing = true;
}

static void
for_each_task_on (
    struct az_gateway *gateway,
    uint32_t upstream,
    enum task_state state,
    void (*call) (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task))
{
  g_autoptr (GList) jobs = g_hash_table_get_values (gateway->jobs);

  for (GList *link = jobs; link; link = link->next)
    {
      struct job *job = link->data;

      for (uint32_t step = 0; step < job->request.n_steps; step++)
        for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
          {
            struct task *task = &job->tasks[job->steps[step].first_task + i];

            if (task->state == state && task->upstream == upstream)
              call (gateway, job, step, task);
          }
    }
}

static void
mark_orphaned (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  (void)job;
  (void)step;
  task->state = TASK_ORPHANED;
  task->ended_by_us = gateway->now_us + gateway->settings.orphan_timeout_ms * AZ_US_PER_MS;
}

void
az_gateway_orphan_tasks (struct az_gateway *gateway, struct upstream *upstream, const char *reason)
{
  if (upstream->n_tasks > 0)
    az_log (LOG_WARNING,
            "event=tasks-unsettled upstream=%s tasks=%u reason=\"%s\" bound_ms=%" G_GINT64_FORMAT,
            upstream->instance, upstream->n_tasks, reason, gateway->settings.orphan_timeout_ms);
  for_each_task_on (gateway, upstream->handle, TASK_SENT, mark_orphaned);
  upstream->n_tasks = 0;
  upstream->used_cpu_milli = 0;
}

static void
requeue_orphan (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  az_gateway_detach_task (gateway, job, step, task);
  az_gateway_requeue_task (gateway, job, step, task);
}

void
az_gateway_requeue_orphans (struct az_gateway *gateway, const struct upstream *upstream)
{
  for_each_task_on (gateway, upstream->handle, TASK_ORPHANED, requeue_orphan);
}

void
az_gateway_expire_orphans (struct az_gateway *gateway, struct job *job)
{
  for (uint32_t step = 0; step < job->request.n_steps; step++)
    for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
      {
        struct task *task = &job->tasks[job->steps[step].first_task + i];

        if (task->state == TASK_ORPHANED && gateway->now_us >= task->ended_by_us)
          requeue_orphan (gateway, job, step, task);
      }
}

void
az_gateway_stop_job_tasks (struct az_gateway *gateway, struct job *job)
{
  for (uint32_t step = 0; step < job->request.n_steps; step++)
    {
      g_autoptr (GHashTable) notified = g_hash_table_new (NULL, NULL);

      for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
        {
          struct task *task = &job->tasks[job->steps[step].first_task + i];
          struct upstream *upstream = az_gateway_get_upstream (gateway, task->upstream);
          struct az_message message = { .proc = AZ_NODE_STOP };

          if (task->state != TASK_SENT || !upstream->session)
            continue;
          task->is_stopping = true;
          if (!g_hash_table_add (notified, upstream))
            continue;
          message.az_message_u.node_stop.job = job->number;
          message.az_message_u.node_stop.step = step;
          gateway->io.send (gateway->io.context, upstream->session, &message);
        }
    }
}
