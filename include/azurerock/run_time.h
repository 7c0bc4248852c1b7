#ifndef AZUREROCK_RUN_TIME_H
#define AZUREROCK_RUN_TIME_H

#include <stdint.h>

/** Mean and quantiles of the run times of recent tasks of one service. */
struct az_run_time;

struct az_run_time *
az_run_time_create (void);
void
az_run_time_destroy (struct az_run_time *times);
void
az_run_time_add (struct az_run_time *times, int64_t run_us);

/** az_run_time_count - number of observations; below 20 the estimates are unreliable */
uint64_t
az_run_time_count (const struct az_run_time *times);
int64_t
az_run_time_mean_us (const struct az_run_time *times);

/** az_run_time_quantile_us - accurate within 7%; @per_mille 100 is the 10th percentile */
int64_t
az_run_time_quantile_us (const struct az_run_time *times, uint32_t per_mille);

/**
 * az_run_time_wait_us - expected time until the last task of a job has finished
 * @ahead: tasks that wait before the job
 * @tasks: tasks of the job
 * @slots: slots that serve the queue, at least 1
 */
int64_t
az_run_time_wait_us (const struct az_run_time *times,
                     uint64_t ahead,
                     uint64_t tasks,
                     uint64_t slots);

#endif
