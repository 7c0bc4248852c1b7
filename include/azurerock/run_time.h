#ifndef AZUREROCK_RUN_TIME_H
#define AZUREROCK_RUN_TIME_H

#include <stdint.h>

/** Observed run times of one service: mean and quantiles over recent tasks. */
struct az_run_time;

struct az_run_time *
az_run_time_create (void);
void
az_run_time_destroy (struct az_run_time *times);
void
az_run_time_add (struct az_run_time *times, int64_t run_us);

/** az_run_time_count - observations so far; estimates mean little below 20 */
uint64_t
az_run_time_count (const struct az_run_time *times);
int64_t
az_run_time_mean_us (const struct az_run_time *times);

/** az_run_time_quantile_us - @per_mille 100 is p10; within 7% of the true value */
int64_t
az_run_time_quantile_us (const struct az_run_time *times, uint32_t per_mille);

/**
 * az_run_time_wait_us - expected wait of a job until its last task has finished
 * @ahead: tasks waiting before it
 * @tasks: its own tasks
 * @slots: slots that serve the queue, at least 1
 */
int64_t
az_run_time_wait_us (const struct az_run_time *times,
                     uint64_t ahead,
                     uint64_t tasks,
                     uint64_t slots);

#endif
