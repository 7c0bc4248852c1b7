#include "azurerock/job_id.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* This is half of the rows that a table can address by handles. */
#define JOBS_MAX 500000

static void
add_waiter (struct az_entry_board *board, uint32_t handle, const struct az_entry_origin *origin)
{
  if (origin->peer)
    az_entry_job_add_waiting_peer (board, handle, origin->peer);
  else
    az_entry_job_add_waiter (board, handle, origin->request, false, board->now);
}

static void
write_submit_event (struct az_entry_board *board,
                    const struct az_submit *submit,
                    enum az_entry_role role)
{
  char tasks[16];

  g_snprintf (tasks, sizeof tasks, "%u", submit->tasks.tasks_len);
  az_event_log_write (board->events, "submit", "job", submit->job, "tasks", tasks, "entry",
                      role == AZ_ENTRY_ROLE_OWNER ? "owner" : "forwarder", NULL);
}

/* Outcome of a refusal by an entry that doesn't know whether the job has run before. */
static az_outcome
outcome_without_record (const struct az_entry_origin *origin)
{
  return origin->first_attempt ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN;
}

/* Refuses a job. The caller must know, as the owner, that the job has not run. */
static void
refuse_as_owner (struct az_entry_board *board,
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
    .is_first_attempt = origin->first_attempt,
  };

  az_job_id_parse (submit->job, &not_run.id_time_ms);
  az_entry_not_run_add (board, &not_run, code);
  az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_NOT_RUN, code, text);
}

static void
accept_job (struct az_entry_board *board,
            const struct az_submit *submit,
            const struct az_entry_origin *origin,
            uint32_t team,
            uint32_t group)
{
  uint32_t handle = az_entry_job_add (board, submit, AZ_ENTRY_ROLE_OWNER, origin->first_attempt);
  struct az_entry_job *job = az_entry_board_job (board, handle);
  struct az_entry_group *group_row = az_entry_board_group (board, group);

  job->team = team;
  job->group = group;
  write_submit_event (board, submit, AZ_ENTRY_ROLE_OWNER);
  if (!az_team_queue_push (board->queue, team, group, handle, job->n_tasks))
    {
      az_entry_job_remove (board, handle);
      refuse_as_owner (board, submit, origin, "queue_full", "the queue of the team is full");
      return;
    }
  group_row->waiting += job->n_tasks;
  g_queue_push_tail (&group_row->arrivals, GUINT_TO_POINTER (handle));
  add_waiter (board, handle, origin);
}

/* Refuses an id without a record if this entry can't tell from the time in the id that the job has
 * not run, or if the id is too old to be run. */
static bool
refuse_by_id_time (struct az_entry_board *board,
                   const struct az_submit *submit,
                   const struct az_entry_origin *origin,
                   int64_t id_time_ms)
{
  int64_t age_ms = board->wall_ms - id_time_ms;
  int64_t retention_ms = az_entry_retention_ms (board, submit->service);

  if (age_ms > retention_ms)
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_UNKNOWN, "answer_expired",
                              "the id is older than the time for which answers are kept");
      return true;
    }
  if (!az_entry_knows (&board->owned[az_job_id_partition (submit->job)], id_time_ms))
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                              "this entry has no knowledge of ids of that time");
      return true;
    }
  if (age_ms > retention_ms / 2)
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_NOT_RUN, "id_too_old",
                              "the time in the id is too far in the past");
      return true;
    }
  return false;
}

static void
submit_as_owner (struct az_entry_board *board,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin,
                 int64_t id_time_ms)
{
  uint32_t recovered = az_entry_recover_job (board, submit->job);
  const char *text = "";
  const char *code;
  uint32_t team = 0;
  uint32_t group = 0;

  if (recovered)
    {
      add_waiter (board, recovered, origin);
      return;
    }
  if (origin->peer && !submit->tasks.tasks_len)
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                              "the owner has no record of the job");
      return;
    }
  if (refuse_by_id_time (board, submit, origin, id_time_ms))
    return;
  /* Without fresh evidence the owner table may be outdated, and another entry may have taken over
   * the id and run the job. */
  if (!az_entry_is_fresh (board) && !origin->first_attempt)
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_UNKNOWN, "no_fresh_evidence",
                              "no evidence that this entry still owns the id");
      return;
    }
  if (board->stopping && !az_entry_has_live_peer (board))
    {
      refuse_as_owner (board, submit, origin, "stopping", "the entry is stopping");
      return;
    }
  code = az_entry_check_admission (board, submit, &team, &group, &text);
  if (!code)
    {
      code = az_entry_not_run_code (board, submit);
      text = "a later submission was refused; state a higher attempt to run the job";
    }
  if (code)
    refuse_as_owner (board, submit, origin, code, text);
  else
    accept_job (board, submit, origin, team, group);
}

static void
submit_to_owner (struct az_entry_board *board,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin)
{
  uint32_t handle;

  /* A forwarded job is not forwarded again, since entries with different owner tables could send it
   * around in a loop. */
  if (origin->peer)
    {
      az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_UNKNOWN, "not_owner",
                              "this entry does not own the id");
      return;
    }
  handle = az_entry_job_add (board, submit, AZ_ENTRY_ROLE_FORWARDER, origin->first_attempt);
  write_submit_event (board, submit, AZ_ENTRY_ROLE_FORWARDER);
  add_waiter (board, handle, origin);
  az_entry_forward (board, handle);
}

/* Adds a submission to a job that has a record. If the record only fetches the answer from the
 * owner, the submission replaces it. */
static void
join_existing_job (struct az_entry_board *board,
                   uint32_t handle,
                   const struct az_submit *submit,
                   const struct az_entry_origin *origin)
{
  struct az_entry_job *job = az_entry_board_job (board, handle);
  bool is_fetch = job->request && !job->request->tasks.tasks_len;

  job->first_attempt &= origin->first_attempt;
  job->attempt = MAX (job->attempt, submit->attempt);
  add_waiter (board, handle, origin);
  if (is_fetch && submit->tasks.tasks_len)
    az_entry_forward_instead (board, handle, submit);
  else
    az_entry_forward (board, handle);
}

void
az_entry_submit (struct az_entry_board *board,
                 const struct az_submit *submit,
                 const struct az_entry_origin *origin)
{
  uint32_t handle = az_entry_job_find (board, submit->job);
  int64_t id_time_ms;

  az_entry_count (board, board->count.submitted, 1);
  if (handle)
    {
      join_existing_job (board, handle, submit, origin);
      return;
    }
  if (!az_job_id_parse (submit->job, &id_time_ms))
    az_entry_answer_origin (board, submit->job, origin, AZ_OUTCOME_NOT_RUN, "invalid_request",
                            "the id must be 13 digits, '-' and a token of 8 to 64 characters");
  else if (id_time_ms > board->wall_ms + board->settings.clock_skew_max_ms)
    az_entry_answer_origin (board, submit->job, origin, outcome_without_record (origin),
                            "id_in_future", "the time in the id is ahead of the clock");
  else if (az_table_rows_count (board->jobs) >= JOBS_MAX)
    az_entry_answer_origin (board, submit->job, origin, outcome_without_record (origin),
                            "queue_full", "this entry holds too many jobs");
  else if (!board->has_table || !board->configuration)
    az_entry_answer_origin (board, submit->job, origin, outcome_without_record (origin),
                            "not_ready", "no configuration or owner table is known yet");
  else if (az_entry_owner_of (board, submit->job) == board->incarnation)
    submit_as_owner (board, submit, origin, id_time_ms);
  else
    submit_to_owner (board, submit, origin);
}
