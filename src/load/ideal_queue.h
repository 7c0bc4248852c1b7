#ifndef AZUREROCK_LOAD_IDEAL_QUEUE_H
#define AZUREROCK_LOAD_IDEAL_QUEUE_H

#include "load/workload.h"

/**
 * az_ideal_queue_simulate - simulates one central FIFO queue without network or dispatch delay
 * @slots: number of slots, at least 1
 * @arrivals_us: arrival time of each job in ascending order, or NULL for those of @workload
 * @run_times_us: run time of each task, or NULL for those of @workload
 *
 * Tasks start in arrival order, each in the slot that becomes free first. The response times are
 * the reference that measured response times are compared with.
 *
 * Return: response time of each job in microseconds; free with g_free().
 */
int64_t *
az_ideal_queue_simulate (const struct az_workload *workload,
                         uint32_t slots,
                         const int64_t *arrivals_us,
                         const int64_t *run_times_us);

#endif
