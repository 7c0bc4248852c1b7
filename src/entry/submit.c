#include "azurerock/job_id.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Maximum number of jobs: half of the rows that a table can address by handles. */
#define JOBS_MAX 500000

static void
add_waiter (struct az_entry_state *state, uint32_t handle, const struct az_entry_origin *origin)
{
  if (origin->peer)
    az_entry_job_add_waiting_peer (state, handle, origin->peer);
  else
    az_entry_job_add_waiter (state, handle, origin->request, false, state->now);
}

static void
write_submit_event (struct az_entry_state *state,
                    const struct az_submit *submit,
                    enum az_entry_role role)
{
  char tasks[16];

  g_snprintf (tasks, sizeof tasks, "%u", submit->tasks.tasks_len);
  az_event_log_write (state->events, "submit", "job", submit->job, "tasks", tasks, "entry",
                      role == AZ_ENTRY_ROLE_OWNER ? "owner" : "forwarder", NULL);
}

/* Returns the outcome of a refusal by an entry that doesn't know whether the job has run before. */
static az_outcome
outcome_without_record (const struct az_entry_origin *origin)
{
  return origin->is_first_submission ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN;
}

/* Refuses a job with "not run". Call only if this entry is the owner of the id and knows that the
 * job has not run. */
static void
refuse_as_owner (struct az_entry_state *state,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin,
                 const char *code,
                 const char *text)
{
  struct az_entry_not_run_job not_run = {
    .id = submit->job,
    .service = submit->service,
    .partition = az_job_id_partition (submit->job),
    .attempt = submit->attempt,
    .is_first_attempt = origin->is_first_submission,
  };

  az_job_id_parse (submit->job, &not_run.id_time_ms);
  az_entry_not_run_add (state, &not_run, code);
  az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_NOT_RUN, code, text);
}

static void
accept_job (struct az_entry_state *state,
            const struct az_submit *submit,
            const struct az_entry_origin *origin,
            uint32_t team,
            uint32_t group)
{
  uint32_t handle
      = az_entry_job_add (state, submit, AZ_ENTRY_ROLE_OWNER, origin->is_first_submission);
  struct az_entry_job *job = az_entry_state_job (state, handle);
  struct az_entry_service *service_row = az_entry_state_service (state, group);

  job->team = team;
  job->group = group;
  write_submit_event (state, submit, AZ_ENTRY_ROLE_OWNER);
  if (!az_team_queue_push (state->queue, team, group, handle, job->n_tasks))
    {
      az_entry_job_remove (state, handle);
      refuse_as_owner (state, submit, origin, "queue_full", "the queue of the team is full");
      return;
    }
  service_row->waiting += job->n_tasks;
  g_queue_push_tail (&service_row->arrivals, GUINT_TO_POINTER (handle));
  add_waiter (state, handle, origin);
}

/* Refuses an id without a record if this entry can't tell from the time in the id that the job has
 * not run, or if the id is too old to be run. */
static bool
refuse_by_id_time (struct az_entry_state *state,
                   const struct az_submit *submit,
                   const struct az_entry_origin *origin,
                   int64_t id_time_ms)
{
  int64_t age_ms = state->wall_ms - id_time_ms;
  int64_t retention_ms = az_entry_retention_ms (state, submit->service);

  if (age_ms > retention_ms)
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_UNKNOWN, "answer_expired",
                              "the id is older than the time for which answers are kept");
      return true;
    }
  if (!az_entry_has_complete_records (&state->owned[az_job_id_partition (submit->job)], id_time_ms))
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                              "this entry has no knowledge of ids of that time");
      return true;
    }
  if (age_ms > retention_ms / 2)
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_NOT_RUN, "id_too_old",
                              "the time in the id is too far in the past");
      return true;
    }
  return false;
}

static void
submit_as_owner (struct az_entry_state *state,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin,
                 int64_t id_time_ms)
{
  uint32_t recovered = az_entry_recover_job (state, submit->job);
  const char *text = "";
  const char *code;
  uint32_t team = 0;
  uint32_t service = 0;

  if (recovered)
    {
      add_waiter (state, recovered, origin);
      return;
    }
  if (origin->peer && !submit->tasks.tasks_len)
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                              "the owner has no record of the job");
      return;
    }
  if (refuse_by_id_time (state, submit, origin, id_time_ms))
    return;
  /* Without fresh evidence the owner table may be outdated, and another entry may have taken over
   * the id and run the job. */
  if (!az_entry_is_fresh (state) && !origin->is_first_submission)
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_UNKNOWN, "no_fresh_evidence",
                              "no evidence that this entry still owns the id");
      return;
    }
  if (state->stopping && !az_entry_has_live_peer (state))
    {
      refuse_as_owner (state, submit, origin, "stopping", "the entry is stopping");
      return;
    }
  code = az_entry_check_admission (state, submit, &team, &service, &text);
  if (!code)
    {
      code = az_entry_not_run_code (state, submit);
      text = "a later submission was refused; state a higher attempt to run the job";
    }
  if (code)
    refuse_as_owner (state, submit, origin, code, text);
  else
    accept_job (state, submit, origin, team, service);
}

static void
submit_to_owner (struct az_entry_state *state,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin)
{
  uint32_t handle;

  /* A forwarded job is not forwarded again, since entries with different owner tables could send it
   * around in a loop. */
  if (origin->peer)
    {
      az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_UNKNOWN, "not_owner",
                              "this entry does not own the id");
      return;
    }
  handle = az_entry_job_add (state, submit, AZ_ENTRY_ROLE_FORWARDER, origin->is_first_submission);
  write_submit_event (state, submit, AZ_ENTRY_ROLE_FORWARDER);
  add_waiter (state, handle, origin);
  az_entry_forward (state, handle);
}

/* Adds a submission to a job that has a record. If the record only fetches the answer from the
 * owner, the submission replaces it. */
static void
join_existing_job (struct az_entry_state *state,
                   uint32_t handle,
                   const struct az_submit *submit,
                   const struct az_entry_origin *origin)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  bool is_fetch = job->request && !job->request->tasks.tasks_len;

  job->is_first_submission &= origin->is_first_submission;
  job->attempt = MAX (job->attempt, submit->attempt);
  add_waiter (state, handle, origin);
  if (is_fetch && submit->tasks.tasks_len)
    az_entry_replace_forwarded (state, handle, submit);
  else
    az_entry_forward (state, handle);
}

void
az_entry_submit (struct az_entry_state *state,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin)
{
  uint32_t handle = az_entry_job_find (state, submit->job);
  int64_t id_time_ms;

  az_entry_count (state, state->count.submitted, 1);
  if (handle)
    {
      join_existing_job (state, handle, submit, origin);
      return;
    }
  if (!az_job_id_parse (submit->job, &id_time_ms))
    az_entry_answer_origin (state, submit->job, origin, AZ_OUTCOME_NOT_RUN, "invalid_request",
                            "the id must be 13 digits, '-' and a token of 8 to 64 characters");
  else if (id_time_ms > state->wall_ms + state->settings.clock_skew_max_ms)
    az_entry_answer_origin (state, submit->job, origin, outcome_without_record (origin),
                            "id_in_future", "the time in the id is ahead of the clock");
  else if (az_table_rows_count (state->jobs) >= JOBS_MAX)
    az_entry_answer_origin (state, submit->job, origin, outcome_without_record (origin),
                            "queue_full", "this entry holds too many jobs");
  else if (!state->has_table || !state->configuration)
    az_entry_answer_origin (state, submit->job, origin, outcome_without_record (origin),
                            "not_ready", "no configuration or owner table is known yet");
  else if (az_entry_owner_of (state, submit->job) == state->incarnation)
    submit_as_owner (state, submit, origin, id_time_ms);
  else
    submit_to_owner (state, submit, origin);
}
