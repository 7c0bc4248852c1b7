#ifndef AZUREROCK_GATEWAY_CRASHES_H
#define AZUREROCK_GATEWAY_CRASHES_H

#include "gateway/state.h"

/*
 * crashes.c: a crash counts against the task that the sidecar names in NODE_CRASH, and against each
 * task that ends as crashed. A crash that does both counts once. The functions return whether a
 * task of the job has reached the limit, so that the job has to be given up.
 */

/** az_gateway_recall_crashes - counts the recorded crashes under the tasks of a new job */
bool
az_gateway_recall_crashes (struct az_gateway *gateway, struct job *job);

/** az_gateway_count_ended_task - counts the crash of the upstream that ran the task */
bool
az_gateway_count_ended_task (struct task *task);

/** az_gateway_count_named_task - records the crash under the named task; @job is NULL if the job
 * isn't present */
bool
az_gateway_count_named_task (struct az_gateway *gateway,
                             struct job *job,
                             const struct upstream *upstream,
                             const struct az_node_crash *message);

/* isolation.c: a suspected queue runs only on isolated upstreams, and the other queues of the
 * service only on the regular ones, so that its crashes don't end their tasks */

/** az_gateway_is_suspected - whether tasks of the queue are suspected of crashing upstreams */
bool
az_gateway_is_suspected (const struct az_gateway *gateway, const struct queue *queue);

/** az_gateway_is_queue_in_pool - whether jobs of the queue usually run there */
bool
az_gateway_is_queue_in_pool (const struct az_gateway *gateway,
                             const struct queue *queue,
                             enum az_pool pool);

/** az_gateway_update_isolation - ends suspicions and chooses the isolated upstreams again */
void
az_gateway_update_isolation (struct az_gateway *gateway);
void
az_gateway_record_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message);

/** az_gateway_choose_pool - returns where the job has to run; a job with a task that fits no
 * upstream there may run on any */
enum az_pool
az_gateway_choose_pool (const struct az_gateway *gateway, const struct job *job);
void
az_gateway_record_openness (struct az_gateway *gateway, struct upstream *upstream, bool is_open);

/** az_gateway_isolated_return_s - estimates when the first closed upstream that is isolated opens
 */
double
az_gateway_isolated_return_s (const struct az_gateway *gateway, const char *service);

/** az_gateway_isolated_cores - cores of all isolated upstreams, open or not */
double
az_gateway_isolated_cores (const struct az_gateway *gateway, const char *service);

#endif
