#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Limits the payload bytes of one ANSWER. 1 MiB of the longest record is left for the rest of the
 * message. */
#define ANSWER_PAYLOAD_MAX (AZ_RECORD_MAX - 1048576u)

static struct az_answer *
create_answer (const struct az_entry_job *job,
               az_outcome outcome,
               const char *code,
               const char *text)
{
  struct az_answer *answer = g_new0 (struct az_answer, 1);

  answer->job = g_strdup (job->id);
  answer->outcome = outcome;
  answer->code = g_strdup (code);
  answer->message = g_strdup (text);
  return answer;
}

/* Moves the results from the job to the answer, in the order of the tasks. */
static void
move_results (struct az_entry_job *job, struct az_answer *answer)
{
  answer->results.results_len = job->n_tasks;
  answer->results.results_val = g_new0 (struct az_task_result, job->n_tasks);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      answer->results.results_val[i].payload = job->tasks[i].result;
      job->tasks[i].result = (az_payload){ 0 };
    }
}

static size_t
result_bytes (const struct az_entry_job *job)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < job->n_tasks; i++)
    bytes += job->tasks[i].result.az_payload_len;
  return bytes;
}

static void
drop_unsent_tasks (struct az_entry_state *state, uint32_t handle, struct az_entry_job *job)
{
  struct az_entry_service *group;

  for (uint32_t i = 0; i < job->n_waiting; i++)
    job->tasks[job->waiting[i]].task_state = AZ_ENTRY_TASK_DROPPED;
  if (job->n_waiting)
    {
      group = az_entry_state_service (state, job->group);
      az_team_queue_remove (state->queue, job->team, job->group, handle);
      group->waiting -= job->n_waiting;
    }
  job->n_waiting = 0;
  for (uint32_t i = 0; job->n_delayed && i < job->n_tasks; i++)
    if (job->tasks[i].task_state == AZ_ENTRY_TASK_DELAYED)
      {
        job->tasks[i].task_state = AZ_ENTRY_TASK_DROPPED;
        job->n_delayed--;
        az_team_queue_record_finish (state->queue, job->team);
      }
}

static void
record_not_run (struct az_entry_state *state, const struct az_entry_job *job, const char *code)
{
  struct az_entry_not_run_job not_run = {
    .id = job->id,
    .service = job->request->service,
    .id_time_ms = job->id_time_ms,
    .partition = job->partition,
    .attempt = job->attempt,
    .is_first_attempt = job->is_first_submission,
  };

  az_entry_not_run_add (state, &not_run, code);
}

/* The record of a job that did not run is removed, since the caller may submit the job again. A
 * forwarder keeps no answers. */
static void
retain_or_remove (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  if (job->answer->outcome == AZ_OUTCOME_NOT_RUN || job->role == AZ_ENTRY_ROLE_FORWARDER)
    {
      az_entry_job_remove (state, handle);
      return;
    }
  az_entry_job_shrink (job);
  az_entry_retain_answer (state, handle);
}

void
az_entry_job_answer (struct az_entry_state *state,
                     uint32_t handle,
                     az_outcome outcome,
                     const char *code,
                     const char *text)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  if (!job || job->answer)
    return;
  if (job->role == AZ_ENTRY_ROLE_OWNER)
    {
      drop_unsent_tasks (state, handle, job);
      if (job->n_open && !job->cancelled)
        az_entry_send_cancels (state, job);
      if (outcome == AZ_OUTCOME_NOT_RUN)
        record_not_run (state, job, code);
    }
  job->answer = create_answer (job, outcome, code, text);
  if (outcome == AZ_OUTCOME_DONE)
    move_results (job, job->answer);
  az_entry_job_deliver (state, handle, job->answer);
  if (az_entry_state_job (state, handle))
    retain_or_remove (state, handle);
}

static void
answer_with_results (struct az_entry_state *state, uint32_t handle, const struct az_entry_job *job)
{
  if (result_bytes (job) > ANSWER_PAYLOAD_MAX)
    az_entry_job_answer (state, handle, AZ_OUTCOME_FAILED, "payload_too_large",
                         "the results together are too long");
  else
    az_entry_job_answer (state, handle, AZ_OUTCOME_DONE, "", "");
}

/* A cancelled job has no waiting tasks, so its outcome is known when no attempt is open. */
static void
answer_cancelled (struct az_entry_state *state, uint32_t handle, const struct az_entry_job *job)
{
  if (job->n_open)
    return;
  if (az_entry_job_has_started (job))
    az_entry_job_answer (state, handle, AZ_OUTCOME_FAILED, "cancelled",
                         "cancelled after some tasks had started");
  else
    az_entry_job_answer (state, handle, AZ_OUTCOME_NOT_RUN, "cancelled", "cancelled");
}

void
az_entry_job_check_outcome (struct az_entry_state *state, uint32_t handle)
{
  const struct az_entry_job *job = az_entry_state_job (state, handle);

  if (!job || job->answer)
    return;
  if (job->n_ok == job->n_tasks || (job->n_ok && state->guards.answer_partial))
    answer_with_results (state, handle, job);
  else if (job->n_failed)
    az_entry_job_answer (state, handle, AZ_OUTCOME_FAILED, job->failure, "a task failed");
  else if (job->n_unknown)
    az_entry_job_answer (state, handle, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                         "the fate of a task can't be determined");
  else if (job->cancelled)
    answer_cancelled (state, handle, job);
}

void
az_entry_job_cancel (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  if (job->answer || job->cancelled)
    return;
  drop_unsent_tasks (state, handle, job);
  job->cancelled = true;
  if (job->n_open)
    az_entry_send_cancels (state, job);
  az_entry_job_check_outcome (state, handle);
}

static void
expire_forwarded (struct az_entry_state *state, uint32_t handle, const struct az_entry_job *job)
{
  if (job->was_forwarded)
    {
      az_entry_unanswered_submits_add (state, job);
      az_entry_job_answer (state, handle, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                           "the owner did not answer before the deadline");
    }
  else
    az_entry_job_answer (state, handle,
                         job->is_first_submission ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN,
                         "owner_unavailable", "the owner could not be reached");
}

void
az_entry_job_expire (struct az_entry_state *state, uint32_t handle)
{
  const struct az_entry_job *job = az_entry_state_job (state, handle);

  if (!job || job->answer || az_time_compare (job->deadline, state->now) > 0)
    return;
  if (job->role == AZ_ENTRY_ROLE_FORWARDER)
    expire_forwarded (state, handle, job);
  else if (job->n_open)
    az_entry_job_answer (state, handle, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                         "the deadline passed while tasks were running");
  else if (az_entry_job_has_started (job))
    az_entry_job_answer (state, handle, AZ_OUTCOME_FAILED, "deadline_passed",
                         "the deadline passed before all tasks had run");
  else if (!az_entry_is_fresh (state))
    az_entry_job_answer (state, handle, AZ_OUTCOME_NOT_RUN, "no_fresh_evidence",
                         "no evidence that the configuration is the newest");
  else
    az_entry_job_answer (state, handle, AZ_OUTCOME_NOT_RUN, "deadline_passed",
                         "the deadline passed before a task could start");
}
