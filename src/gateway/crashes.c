#include "gateway/crashes.h"
#include "gateway/state.h"

/* A task under which two upstreams have crashed is likely their cause. Each further attempt would
 * cost another upstream, with all of its tasks, for some seconds. */
#define CRASHES_MAX 2

static bool
count_crashes (struct task *task, uint32_t n_crashes)
{
  task->n_crashes += n_crashes;
  return task->n_crashes >= CRASHES_MAX;
}

bool
az_gateway_recall_crashes (struct az_gateway *gateway, struct job *job)
{
  bool is_limit_reached = false;

  for (uint32_t step = 0; step < job->request.n_steps; step++)
    for (uint32_t i = 0; i < job->request.steps[step].n_tasks; i++)
      is_limit_reached |= count_crashes (
          az_gateway_find_task (job, step, i),
          az_crash_record_count (gateway->crash_record, job->id, step, i, gateway->now_us));
  return is_limit_reached;
}

bool
az_gateway_count_ended_task (struct task *task)
{
  return count_crashes (task, task->is_crash_counted ? 0 : 1);
}

bool
az_gateway_count_named_task (struct az_gateway *gateway,
                             struct job *job,
                             const struct upstream *upstream,
                             const struct az_node_crash *message)
{
  const struct az_crash crash = { .upstream = upstream->handle,
                                  .sidecar = upstream->sidecar,
                                  .life = upstream->life,
                                  .step = message->step,
                                  .index = message->index };
  struct task *task = job ? az_gateway_find_task (job, message->step, message->index) : NULL;

  if (!az_crash_record_add (gateway->crash_record, message->job_id, &crash, gateway->now_us)
      || !task)
    return false;
  task->is_crash_counted |= task->state == TASK_SENT && task->upstream == upstream->handle;
  return count_crashes (task, 1);
}
