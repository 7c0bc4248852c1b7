#ifndef AZUREROCK_ENTRY_AGENTS_H
#define AZUREROCK_ENTRY_AGENTS_H

#include "entry/state.h"

/* Agents, their grants, dispatch and results. */

/* Each of these returns the index of the named service, upstream or team in the entry's array of
 * them, and adds it to the array at the first use of the name. */
uint32_t
az_entry_service_of (struct az_entry_state *state, const char *service_name);
uint32_t
az_entry_upstream_of (struct az_entry_state *state, const char *upstream_name);
uint32_t
az_entry_team_of (struct az_entry_state *state, const char *team);

/**
 * az_entry_handle_hello - registers the agent of a connection
 *
 * Return: NULL, or the reason for which the connection is to be closed.
 */
const char *
az_entry_handle_hello (struct az_entry_state *state,
                       uint32_t connection,
                       const struct az_hello *hello);
void
az_entry_agent_closed (struct az_entry_state *state, uint32_t agent);

/** az_entry_agent_record_received - notes that a message of the agent has arrived, so that it isn't
 * suspected any more */
void
az_entry_agent_record_received (struct az_entry_state *state, struct az_entry_agent *agent);
void
az_entry_handle_heartbeat (struct az_entry_state *state,
                           struct az_entry_agent *agent,
                           const struct az_heartbeat *heartbeat);

/** az_entry_agents_tick - marks silent agents as suspected, so that they get no tasks, removes
 * expired grants, and removes agents that have long been disconnected and have no open tasks */
void
az_entry_agents_tick (struct az_entry_state *state);

/** az_entry_agent_update - sends VIEW and TABLE if they changed, and updates the agent's bucket */
void
az_entry_agent_update (struct az_entry_state *state, struct az_entry_agent *agent);
void
az_entry_agents_update (struct az_entry_state *state);

/** az_entry_grants_add - adds or renews grants of an agent */
void
az_entry_grants_add (struct az_entry_state *state,
                     struct az_entry_agent *agent,
                     const struct az_grant *grants,
                     uint32_t count);
void
az_entry_handle_recall (struct az_entry_state *state,
                        struct az_entry_agent *agent,
                        const struct az_grant_ids *recall);

/** az_entry_agent_update_bucket - puts the agent into the bucket for its number of usable grants */
void
az_entry_agent_update_bucket (struct az_entry_state *state, struct az_entry_agent *agent);
void
az_entry_grants_clear (struct az_entry_state *state, struct az_entry_agent *agent);

/** az_entry_upstream_best_agent - returns an agent from the non-empty bucket with the most usable
 * grants, or NULL if all buckets are empty */
struct az_entry_agent *
az_entry_upstream_best_agent (struct az_entry_state *state, struct az_entry_upstream *upstream);

/** az_entry_grants_take - takes a grant of an agent; returns false if none is valid */
bool
az_entry_grants_take (struct az_entry_state *state, struct az_entry_agent *agent, uint64_t *grant);

void
az_entry_grants_remove_expired (struct az_entry_state *state, struct az_entry_agent *agent);

/** az_entry_dispatch - assigns grants to waiting tasks, and sends START and DEMAND */
void
az_entry_dispatch (struct az_entry_state *state);

/** az_entry_delayed_tasks_tick - requeues delayed tasks as far as the retry budget allows */
void
az_entry_delayed_tasks_tick (struct az_entry_state *state);

/** az_entry_task_delay - delays a task that an agent has not started, for another attempt */
void
az_entry_task_delay (struct az_entry_state *state, uint32_t job, uint32_t task, int64_t delay_ms);

/** az_entry_upstream_demand - returns the number of tasks that wait for the upstream, and the age
 * of the oldest job */
struct az_demand
az_entry_upstream_demand (struct az_entry_state *state, struct az_entry_upstream *upstream);

/** az_entry_service_oldest_age_ms - returns the age of the oldest job with a waiting task, or 0 */
uint32_t
az_entry_service_oldest_age_ms (struct az_entry_state *state, struct az_entry_service *service);

/** az_entry_arrivals_tick - removes jobs without waiting tasks from the lists of jobs by order of
 * arrival */
void
az_entry_arrivals_tick (struct az_entry_state *state);

/** az_entry_demand_send - sends DEMAND to agents of an upstream if it has no usable grants */
void
az_entry_demand_send (struct az_entry_state *state, struct az_entry_upstream *upstream);

void
az_entry_handle_result (struct az_entry_state *state,
                        struct az_entry_agent *agent,
                        const struct az_result *result);
void
az_entry_handle_refused (struct az_entry_state *state,
                         struct az_entry_agent *agent,
                         const struct az_refused *refused);
void
az_entry_handle_fate (struct az_entry_state *state,
                      struct az_entry_agent *agent,
                      const struct az_fate *fate);

/** az_entry_send_query - asks a reconnected agent for the states of its open attempts */
void
az_entry_send_query (struct az_entry_state *state, struct az_entry_agent *agent);

/** az_entry_agent_end_attempts - marks the open tasks of an ended incarnation as unknown */
void
az_entry_agent_end_attempts (struct az_entry_state *state, struct az_entry_agent *agent);

/** az_entry_send_cancels - sends one CANCEL to each agent with open tasks of the job */
void
az_entry_send_cancels (struct az_entry_state *state, const struct az_entry_job *job);

#endif
