#ifndef AZUREROCK_DISPATCH_USUAL_SPEED_H
#define AZUREROCK_DISPATCH_USUAL_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#define AZ_USUAL_SPEED_JOBS 64

/**
 * struct az_usual_speed - what the tasks of the last jobs tell about the speed of the hardware
 *
 * A zeroed structure knows nothing.
 *
 * @n_jobs: number of jobs, at most %AZ_USUAL_SPEED_JOBS
 * @next: index of the oldest job once the arrays are full
 * @jobs: numbers of the jobs; each counts once, since its tasks share the error of its estimate
 * @speeds: speed of the first task of each job
 * @median: median of @speeds
 * @is_known: enough jobs are known, and their median isn't so low that the upstream counts as slow
 * in any case
 */
struct az_usual_speed
{
  uint32_t n_jobs;
  uint32_t next;
  uint64_t jobs[AZ_USUAL_SPEED_JOBS];
  double speeds[AZ_USUAL_SPEED_JOBS];
  double median;
  bool is_known;
};

/**
 * az_usual_speed_record - adds a task
 * @speed: its expected run time at normal speed divided by the actual one
 */
void
az_usual_speed_record (struct az_usual_speed *usual, uint64_t job, double speed);

/** az_usual_speed_get - speed that the hardware usually has, at most 1; 0 if it isn't known */
double
az_usual_speed_get (const struct az_usual_speed *usual);

#endif
