#include "dispatch/speed.h"
#include <glib.h>
#include <math.h>

/* Run time estimates are off by some tens of percent, so a single task must not change the speed by
 * much. */
#define SMOOTHING_WEIGHT 0.08
#define SLOW_SMOOTHING_WEIGHT 0.5

#define SLOW_THRESHOLD 0.45

/* Only after slow tasks from this many jobs in a row may the speed fall below the threshold. Where
 * tasks are often long, more jobs may be needed. */
#define SLOW_JOBS_MIN 3

void
az_speed_init (struct az_speed *speed)
{
  *speed = (struct az_speed){ .value = 1 };
  az_slow_streak_init (&speed->streak);
}

bool
az_speed_is_slow (double value)
{
  return value < SLOW_THRESHOLD;
}

uint32_t
az_speed_percent (const struct az_speed *speed)
{
  return (uint32_t)lround (speed->value * 100);
}

/* Consecutive slow tasks of one job count once. */
static void
count_slow_job (struct az_speed *speed, uint64_t job, bool is_slow)
{
  if (!is_slow)
    speed->n_slow_jobs = 0;
  else if (speed->n_slow_jobs == 0 || speed->last_slow_job != job)
    speed->n_slow_jobs++;
  if (is_slow)
    speed->last_slow_job = job;
}

/* Averages ratios by their logarithms, so that twice as fast and half as fast cancel out. */
static double
average_logarithmically (double value, double sample, double weight)
{
  return value * pow (sample / value, weight);
}

void
az_speed_update (struct az_speed *speed, uint64_t job, int64_t expected_us, int64_t run_us)
{
  double sample = CLAMP ((double)expected_us / (double)MAX (run_us, 1), 0.05, 4);

  count_slow_job (speed, job, az_speed_is_slow (sample));
  if (az_speed_is_slow (sample))
    az_slow_streak_extend (&speed->streak, job, sample);
  else
    az_slow_streak_end (&speed->streak, job, sample, az_speed_is_slow (speed->value));
  if (speed->n_slow_jobs >= SLOW_JOBS_MIN && !az_slow_streak_is_chance (&speed->streak))
    speed->value = MIN (speed->value, sample);
  else if (az_speed_is_slow (speed->value))
    speed->value += SLOW_SMOOTHING_WEIGHT * (sample - speed->value);
  else if (az_speed_is_slow (sample))
    speed->value
        = MAX (average_logarithmically (speed->value, sample, SMOOTHING_WEIGHT), SLOW_THRESHOLD);
  else
    speed->value = average_logarithmically (speed->value, sample, SMOOTHING_WEIGHT);
}
