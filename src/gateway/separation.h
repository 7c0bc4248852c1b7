#ifndef AZUREROCK_GATEWAY_SEPARATION_H
#define AZUREROCK_GATEWAY_SEPARATION_H

#include "gateway/state.h"

/* Interfering queues run on different upstreams where there is room. Without the setting
 * separate_queues, no upstream has a part and the cost is 0. */

void
az_gateway_open_separation (struct az_gateway *gateway);
void
az_gateway_close_separation (struct az_gateway *gateway);

/** az_gateway_update_separation - divides the upstreams of each service again when that is due */
void
az_gateway_update_separation (struct az_gateway *gateway);

/** az_gateway_separation_cost_us - by how much a task of the queue with this expected run time is
 * expected to take longer on the upstream because that is in the part of other queues */
int64_t
az_gateway_separation_cost_us (const struct queue *queue,
                               const struct upstream *upstream,
                               int64_t run_us);

/** az_gateway_count_separated - counts a task of the queue that is sent to the upstream */
void
az_gateway_count_separated (struct az_gateway *gateway,
                            const struct queue *queue,
                            const struct upstream *upstream);

#endif
