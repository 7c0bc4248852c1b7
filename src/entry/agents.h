#ifndef AZUREROCK_ENTRY_AGENTS_H
#define AZUREROCK_ENTRY_AGENTS_H

#include "entry/board.h"

/* Agents, their grants, dispatch and results. */

/* Indexes that a name keeps; created at first use. */
uint32_t
az_entry_group_of (struct az_entry_board *board, const char *service);
uint32_t
az_entry_pool_of (struct az_entry_board *board, const char *upstream);
uint32_t
az_entry_team_of (struct az_entry_board *board, const char *team);

/** az_entry_received_hello - an agent announces itself; returns a reason to close */
const char *
az_entry_received_hello (struct az_entry_board *board,
                         uint32_t connection,
                         const struct az_hello *hello);
void
az_entry_agent_closed (struct az_entry_board *board, uint32_t agent);

/** az_entry_agent_heard - any message retracts the suspicion of an agent */
void
az_entry_agent_heard (struct az_entry_board *board, struct az_entry_agent *agent);
void
az_entry_received_heartbeat (struct az_entry_board *board,
                             struct az_entry_agent *agent,
                             const struct az_heartbeat *heartbeat);

/** az_entry_agents_tick - suspicion and probes of ejected agents */
void
az_entry_agents_tick (struct az_entry_board *board);

/** az_entry_agent_update - sends VIEW and TABLE if they changed, and places the agent anew */
void
az_entry_agent_update (struct az_entry_board *board, struct az_entry_agent *agent);
void
az_entry_agents_update (struct az_entry_board *board);

/** az_entry_grants_add - grants that an agent offers or renews */
void
az_entry_grants_add (struct az_entry_board *board,
                     struct az_entry_agent *agent,
                     const struct az_grant *grants,
                     uint32_t count);
void
az_entry_received_recall (struct az_entry_board *board,
                          struct az_entry_agent *agent,
                          const struct az_grant_ids *recall);

/** az_entry_grants_place - counts the agent's usable grants in its pool */
void
az_entry_grants_place (struct az_entry_board *board, struct az_entry_agent *agent);
void
az_entry_grants_clear (struct az_entry_board *board, struct az_entry_agent *agent);

/** az_entry_pool_best_agent - the agent with the most usable grants, NULL if there is none */
struct az_entry_agent *
az_entry_pool_best_agent (struct az_entry_board *board, struct az_entry_pool *pool);

/** az_entry_grants_take - takes a grant of an agent; false if none is left */
bool
az_entry_grants_take (struct az_entry_board *board, struct az_entry_agent *agent, uint64_t *grant);

/** az_entry_grants_remove_expired - drops grants whose time has passed */
void
az_entry_grants_remove_expired (struct az_entry_board *board, struct az_entry_agent *agent);

/** az_entry_dispatch - binds waiting tasks to grants and sends START and DEMAND */
void
az_entry_dispatch (struct az_entry_board *board);

/** az_entry_delayed_tasks_tick - puts refused tasks back into the queue within the retry budget */
void
az_entry_delayed_tasks_tick (struct az_entry_board *board);

/** az_entry_task_delay - a task whose attempt was proved "not started" waits for another */
void
az_entry_task_delay (struct az_entry_board *board, uint32_t job, uint32_t task, int64_t delay_ms);

/** az_entry_pool_demand - waiting tasks of the services of a pool and the age of the oldest */
struct az_demand
az_entry_pool_demand (struct az_entry_board *board, struct az_entry_pool *pool);

/** az_entry_group_oldest_age_ms - age of the oldest job with a waiting task of the group */
uint32_t
az_entry_group_oldest_age_ms (struct az_entry_board *board, struct az_entry_group *group);

/** az_entry_arrivals_tick - forgets arrivals of jobs that left the queue without an agent */
void
az_entry_arrivals_tick (struct az_entry_board *board);

/** az_entry_demand_send - tells agents of a pool without usable grants what waits */
void
az_entry_demand_send (struct az_entry_board *board, struct az_entry_pool *pool);

void
az_entry_received_result (struct az_entry_board *board,
                          struct az_entry_agent *agent,
                          const struct az_result *result);
void
az_entry_received_refused (struct az_entry_board *board,
                           struct az_entry_agent *agent,
                           const struct az_refused *refused);
void
az_entry_received_fate (struct az_entry_board *board,
                        struct az_entry_agent *agent,
                        const struct az_fate *fate);

/** az_entry_send_query - asks for the fates of what is open at a reconnected agent */
void
az_entry_send_query (struct az_entry_board *board, struct az_entry_agent *agent);

/** az_entry_agent_end_attempts - the incarnation has ended: the fate of its open tasks is unknown
 */
void
az_entry_agent_end_attempts (struct az_entry_board *board, struct az_entry_agent *agent);

/** az_entry_send_cancels - one CANCEL to each agent with open tasks of the job */
void
az_entry_send_cancels (struct az_entry_board *board, const struct az_entry_job *job);

#endif
