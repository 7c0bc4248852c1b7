#include "entry/agents.h"
#include "entry/jobs.h"
#include "entry/send.h"
#include <string.h>

/* After a refusal no START is sent to the agent for this time. The evidence, owner table or
 * configuration of the agent changes only with a heartbeat, and it would refuse each START until
 * then. */
#define REFUSAL_PAUSE_MS 100

static struct az_entry_open_attempt *
find_open (const struct az_entry_agent *agent, uint32_t attempt)
{
  for (guint i = 0; i < agent->open->len; i++)
    {
      struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, i);

      if (open->attempt == attempt)
        return open;
    }
  return NULL;
}

/**
 * struct ended_attempt - an attempt that was removed from the open ones of its agent
 * @job: the job, NULL if it is already answered
 */
struct ended_attempt
{
  uint32_t handle;
  struct az_entry_job *job;
  struct az_entry_task *task;
  uint32_t index;
  uint32_t team;
};

/* Finds the open attempt of this incarnation with this job, task and attempt number. */
static const struct az_entry_open_attempt *
match_open (struct az_entry_state *state,
            const struct az_entry_agent *agent,
            const struct az_attempt *id)
{
  const struct az_entry_open_attempt *open = find_open (agent, id->attempt);
  const struct az_entry_job *job = open ? az_entry_state_job (state, open->job) : NULL;

  if (state->guards.match_by_position && agent->open->len)
    return &g_array_index (agent->open, struct az_entry_open_attempt, 0);
  if (!open || open->task != id->task || (job && g_strcmp0 (job->id, id->job) != 0))
    return NULL;
  return open;
}

static bool
remove_open_attempt (struct az_entry_state *state,
                     struct az_entry_agent *agent,
                     const struct az_attempt *id,
                     struct ended_attempt *ended_attempt)
{
  const struct az_entry_open_attempt *open = match_open (state, agent, id);
  struct az_entry_job *job = open ? az_entry_state_job (state, open->job) : NULL;

  if (!open)
    {
      az_entry_count (state, state->count.duplicate, 1);
      return false;
    }
  *ended_attempt = (struct ended_attempt){ open->job, job, NULL, open->task, open->team };
  g_array_remove_index_fast (
      agent->open, (guint)(open - (const struct az_entry_open_attempt *)(void *)agent->open->data));
  az_entry_state_upstream (state, agent->pool)->n_open--;
  if (job)
    job->n_open--;
  if (job && job->answer)
    ended_attempt->job = NULL;
  if (ended_attempt->job)
    ended_attempt->task = &job->tasks[ended_attempt->index];
  return true;
}

static void
record_observation (struct az_entry_state *state,
                    const struct az_entry_agent *agent,
                    const struct ended_attempt *ended_attempt,
                    const struct az_result_task *result)
{
  struct az_ejector *ejector = az_entry_state_upstream (state, agent->pool)->ejector;
  bool is_wanted = ended_attempt->job && !ended_attempt->job->cancelled;

  /* The status of a task that was cancelled doesn't show whether the agent works well. */
  if (is_wanted && (result->status == AZ_STATUS_OK || result->status == AZ_STATUS_FAILED))
    az_ejector_report (ejector, agent->handle, result->status == AZ_STATUS_OK);
  else
    az_ejector_record_cancel (ejector, agent->handle);
  if (result->status == AZ_STATUS_OK && ended_attempt->job)
    az_run_time_add (az_entry_state_service (state, ended_attempt->job->group)->run_times,
                     result->run_us);
}

static void
store_result (const struct ended_attempt *ended_attempt, const az_payload *payload)
{
  ended_attempt->task->task_state = AZ_ENTRY_TASK_OK;
  ended_attempt->task->result.az_payload_len = payload->az_payload_len;
  ended_attempt->task->result.az_payload_val
      = g_memdup2 (payload->az_payload_val, payload->az_payload_len);
  ended_attempt->job->n_ok++;
}

/* Ends the task's use of its team's quota. Returns whether the job still waits for the result. */
static bool
finish_running_task (struct az_entry_state *state, const struct ended_attempt *ended_attempt)
{
  az_team_queue_record_finish (state->queue, ended_attempt->team);
  if (!ended_attempt->job)
    az_entry_count (state, state->count.late, 1);
  return ended_attempt->job != NULL;
}

static void
finish_unknown_task (struct az_entry_state *state, const struct ended_attempt *ended_attempt)
{
  if (!finish_running_task (state, ended_attempt))
    return;
  ended_attempt->task->task_state = AZ_ENTRY_TASK_UNKNOWN;
  ended_attempt->job->n_unknown++;
  az_entry_job_check_outcome (state, ended_attempt->handle);
}

/* Returns the error code for a failed task. If the failure was not reported by the upstream, the
 * payload holds the code. */
static const char *
failure_code (const az_payload *payload)
{
  static const char *const codes[] = { "stopped_by_guard", "task_timeout" };

  for (size_t i = 0; i < G_N_ELEMENTS (codes); i++)
    if (payload->az_payload_len == strlen (codes[i])
        && !memcmp (payload->az_payload_val, codes[i], payload->az_payload_len))
      return codes[i];
  return "task_failed";
}

static void
finish_task (struct az_entry_state *state,
             const struct ended_attempt *ended_attempt,
             az_status status,
             const az_payload *payload)
{
  if (status != AZ_STATUS_OK && status != AZ_STATUS_FAILED)
    {
      finish_unknown_task (state, ended_attempt);
      return;
    }
  if (!finish_running_task (state, ended_attempt))
    return;
  if (status == AZ_STATUS_OK)
    store_result (ended_attempt, payload);
  else
    {
      ended_attempt->task->task_state = AZ_ENTRY_TASK_FAILED;
      ended_attempt->job->n_failed++;
      ended_attempt->job->failure = failure_code (payload);
    }
  az_entry_job_check_outcome (state, ended_attempt->handle);
}

/* Handles an attempt that the agent has provably not started and will not start. */
static void
handle_not_started (struct az_entry_state *state,
                    const struct ended_attempt *ended_attempt,
                    int64_t delay_ms)
{
  if (ended_attempt->job && !ended_attempt->job->cancelled)
    {
      az_entry_task_delay (state, ended_attempt->handle, ended_attempt->index, delay_ms);
      return;
    }
  az_team_queue_record_finish (state->queue, ended_attempt->team);
  if (!ended_attempt->job)
    return;
  ended_attempt->task->task_state = AZ_ENTRY_TASK_DROPPED;
  az_entry_job_check_outcome (state, ended_attempt->handle);
}

static void
apply_result (struct az_entry_state *state,
              struct az_entry_agent *agent,
              const struct az_result_task *result)
{
  struct ended_attempt ended_attempt;

  agent->result_sequence = MAX (agent->result_sequence, result->sequence);
  if (result->status == AZ_STATUS_RUNNING
      || !remove_open_attempt (state, agent, &result->id, &ended_attempt))
    return;
  record_observation (state, agent, &ended_attempt, result);
  if (result->status == AZ_STATUS_NOT_STARTED)
    handle_not_started (state, &ended_attempt, REFUSAL_PAUSE_MS);
  else
    finish_task (state, &ended_attempt, result->status, &result->payload);
}

void
az_entry_handle_result (struct az_entry_state *state,
                        struct az_entry_agent *agent,
                        const struct az_result *result)
{
  for (uint32_t i = 0; i < result->results.results_len; i++)
    apply_result (state, agent, &result->results.results_val[i]);
  az_entry_grants_add (state, agent, result->grants.grants_val, result->grants.grants_len);
  az_entry_agent_update_bucket (state, agent);
}

/* Returns whether the agent would refuse the next START for the same reason. */
static bool
is_lasting_refusal (az_refusal reason)
{
  return reason == AZ_REFUSAL_OWNER || reason == AZ_REFUSAL_EVIDENCE
         || reason == AZ_REFUSAL_WITHDRAWN || reason == AZ_REFUSAL_STOPPING
         || reason == AZ_REFUSAL_UPSTREAM;
}

static void
apply_refusal (struct az_entry_state *state,
               struct az_entry_agent *agent,
               const struct az_refused_task *refused)
{
  struct ended_attempt ended_attempt;

  az_entry_count (state, state->count.refused, 1);
  if (!remove_open_attempt (state, agent, &refused->id, &ended_attempt))
    return;
  az_ejector_record_cancel (az_entry_state_upstream (state, agent->pool)->ejector, agent->handle);
  if (is_lasting_refusal (refused->reason))
    agent->blocked_until = az_time_add_ms (state->now, REFUSAL_PAUSE_MS);
  /* The agent has a record of the task, so an earlier attempt may have started. */
  if (refused->reason == AZ_REFUSAL_DUPLICATE)
    finish_unknown_task (state, &ended_attempt);
  else
    handle_not_started (state, &ended_attempt,
                        is_lasting_refusal (refused->reason) ? REFUSAL_PAUSE_MS : 0);
}

void
az_entry_handle_refused (struct az_entry_state *state,
                         struct az_entry_agent *agent,
                         const struct az_refused *refused)
{
  for (uint32_t i = 0; i < refused->tasks.tasks_len; i++)
    apply_refusal (state, agent, &refused->tasks.tasks_val[i]);
  az_entry_agent_update_bucket (state, agent);
}

static void
apply_fate (struct az_entry_state *state,
            struct az_entry_agent *agent,
            const struct az_fate_task *fate)
{
  struct ended_attempt ended_attempt;

  if (fate->status == AZ_STATUS_RUNNING
      || !remove_open_attempt (state, agent, &fate->id, &ended_attempt))
    return;
  if (fate->status == AZ_STATUS_NOT_STARTED)
    handle_not_started (state, &ended_attempt, 0);
  else
    finish_task (state, &ended_attempt, fate->status, &fate->payload);
}

void
az_entry_handle_fate (struct az_entry_state *state,
                      struct az_entry_agent *agent,
                      const struct az_fate *fate)
{
  for (uint32_t i = 0; i < fate->tasks.tasks_len; i++)
    apply_fate (state, agent, &fate->tasks.tasks_val[i]);
}

void
az_entry_agent_end_attempts (struct az_entry_state *state, struct az_entry_agent *agent)
{
  while (agent->open->len)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, 0);
      struct az_entry_job *job = az_entry_state_job (state, open->job);
      struct az_attempt id = { job ? job->id : NULL, open->task, open->attempt };
      struct ended_attempt ended_attempt;

      if (remove_open_attempt (state, agent, &id, &ended_attempt))
        finish_unknown_task (state, &ended_attempt);
    }
}
