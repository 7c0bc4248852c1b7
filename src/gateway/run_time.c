#include "dispatch/speed.h"
#include "gateway/state.h"

#define RATIO_WEIGHT 0.02

int64_t
az_gateway_expected_run_us (const struct az_gateway *gateway,
                            const struct job *job,
                            size_t step_index,
                            const struct upstream *upstream)
{
  const struct az_job_step *step = &job->request.steps[step_index];
  double run_us = MAX (step->estimate_ms, 1) * 1000.0 * job->queue->run_time_ratio;

  if (!upstream)
    return (int64_t)run_us;
  run_us /= upstream->speed;
  if (step->preferred_label
      && !g_ptr_array_find_with_equal_func (upstream->labels, step->preferred_label, g_str_equal,
                                            NULL))
    run_us *= gateway->settings.remote_factor;
  return (int64_t)run_us;
}

void
az_gateway_record_run_time (struct job *job,
                            const struct az_job_step *step,
                            const struct upstream *upstream,
                            int64_t run_us)
{
  double estimate_us = MAX (step->estimate_ms, 1) * 1000.0;
  double ratio = CLAMP ((double)MAX (run_us, 500) / estimate_us, 0.1, 10);

  if (az_speed_is_slow (upstream->speed))
    return;
  job->queue->run_time_ratio
      += RATIO_WEIGHT * (ratio * upstream->speed - job->queue->run_time_ratio);
}
