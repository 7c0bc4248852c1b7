#ifndef AZUREROCK_LOAD_IDEAL_QUEUE_H
#define AZUREROCK_LOAD_IDEAL_QUEUE_H

#include "load/workload.h"

/**
 * az_ideal_queue_run - response times of a central queue without delays
 * @slots: number of slots, at least 1
 * @arrivals_us: arrival of each job of @workload in rising order, or NULL for those of @workload
 * @runs_us: task times, or NULL for those of @workload
 *
 * Tasks start in arrival order, each in the first slot that is free.
 *
 * Return: response time of each job in microseconds; free with g_free().
 */
int64_t *
az_ideal_queue_run (const struct az_workload *workload,
                    uint32_t slots,
                    const int64_t *arrivals_us,
                    const int64_t *runs_us);

#endif
