#include "azurerock/log.h"
#include "gateway/state.h"

/* A task is moved only if its projected run time is at least this multiple of the expected one.
 * Moving every task that would end sooner elsewhere costs more than it gains. */
#define SLOW_FACTOR 2.2

/* A task is moved only if its remaining time exceeds MOVE_GAIN_FACTOR times its run time on another
 * upstream plus MOVE_COST_MS for stopping and starting it. */
#define MOVE_GAIN_FACTOR 1.5
#define MOVE_COST_MS 30
#define MOVES_MAX 2

static void
stop_task (struct az_gateway *gateway,
           const struct job *job,
           const struct upstream *upstream,
           const struct az_task_progress *progress)
{
  struct az_message message = { .proc = AZ_NODE_STOP };
  u_int index = progress->index;

  message.az_message_u.node_stop = (struct az_node_stop){
    .job = job->number,
    .step = progress->step,
    .indexes = { 1, &index },
  };
  gateway->io.send (gateway->io.context, upstream->session, &message);
}

static bool
would_end_sooner_elsewhere (struct az_gateway *gateway,
                            const struct job *job,
                            const struct az_task_progress *progress,
                            const struct upstream *here)
{
  struct upstream *other = az_gateway_best_upstream (gateway, job, progress->step, here->handle);
  int64_t left_ms = progress->projected_ms == UINT32_MAX
                        ? INT32_MAX
                        : (int64_t)progress->projected_ms - progress->elapsed_ms;
  int64_t run_ms;

  if (!other)
    return false;
  run_ms = az_gateway_expected_run_us (gateway, job, progress->step, other) / AZ_US_PER_MS;
  if (gateway->now_us + run_ms * AZ_US_PER_MS > job->deadline_us)
    return false;
  return (double)left_ms > (double)run_ms * MOVE_GAIN_FACTOR + MOVE_COST_MS;
}

void
az_gateway_handle_progress (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_task_progress *progress)
{
  struct job *job = g_hash_table_lookup (gateway->jobs, &progress->job);
  struct task *task;
  int64_t expected_us;

  if (!job || job->is_answered || progress->step >= job->request.n_steps
      || progress->index >= job->request.steps[progress->step].n_tasks)
    return;
  task = &job->tasks[job->steps[progress->step].first_task + progress->index];
  if (task->state != TASK_SENT || task->upstream != upstream->handle || task->is_stopping)
    return;
  expected_us = az_gateway_expected_run_us (gateway, job, progress->step, NULL);
  if ((double)progress->projected_ms * AZ_US_PER_MS < (double)expected_us * SLOW_FACTOR)
    return;
  if (task->n_moved >= MOVES_MAX || !would_end_sooner_elsewhere (gateway, job, progress, upstream))
    return;
  task->n_moved++;
  task->is_stopping = true;
  az_counters_add (gateway->counters, gateway->c_moved, 1);
  az_log (LOG_INFO,
          "event=move job=%s task=%u.%u upstream=%s elapsed_ms=%u projected_ms=%u "
          "expected_ms=%" G_GINT64_FORMAT,
          job->id, progress->step, progress->index, upstream->instance, progress->elapsed_ms,
          progress->projected_ms, expected_us / AZ_US_PER_MS);
  stop_task (gateway, job, upstream, progress);
}
