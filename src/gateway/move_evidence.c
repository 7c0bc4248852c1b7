#include "dispatch/speed.h"
#include "gateway/moves.h"
#include "gateway/state.h"

static void
record_ratio (struct job *job, const struct az_job_step *step, struct task *task, double ratio)
{
  if (task->is_ratio_recorded)
    return;
  task->is_ratio_recorded = true;
  az_run_ratio_record (&job->queue->run_ratio, job->number, ratio, 1.0 / step->n_tasks);
}

void
az_gateway_record_done_task (struct az_gateway *gateway,
                             struct job *job,
                             uint32_t step_index,
                             struct task *task,
                             int64_t run_us)
{
  const struct az_job_step *step = &job->request.steps[step_index];
  const struct upstream *upstream = az_gateway_get_upstream (gateway, task->upstream);
  int64_t expected_us = az_gateway_expected_run_us (gateway, job, step_index, upstream);

  if (!gateway->settings.tail_aware_moves)
    return;
  az_move_budget_record_done (&gateway->move_budget, gateway->now_us,
                              (double)run_us / 1e6 * step->need.cpu_milli / 1000);
  if (!az_speed_is_slow (upstream->speed))
    record_ratio (job, step, task, (double)run_us / (double)MAX (expected_us, 1));
}

void
az_gateway_record_progress (const struct az_gateway *gateway,
                            struct job *job,
                            struct task *task,
                            const struct upstream *upstream,
                            const struct az_task_progress *progress)
{
  const struct az_move_question question = {
    .elapsed_ms = progress->elapsed_ms,
    .projected_ms = progress->projected_ms,
    .expected_ms
    = (double)az_gateway_expected_run_us (gateway, job, progress->step, NULL) / AZ_US_PER_MS,
    .here_ms
    = (double)az_gateway_expected_run_us (gateway, job, progress->step, upstream) / AZ_US_PER_MS,
    .is_reported_slow = az_speed_is_slow (upstream->speed),
  };

  task->own_ratio = az_move_own_ratio (&question);
  if (gateway->settings.tail_aware_moves && task->n_moved > 0 && !question.is_reported_slow
      && progress->projected_ms != UINT32_MAX && az_move_looks_slow (task->own_ratio, 1))
    record_ratio (job, &job->request.steps[progress->step], task, task->own_ratio);
}

/* Returns the smallest ratio among the tasks of the job on the upstream other than @except, or 0 if
 * none of them has reported progress. */
static double
smallest_ratio (const struct job *job, const struct upstream *upstream, const struct task *except)
{
  double smallest = 0;

  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct task *task = &job->tasks[i];

      if (task == except || task->state != TASK_SENT || task->upstream != upstream->handle
          || task->own_ratio <= 0)
        continue;
      if (smallest <= 0 || task->own_ratio < smallest)
        smallest = task->own_ratio;
    }
  return smallest;
}

void
az_gateway_count_progress (const struct az_gateway *gateway,
                           const struct upstream *upstream,
                           const struct job *job,
                           const struct task *task,
                           unsigned *n_slow_jobs,
                           unsigned *n_normal_jobs)
{
  GHashTableIter iterator;
  gpointer value;

  *n_slow_jobs = *n_normal_jobs = 0;
  g_hash_table_iter_init (&iterator, gateway->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      double ratio = smallest_ratio (value, upstream, task);

      if (ratio <= 0)
        continue;
      if (!az_move_looks_slow (ratio, 1))
        (*n_normal_jobs)++;
      else if (value != job)
        (*n_slow_jobs)++;
    }
}
