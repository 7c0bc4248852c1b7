#ifndef AZUREROCK_DISPATCH_SPEED_H
#define AZUREROCK_DISPATCH_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/** struct az_speed - speed of an upstream against what its tasks are expected to take; 1 is usual
 */
struct az_speed
{
  double value;
  uint32_t n_slow;   /* jobs in a row with slow tasks */
  uint64_t slow_job; /* the last of them */
};

void
az_speed_init (struct az_speed *speed);

/**
 * az_speed_learn - a task that was expected to take @expected_us took, or will take, @run_us
 * @job: names its job: the tasks of one job share the error of their estimate
 */
void
az_speed_learn (struct az_speed *speed, uint64_t job, int64_t expected_us, int64_t run_us);

/** az_speed_is_slow - so slow that it should get single tasks only, until one is faster */
bool
az_speed_is_slow (double value);

#endif
