#ifndef AZUREROCK_SIDECAR_INTERFERENCE_H
#define AZUREROCK_SIDECAR_INTERFERENCE_H

#include "sidecar/state.h"

/* Which kinds of task, that is, queues, slow each other down on this upstream. Without the setting
 * report_interference, none of these functions does anything. */

/** struct az_sidecar_interference - evidence of the present incarnation of the upstream */
struct az_sidecar_interference;

void
az_sidecar_open_interference (struct az_sidecar *sidecar);
void
az_sidecar_close_interference (struct az_sidecar *sidecar);

/** az_sidecar_reset_interference - call when an incarnation of the upstream begins */
void
az_sidecar_reset_interference (struct az_sidecar *sidecar);

/** az_sidecar_observe_start - call when a task has been added to those that use the upstream */
void
az_sidecar_observe_start (struct az_sidecar *sidecar, struct task *task);

/** az_sidecar_observe_end - call before a task is taken off those that use the upstream */
void
az_sidecar_observe_end (struct az_sidecar *sidecar, struct task *task, enum az_task_end how);

/** az_sidecar_send_interference - sends the evidence to the gateways when it is due */
void
az_sidecar_send_interference (struct az_sidecar *sidecar);

#endif
