#ifndef AZUREROCK_TEAM_QUEUE_H
#define AZUREROCK_TEAM_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Queue of waiting tasks with weighted fairness among teams and arrival order within a team.
 * Jobs are handles of the caller; a job stands for its number of waiting tasks. Teams are named
 * by small indexes that the caller assigns.
 */
struct az_team_queue;

struct az_team_queue *
az_team_queue_create (void);
void
az_team_queue_destroy (struct az_team_queue *queue);

/**
 * az_team_queue_set_team - sets or changes the parameters of a team
 * @weight: at least 1
 * @max_waiting: bound on waiting tasks
 * @slot_limit: tasks of the team that may run at once through this entry
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
 * az_team_queue_push - adds @tasks waiting tasks of @job at the end of its team
 * @group: tasks of one group can run on the same upstreams; az_team_queue_pop() asks for a group
 *
 * Return: false, without a change, if the team's bound would be exceeded.
 */
bool
az_team_queue_push (struct az_team_queue *queue,
                    uint32_t team,
                    uint32_t group,
                    uint32_t job,
                    uint32_t tasks);

/** az_team_queue_push_front - returns one task of @job that was popped but not started */
void
az_team_queue_push_front (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job);

/**
 * az_team_queue_pop - takes the next task of @group that may run
 *
 * The team with the lowest running / weight comes first, among teams below their slot limit.
 * The task counts as running until az_team_queue_finished().
 *
 * Return: handle of its job, or 0 if none may run.
 */
uint32_t
az_team_queue_pop (struct az_team_queue *queue, uint32_t group, uint32_t *team);
void
az_team_queue_finished (struct az_team_queue *queue, uint32_t team);

/** az_team_queue_remove - drops all waiting tasks of @job; returns their number */
uint32_t
az_team_queue_remove (struct az_team_queue *queue, uint32_t team, uint32_t group, uint32_t job);
uint32_t
az_team_queue_waiting (const struct az_team_queue *queue, uint32_t team);
uint32_t
az_team_queue_running (const struct az_team_queue *queue, uint32_t team);

/** az_team_queue_runnable - waiting tasks of @group that slot limits allow to run now */
uint32_t
az_team_queue_runnable (const struct az_team_queue *queue, uint32_t group);

#endif
