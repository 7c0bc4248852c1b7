#include "azurerock/log.h"
#include "gateway/board.h"

/* Smoothing of the speed: estimates are off by some tens of percent, so single tasks say little. */
#define SPEED_WEIGHT 0.08
#define PROBE_WEIGHT 0.5
#define RATIO_WEIGHT 0.02

/* An upstream slower than this share of the usual speed gets single tasks only. */
#define PROBE_BELOW 0.45

/* So many tasks in a row must be that slow before the smoothed speed gives way. */
#define SLOW_IN_A_ROW 3

bool
az_gateway_is_probe_only (const struct az_gateway *gateway, const struct upstream *upstream)
{
  (void)gateway;
  return upstream->speed < PROBE_BELOW;
}

static void
learn_speed (struct upstream *upstream, double sample)
{
  bool was_slow = upstream->speed < PROBE_BELOW;

  sample = CLAMP (sample, 0.05, 4);
  upstream->n_slow = sample < PROBE_BELOW ? upstream->n_slow + 1 : 0;
  if (upstream->n_slow == SLOW_IN_A_ROW)
    upstream->speed = MIN (upstream->speed, sample);
  else
    upstream->speed += (was_slow ? PROBE_WEIGHT : SPEED_WEIGHT) * (sample - upstream->speed);
  if (was_slow != (upstream->speed < PROBE_BELOW))
    az_log (LOG_NOTICE, "event=upstream-speed instance=%s speed=%.2f outcome=%s",
            upstream->instance, upstream->speed, was_slow ? "in-use" : "probes-only");
}

void
az_gateway_learn_run (struct az_gateway *gateway,
                      struct job *job,
                      const struct az_job_step *step,
                      struct upstream *upstream,
                      int64_t run_us)
{
  double estimate_us = MAX (step->estimate_ms, 1) * 1000.0;
  struct queue *queue = job->queue;
  double ratio = CLAMP ((double)MAX (run_us, 500) / estimate_us, 0.1, 10);
  bool is_usual = upstream->speed >= PROBE_BELOW;

  (void)gateway;
  learn_speed (upstream, queue->run_ratio / ratio);
  if (is_usual)
    queue->run_ratio += RATIO_WEIGHT * (ratio * upstream->speed - queue->run_ratio);
}

void
az_gateway_learn_slow (struct az_gateway *gateway,
                       struct upstream *upstream,
                       int64_t expected_us,
                       int64_t projected_us)
{
  (void)gateway;
  learn_speed (upstream, (double)expected_us / (double)MAX (projected_us, 1));
}
