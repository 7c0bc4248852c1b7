#include "dispatch/speed.h"
#include <glib.h>

/* Estimates are off by some tens of percent, so single tasks say little. */
#define WEIGHT 0.08
#define SLOW_WEIGHT 0.5

#define SLOW_BELOW 0.45

/* So many tasks in a row must be that slow before the smoothed speed gives way. */
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

void
az_speed_learn (struct az_speed *speed, int64_t expected_us, int64_t run_us)
{
  double sample = CLAMP ((double)expected_us / (double)MAX (run_us, 1), 0.05, 4);

  speed->n_slow = az_speed_is_slow (sample) ? speed->n_slow + 1 : 0;
  if (speed->n_slow == SLOW_IN_A_ROW)
    speed->value = MIN (speed->value, sample);
  else
    speed->value
        += (az_speed_is_slow (speed->value) ? SLOW_WEIGHT : WEIGHT) * (sample - speed->value);
}
