#include "azurerock/log.h"
#include "dispatch/speed.h"
#include "gateway/moves.h"
#include "gateway/state.h"

#define MOVES_MAX 2

/* Refused moves are logged at most this often. */
#define REFUSAL_LOG_INTERVAL_MS 1000

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

static int64_t
left_ms (const struct az_task_progress *progress)
{
  return progress->projected_ms == UINT32_MAX
             ? INT32_MAX
             : (int64_t)progress->projected_ms - progress->elapsed_ms;
}

static struct az_move_decision
decide_by_tail (const struct az_gateway *gateway,
                const struct job *job,
                const struct task *task,
                const struct upstream *here,
                const struct az_task_progress *progress,
                int64_t run_ms)
{
  int64_t expected_us = az_gateway_expected_run_us (gateway, job, progress->step, NULL);
  int64_t here_us = az_gateway_expected_run_us (gateway, job, progress->step, here);
  struct az_move_question question = {
    .elapsed_ms = progress->elapsed_ms,
    .projected_ms = progress->projected_ms,
    .expected_ms = (double)expected_us / AZ_US_PER_MS,
    .here_ms = (double)here_us / AZ_US_PER_MS,
    .elsewhere_ms = (double)run_ms,
    .is_reported_slow = az_speed_is_slow (here->speed),
    .ratio = &job->queue->run_ratio,
  };

  az_gateway_count_progress (gateway, here, job, task, &question.n_slow_jobs,
                             &question.n_normal_jobs);
  return az_move_decide (&question);
}

/* Whether the run times of the queue's former tasks decide on a move, rather than the speed alone.
 * They don't for a task without progress, nor where tasks are seldom long, except on hardware that
 * is usually slow. */
static bool
uses_distribution (const struct az_gateway *gateway,
                   const struct job *job,
                   const struct upstream *here,
                   const struct az_task_progress *progress)
{
  const struct az_run_ratio *ratio = &job->queue->run_ratio;

  if (!gateway->settings.tail_aware_moves || progress->projected_ms == UINT32_MAX)
    return false;
  return az_run_ratio_is_heavy (ratio)
         || (az_gateway_is_slow_hardware (gateway, here) && az_run_ratio_is_known (ratio));
}

/* Run time with which the projected one is compared. */
static int64_t
compared_run_us (const struct az_gateway *gateway,
                 const struct job *job,
                 const struct az_task_progress *progress,
                 const struct upstream *here)
{
  int64_t expected_us = az_gateway_expected_run_us (gateway, job, progress->step, NULL);

  if (!gateway->settings.relative_slowness || !uses_distribution (gateway, job, here, progress)
      || az_speed_is_slow (here->speed))
    return expected_us;
  return az_gateway_expected_run_us (gateway, job, progress->step, here);
}

static double
spent_core_s (const struct job *job, const struct az_task_progress *progress)
{
  return progress->elapsed_ms / 1000.0 * job->request.steps[progress->step].need.cpu_milli / 1000;
}

static void
refuse_move (struct az_gateway *gateway,
             const struct job *job,
             struct task *task,
             const struct upstream *upstream,
             const struct az_task_progress *progress,
             const struct az_move_decision *decision)
{
  bool is_long = decision->verdict == AZ_MOVE_LONG;

  if (task->is_move_refused)
    return;
  task->is_move_refused = true;
  gateway->n_move_refusals++;
  az_counters_add (gateway->counters, is_long ? gateway->c_moves_long : gateway->c_moves_budget, 1);
  if (gateway->move_refusal_logged_us > 0
      && gateway->now_us - gateway->move_refusal_logged_us < REFUSAL_LOG_INTERVAL_MS * AZ_US_PER_MS)
    return;
  az_log (LOG_INFO,
          "event=move-refused job=%s task=%u.%u upstream=%s reason=%s elapsed_ms=%u "
          "projected_ms=%u p_long=%.2f left_here_ms=%.0f left_elsewhere_ms=%.0f "
          "thrown_core_s=%.2f done_core_s=%.1f count=%u",
          job->id, progress->step, progress->index, upstream->instance,
          is_long ? "long-task" : "budget", progress->elapsed_ms, progress->projected_ms,
          decision->p_long, decision->left_here_ms, decision->left_elsewhere_ms,
          gateway->move_budget.thrown_core_s, gateway->move_budget.done_core_s,
          gateway->n_move_refusals);
  gateway->move_refusal_logged_us = gateway->now_us;
  gateway->n_move_refusals = 0;
}

/* Returns whether to move the task; *@decision receives what determined this. */
static bool
is_move_due (struct az_gateway *gateway,
             const struct job *job,
             struct task *task,
             const struct upstream *here,
             const struct az_task_progress *progress,
             struct az_move_decision *decision)
{
  struct upstream *other = az_gateway_best_upstream (gateway, job, progress->step, here->handle);
  int64_t run_ms;

  if (!other)
    return false;
  run_ms = az_gateway_expected_run_us (gateway, job, progress->step, other) / AZ_US_PER_MS;
  if (gateway->now_us + run_ms * AZ_US_PER_MS > job->deadline_us)
    return false;
  if (!uses_distribution (gateway, job, here, progress))
    {
      *decision = az_move_decide_by_speed ((double)left_ms (progress), (double)run_ms);
      return decision->verdict == AZ_MOVE_YES;
    }
  *decision = decide_by_tail (gateway, job, task, here, progress, run_ms);
  if (decision->verdict == AZ_MOVE_NO_GAIN)
    return false;
  if (decision->verdict == AZ_MOVE_YES
      && az_move_budget_allows (&gateway->move_budget, gateway->now_us,
                                spent_core_s (job, progress)))
    return true;
  refuse_move (gateway, job, task, here, progress, decision);
  return false;
}

void
az_gateway_handle_progress (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_task_progress *progress)
{
  struct job *job = g_hash_table_lookup (gateway->jobs, &progress->job);
  struct az_move_decision decision;
  struct task *task;
  int64_t expected_us;

  if (!job || job->is_answered || progress->step >= job->request.n_steps
      || progress->index >= job->request.steps[progress->step].n_tasks)
    return;
  task = &job->tasks[job->steps[progress->step].first_task + progress->index];
  if (task->state != TASK_SENT || task->upstream != upstream->handle || task->is_stopping)
    return;
  az_gateway_record_progress (gateway, job, task, upstream, progress);
  expected_us = compared_run_us (gateway, job, progress, upstream);
  if (!az_move_looks_slow ((double)progress->projected_ms * AZ_US_PER_MS, (double)expected_us))
    return;
  if (task->n_moved >= MOVES_MAX
      || !is_move_due (gateway, job, task, upstream, progress, &decision))
    return;
  task->n_moved++;
  task->is_stopping = true;
  az_counters_add (gateway->counters, gateway->c_moved, 1);
  if (gateway->settings.tail_aware_moves && progress->projected_ms != UINT32_MAX)
    az_move_budget_record_thrown (&gateway->move_budget, gateway->now_us,
                                  spent_core_s (job, progress));
  az_log (LOG_INFO,
          "event=move job=%s task=%u.%u upstream=%s elapsed_ms=%u projected_ms=%u "
          "expected_ms=%" G_GINT64_FORMAT " p_long=%.2f left_here_ms=%.0f left_elsewhere_ms=%.0f",
          job->id, progress->step, progress->index, upstream->instance, progress->elapsed_ms,
          progress->projected_ms, expected_us / AZ_US_PER_MS, decision.p_long,
          decision.left_here_ms, decision.left_elsewhere_ms);
  stop_task (gateway, job, upstream, progress);
}
