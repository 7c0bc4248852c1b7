#ifndef AZUREROCK_GATEWAY_MOVES_H
#define AZUREROCK_GATEWAY_MOVES_H

#include "gateway/state.h"

/* Which slow tasks are stopped to run on another upstream. */

/* move_evidence.c: how often tasks are long, and whether those on an upstream look slow */

/** az_gateway_record_done_task - records the work and the run time of a task that was done; call
 * before az_gateway_record_run_time() */
void
az_gateway_record_done_task (struct az_gateway *gateway,
                             struct job *job,
                             uint32_t step,
                             struct task *task,
                             int64_t run_us);

/** az_gateway_record_progress - records the projected run time of a task; one that was moved and
 * isn't faster here counts as long */
void
az_gateway_record_progress (const struct az_gateway *gateway,
                            struct job *job,
                            struct task *task,
                            const struct upstream *upstream,
                            const struct az_task_progress *progress);

/** az_gateway_count_progress - counts the jobs whose tasks on the upstream all look slow, other
 * than
 * @job, and the jobs with a task there that doesn't; @task isn't considered */
void
az_gateway_count_progress (const struct az_gateway *gateway,
                           const struct upstream *upstream,
                           const struct job *job,
                           const struct task *task,
                           unsigned *n_slow_jobs,
                           unsigned *n_normal_jobs);

/* progress.c */
void
az_gateway_handle_progress (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_task_progress *progress);

#endif
