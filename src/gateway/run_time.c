#include "dispatch/speed.h"
#include "gateway/state.h"

/* Run times outside this range of the estimate are counted as its ends. */
#define RUN_TIME_RATIO_MIN 0.1
#define RUN_TIME_RATIO_MAX 10

int64_t
az_gateway_expected_run_us (const struct az_gateway *gateway,
                            const struct job *job,
                            size_t step_index,
                            const struct upstream *upstream)
{
  const struct az_job_step *step = &job->request.steps[step_index];
  double run_us
      = az_run_estimate_expected_ms (&job->queue->run_estimate, step->estimate_ms) * AZ_US_PER_MS;

  if (!upstream)
    return (int64_t)run_us;
  run_us /= upstream->speed;
  if (step->preferred_label
      && !g_ptr_array_find_with_equal_func (upstream->labels, step->preferred_label, g_str_equal,
                                            NULL))
    run_us *= gateway->settings.remote_factor;
  return (int64_t)run_us;
}

/* Uses the speed from before the task: the present one contains this run time, and an error of
 * either would then enter the other. */
void
az_gateway_record_run_time (struct job *job,
                            const struct az_job_step *step,
                            const struct task *task,
                            const struct upstream *upstream,
                            int64_t run_us)
{
  double estimate_ms = MAX (step->estimate_ms, 1);
  double ratio = (double)run_us / AZ_US_PER_MS / estimate_ms;
  double run_ms = estimate_ms * CLAMP (ratio, RUN_TIME_RATIO_MIN, RUN_TIME_RATIO_MAX);

  if (!az_speed_is_slow (upstream->speed) && !az_speed_is_slow (task->sent_speed))
    az_run_estimate_record (&job->queue->run_estimate, estimate_ms, run_ms * task->sent_speed,
                            1.0 / step->n_tasks);
}
