#include "dispatch/speed.h"
#include <glib.h>
#include <math.h>

/* Estimates are off by some tens of percent, so single tasks say little. */
#define WEIGHT 0.08
#define SLOW_WEIGHT 0.5

#define SLOW_BELOW 0.45

/* The tasks of so many jobs in a row must be that slow before the smoothed speed gives way. */
#define SLOW_IN_A_ROW 3

void
az_speed_init (struct az_speed *speed)
{
  *speed = (struct az_speed){ .value = 1 };
}

bool
az_speed_is_slow (double value)
{
  return value < SLOW_BELOW;
}

/* Tasks of one job in a row count once. */
static void
count_slow (struct az_speed *speed, uint64_t job, bool is_slow)
{
  if (!is_slow)
    speed->n_slow = 0;
  else if (speed->n_slow == 0 || speed->slow_job != job)
    speed->n_slow++;
  if (is_slow)
    speed->slow_job = job;
}

/* Ratios are averaged as logarithms: twice as fast and half as fast cancel out. */
static double
smooth (double value, double sample, double weight)
{
  return value * pow (sample / value, weight);
}

void
az_speed_learn (struct az_speed *speed, uint64_t job, int64_t expected_us, int64_t run_us)
{
  double sample = CLAMP ((double)expected_us / (double)MAX (run_us, 1), 0.05, 4);

  count_slow (speed, job, az_speed_is_slow (sample));
  if (speed->n_slow >= SLOW_IN_A_ROW)
    speed->value = MIN (speed->value, sample);
  else if (az_speed_is_slow (speed->value))
    speed->value += SLOW_WEIGHT * (sample - speed->value);
  else if (az_speed_is_slow (sample))
    speed->value = MAX (smooth (speed->value, sample, WEIGHT), SLOW_BELOW);
  else
    speed->value = smooth (speed->value, sample, WEIGHT);
}
