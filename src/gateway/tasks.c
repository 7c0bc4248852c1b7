#include "azurerock/log.h"
#include "gateway/board.h"

static struct job *
find_job (const struct az_gateway *gateway, uint64_t number)
{
  return g_hash_table_lookup (gateway->jobs, &number);
}

static struct task *
find_task (struct job *job, uint32_t step, uint32_t index)
{
  if (step >= job->request.n_steps || index >= job->request.steps[step].n_tasks)
    return NULL;
  return &job->tasks[job->steps[step].first + index];
}

/* Takes a task off its upstream. */
static void
detach (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  struct upstream *upstream = az_gateway_upstream (gateway, task->upstream);
  uint32_t cpu_milli = job->request.steps[step].need.cpu_milli;

  if (task->state == TASK_SENT && upstream)
    {
      upstream->n_tasks--;
      upstream->used_milli -= MIN (upstream->used_milli, cpu_milli);
    }
  job->n_live--;
}

static void
wait_again (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  task->state = TASK_WAITING;
  job->steps[step].n_waiting++;
  job->n_waiting++;
  gateway->needs_placing = true;
}

static void
finish_task (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  task->state = TASK_DONE;
  job->steps[step].n_done++;
  job->n_done++;
  gateway->needs_placing = true;
  if (job->n_done < job->n_tasks || job->is_ending)
    return;
  az_gateway_count_outcome (job->queue, false);
  az_gateway_end_job (gateway, job, AZ_JOB_COMPLETED, 0, "all tasks done");
}

static void
fail_task (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  task->n_failed++;
  wait_again (gateway, job, step, task);
  if (task->n_failed >= job->attempts && !job->is_ending)
    az_gateway_end_job (gateway, job, AZ_JOB_FAILED, 0, "a task has failed too often");
}

void
az_gateway_handle_event (struct az_gateway *gateway,
                         struct upstream *upstream,
                         const struct az_task_event *event)
{
  struct job *job = find_job (gateway, event->job);
  struct task *task = job ? find_task (job, event->step, event->index) : NULL;

  if (event->how == AZ_TASK_NO_ROOM || event->how == AZ_TASK_CLOSED)
    az_ejector_cancelled (gateway->ejector, upstream->handle);
  if (!task || task->state != TASK_SENT || task->upstream != upstream->handle
      || event->attempt < task->attempt)
    return;
  task->attempt = event->attempt;
  detach (gateway, job, event->step, task);
  if (event->how != AZ_TASK_DONE)
    az_counters_add (gateway->counters, gateway->c_retried, 1);
  if (event->how != AZ_TASK_DONE && !job->is_ending)
    az_log (LOG_INFO, "event=task-back job=%s task=%u.%u attempt=%u upstream=%s how=%d run_ms=%u",
            job->id, event->step, event->index, event->attempt, upstream->instance, event->how,
            event->run_ms);
  switch (event->how)
    {
    case AZ_TASK_DONE:
      az_gateway_learn_run (job, &job->request.steps[event->step], upstream,
                            (int64_t)event->run_ms * AZ_US_PER_MS);
      finish_task (gateway, job, event->step, task);
      break;
    case AZ_TASK_FAILED:
      fail_task (gateway, job, event->step, task);
      break;
    case AZ_TASK_NO_ROOM:
    case AZ_TASK_CLOSED:
    case AZ_TASK_UNHEALTHY:
      /* It was refused and has not run. */
      job->n_started--;
      wait_again (gateway, job, event->step, task);
      break;
    default:
      wait_again (gateway, job, event->step, task);
      break;
    }
  az_gateway_release_job (gateway, job);
}

static void
for_tasks_on (
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
            struct task *task = &job->tasks[job->steps[step].first + i];

            if (task->state == state && task->upstream == upstream)
              call (gateway, job, step, task);
          }
      az_gateway_release_job (gateway, job);
    }
}

static void
lose (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  (void)job;
  (void)step;
  task->state = TASK_UNSETTLED;
  task->gone_us = gateway->now_us + gateway->settings.loss_ms * AZ_US_PER_MS;
}

void
az_gateway_lose_tasks (struct az_gateway *gateway, struct upstream *upstream, const char *reason)
{
  if (upstream->n_tasks > 0)
    az_log (LOG_WARNING,
            "event=tasks-unsettled upstream=%s tasks=%u reason=\"%s\" bound_ms=%" G_GINT64_FORMAT,
            upstream->instance, upstream->n_tasks, reason, gateway->settings.loss_ms);
  for_tasks_on (gateway, upstream->handle, TASK_SENT, lose);
  upstream->n_tasks = 0;
  upstream->used_milli = 0;
}

static void
settle (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  detach (gateway, job, step, task);
  wait_again (gateway, job, step, task);
}

void
az_gateway_settle_tasks (struct az_gateway *gateway, const struct upstream *upstream)
{
  for_tasks_on (gateway, upstream->handle, TASK_UNSETTLED, settle);
}

void
az_gateway_expire_unsettled (struct az_gateway *gateway, struct job *job)
{
  for (uint32_t step = 0; step < job->request.n_steps; step++)
    for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
      {
        struct task *task = &job->tasks[job->steps[step].first + i];

        if (task->state == TASK_UNSETTLED && gateway->now_us >= task->gone_us)
          settle (gateway, job, step, task);
      }
}

void
az_gateway_stop_job_tasks (struct az_gateway *gateway, struct job *job)
{
  for (uint32_t step = 0; step < job->request.n_steps; step++)
    {
      g_autoptr (GHashTable) told = g_hash_table_new (NULL, NULL);

      for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
        {
          struct task *task = &job->tasks[job->steps[step].first + i];
          struct upstream *upstream = az_gateway_upstream (gateway, task->upstream);
          struct az_message message = { .proc = AZ_NODE_STOP };

          if (task->state != TASK_SENT || !upstream->session)
            continue;
          task->is_stopping = true;
          if (!g_hash_table_add (told, upstream))
            continue;
          message.az_message_u.node_stop.job = job->number;
          message.az_message_u.node_stop.step = step;
          gateway->io.send (gateway->io.context, upstream->session, &message);
        }
    }
}
