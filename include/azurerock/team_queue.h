#ifndef AZUREROCK_TEAM_QUEUE_H
#define AZUREROCK_TEAM_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Queue of waiting tasks with weighted fairness among teams and FIFO order within a team. Per job
 * it keeps the number of waiting tasks. The caller assigns job handles and team indexes; the
 * indexes should be small, since they index an array.
 */
struct az_team_queue;

struct az_team_queue *
az_team_queue_create (void);
void
az_team_queue_destroy (struct az_team_queue *queue);

/**
 * az_team_queue_set_team - sets or changes the parameters of a team
 * @weight: at least 1
 * @max_waiting: maximum number of waiting tasks
 * @slot_limit: maximum number of tasks of the team that run concurrently through this entry
 */
void
az_team_queue_set_team (struct az_team_queue *queue,
                        uint32_t team,
                        uint32_t weight,
                        uint32_t max_waiting,
                        uint32_t slot_limit);
void
az_team_queue_set_slot_limit (struct az_team_queue *queue, uint32_t team, uint32_t slot_limit);

/**
 * az_team_queue_push - appends @tasks waiting tasks of @job to the queue of its team
 * @group: number chosen by the caller; tasks of one group can run on the same upstreams, and
 * az_team_queue_pop() takes from one group
 *
 * Return: false, without a change, if the team's maximum of waiting tasks would be exceeded.
 */
bool
az_team_queue_push (struct az_team_queue *queue,
                    uint32_t team,
                    uint32_t group,
                    uint32_t job,
                    uint32_t tasks);

/** az_team_queue_push_front - puts back one task of @job that was popped but not started */
void
az_team_queue_push_front (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job);

/**
 * az_team_queue_pop - takes the next task of @group that may run
 *
 * Takes from the team with the lowest running / weight among those below their slot limit. The
 * task counts as running until az_team_queue_record_finish().
 *
 * Return: handle of the task's job, or 0 if no task may run.
 */
uint32_t
az_team_queue_pop (struct az_team_queue *queue, uint32_t group, uint32_t *team);
void
az_team_queue_record_finish (struct az_team_queue *queue, uint32_t team);

/** az_team_queue_remove - removes all waiting tasks of @job and returns their number */
uint32_t
az_team_queue_remove (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job);
uint32_t
az_team_queue_waiting (const struct az_team_queue *queue, uint32_t team);
uint32_t
az_team_queue_running (const struct az_team_queue *queue, uint32_t team);

/** az_team_queue_runnable - number of waiting tasks of @group that the slot limits allow to run */
uint32_t
az_team_queue_runnable (const struct az_team_queue *queue, uint32_t group);

#endif
