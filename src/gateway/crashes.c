#include "azurerock/log.h"
#include "gateway/state.h"

/* A task under which two upstreams have crashed is likely their cause. Each further attempt would
 * cost another upstream, with all of its tasks, for some seconds. */
#define CRASHES_MAX 2

static void
count_crashes (struct az_gateway *gateway, struct job *job, struct task *task, uint32_t n_crashes)
{
  task->n_crashes += n_crashes;
  if (task->n_crashes < CRASHES_MAX || job->is_answered)
    return;
  az_counters_add (gateway->counters, gateway->c_crashed, 1);
  az_gateway_end_job (gateway, job, AZ_JOB_FAILED, 0, "a task has crashed its upstreams");
}

void
az_gateway_recall_crashes (struct az_gateway *gateway, struct job *job)
{
  for (uint32_t step = 0; step < job->request.n_steps; step++)
    for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
      count_crashes (
          gateway, job, az_gateway_find_task (job, step, i),
          az_crash_record_count (gateway->crash_record, job->id, step, i, gateway->now_us));
}

void
az_gateway_count_task_crash (struct az_gateway *gateway,
                             struct job *job,
                             struct task *task,
                             const struct az_task_event *event)
{
  const struct az_crash crash = {
    .upstream = task->upstream, .life = task->life, .step = event->step, .index = event->index
  };

  if (!az_crash_record_contains (gateway->crash_record, job->id, &crash, gateway->now_us))
    count_crashes (gateway, job, task, 1);
}

void
az_gateway_handle_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message)
{
  const struct az_crash crash = { .upstream = upstream->handle,
                                  .life = upstream->life,
                                  .step = message->step,
                                  .index = message->index };
  struct job *job = g_hash_table_lookup (gateway->job_ids, message->job_id);
  struct task *task = job ? az_gateway_find_task (job, message->step, message->index) : NULL;

  az_log (LOG_NOTICE, "event=upstream-crashed instance=%s queue=%s job=%s task=%u.%u",
          upstream->instance, message->queue[0] ? message->queue : "-",
          message->job_id[0] ? message->job_id : "-", message->step, message->index);
  if (!message->job_id[0]
      || !az_crash_record_add (gateway->crash_record, message->job_id, &crash, gateway->now_us)
      || !task)
    return;
  count_crashes (gateway, job, task, 1);
  az_gateway_release_job (gateway, job);
}
