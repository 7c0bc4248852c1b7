#ifndef AZUREROCK_DISPATCH_SPEED_H
#define AZUREROCK_DISPATCH_SPEED_H

#include "dispatch/slow_streak.h"
#include "dispatch/usual_speed.h"
#include <stdbool.h>
#include <stdint.h>

/* A task whose run time is at least this multiple of the expected one looks slow. Moving every task
 * that would end sooner elsewhere costs more than it gains. */
#define AZ_SLOW_TASK_FACTOR 2.2

/**
 * struct az_speed - smoothed speed of an upstream
 * @value: expected run time of its tasks divided by the actual one; 1 is normal
 * @is_relative: tasks and upstream are slow compared with @usual, once it is known, instead of with
 * normal speed; az_speed_is_slow() is true for @value exactly if the upstream is slow
 * @n_slow_jobs: consecutive jobs with a slow task
 * @streak: the consecutive slow tasks, and whether they may be long rather than the upstream slow
 * @usual: recorded only with @is_relative
 */
struct az_speed
{
  double value;
  bool is_relative;
  uint32_t n_slow_jobs;
  uint64_t last_slow_job;
  struct az_slow_streak streak;
  struct az_usual_speed usual;
};

/** az_speed_init - starts at normal speed; no usual speed is known */
void
az_speed_init (struct az_speed *speed, bool is_relative);

/**
 * az_speed_update - updates the speed from one task
 * @job: number of the task's job; the tasks of one job share the error of their estimate
 * @run_us: measured run time, or the projected one of a task that still runs
 */
void
az_speed_update (struct az_speed *speed, uint64_t job, int64_t expected_us, int64_t run_us);

/** az_speed_percent - the speed in percent, as sidecars report it */
uint32_t
az_speed_percent (const struct az_speed *speed);

/** az_speed_usual - speed with which the upstream and its tasks are compared, at most 1 */
double
az_speed_usual (const struct az_speed *speed);

/** az_speed_is_slow - whether an upstream of this speed should get only single probe tasks */
bool
az_speed_is_slow (double value);

/** az_speed_is_reduced - whether an upstream of this speed isn't slow, but so far below normal that
 * ordinary tasks look slow there compared with normal speed */
bool
az_speed_is_reduced (double value);

#endif
