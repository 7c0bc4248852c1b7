#ifndef AZUREROCK_DISPATCH_RUN_RATIO_H
#define AZUREROCK_DISPATCH_RUN_RATIO_H

#include <stdbool.h>
#include <stdint.h>

#define AZ_RUN_RATIO_BUCKETS 12

/**
 * struct az_run_ratio - distribution of the ratio of run times to expected run times, learned from
 * tasks on upstreams of normal speed
 *
 * The weights decay, so the last few hundred jobs count most. A zeroed structure knows nothing.
 *
 * @weights: jobs per bucket; bucket 0 holds the ratios below 1
 * @total: sum of @weights
 * @n_long_jobs: jobs with a task that took a multiple of its expected time, decayed like the
 *   weights
 * @last_long_job: the last one of them
 * @n_tasks: tasks recorded so far, at most as many as are needed for az_run_ratio_is_heavy()
 */
struct az_run_ratio
{
  double weights[AZ_RUN_RATIO_BUCKETS];
  double total;
  double n_long_jobs;
  uint64_t last_long_job;
  uint32_t n_tasks;
};

/**
 * az_run_ratio_record - adds a task
 * @job: number of its job; the tasks of one job share the error of their estimate
 * @value: its run time divided by the expected one on that upstream
 * @weight: share of the task in its job
 */
void
az_run_ratio_record (struct az_run_ratio *ratio, uint64_t job, double value, double weight);

/** az_run_ratio_tail - share of the tasks whose ratio is at least @value; 0 if nothing is known */
double
az_run_ratio_tail (const struct az_run_ratio *ratio, double value);

/** az_run_ratio_is_known - whether a few hundred tasks are known */
bool
az_run_ratio_is_known (const struct az_run_ratio *ratio);

/** az_run_ratio_is_heavy - whether tasks are long more often than errors of estimates explain;
 * false until a few hundred tasks are known */
bool
az_run_ratio_is_heavy (const struct az_run_ratio *ratio);

#endif
