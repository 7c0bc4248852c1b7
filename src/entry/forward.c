#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"
#include <string.h>

/* Longest time that a job waits for a connection to its owner before its caller gets an error. */
#define OWNER_CONNECT_TIMEOUT_MS 1000

/* Delay before a job is sent again after an entry answered "not_owner". */
#define NOT_OWNER_RETRY_MS 100

/* The owner gets an earlier deadline, so that its answer arrives before the deadline here. */
#define FORWARD_MARGIN_MS 5

static void
send_submit (struct az_entry_state *state,
             struct az_entry_job *job,
             const struct az_entry_peer *peer)
{
  struct az_message message = { .proc = AZ_SUBMIT };
  int64_t remaining_ms = az_time_diff_ms (job->deadline, state->now);

  message.az_message_u.submit = *job->request;
  message.az_message_u.submit.deadline_ms = (uint32_t)MAX (remaining_ms - FORWARD_MARGIN_MS, 1);
  /* Attempt 1 states that no earlier submission exists. It is sent only if every caller that has
   * submitted the job has stated that. */
  message.az_message_u.submit.attempt
      = job->attempt == 1 && !job->is_first_submission ? 0 : job->attempt;
  if (job->submit_connection)
    az_entry_unanswered_submits_add (state, job);
  job->submit_connection = peer->connection;
  if (!job->was_forwarded)
    az_entry_count (state, state->count.forwarded, 1);
  job->was_forwarded = true;
  az_entry_send (state, peer->connection, &message);
}

static void
arm_owner_timer (struct az_entry_state *state, uint32_t handle, int64_t delay_ms)
{
  struct az_entry_timer timer
      = { az_time_add_ms (state->now, delay_ms), AZ_ENTRY_TIMER_OWNER, handle };

  az_entry_timers_push (state->timers, &timer);
}

/* This entry became the owner while the job waited. If the job is submitted again, it runs here
 * only if its id is above the horizon, so only if no other entry can have started it. */
static void
answer_as_new_owner (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  if (job->was_forwarded)
    return;
  az_entry_job_answer (state, handle,
                       job->is_first_submission ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN,
                       "owner_unavailable", "the owner of the id changed");
}

void
az_entry_forward (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  const struct az_entry_peer *peer;

  if (!job || job->answer || job->role != AZ_ENTRY_ROLE_FORWARDER)
    return;
  job->owner = az_entry_owner_of (state, job->id);
  if (job->owner == state->incarnation)
    {
      answer_as_new_owner (state, handle);
      return;
    }
  /* If nobody waits for the answer, SUBMIT isn't sent: a caller that has gone may have submitted
   * the job to another entry and got "not run" there, and then the job must not run. */
  if (!job->waiters->len && !job->peers->len)
    return;
  peer = az_entry_peer_find (state, job->owner);
  if (peer && peer->connection && job->submit_connection != peer->connection)
    send_submit (state, job, peer);
  else if (!peer || !peer->connection)
    arm_owner_timer (state, handle, OWNER_CONNECT_TIMEOUT_MS);
}

void
az_entry_replace_forwarded (struct az_entry_state *state,
                            uint32_t handle,
                            const struct az_submit *submit)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  struct az_entry_timer timer = { .kind = AZ_ENTRY_TIMER_DEADLINE, .value = handle };

  az_entry_submit_free (job->request);
  job->request = az_entry_submit_copy (submit);
  job->deadline = az_time_add_ms (state->now, az_entry_deadline_ms (state, submit));
  job->submit_connection = 0;
  timer.at = job->deadline;
  az_entry_timers_push (state->timers, &timer);
  az_entry_forward (state, handle);
}

void
az_entry_forward_all (struct az_entry_state *state, uint64_t peer)
{
  uint32_t next;

  for (uint32_t h = az_table_rows_next (state->jobs, 0); h; h = next)
    {
      const struct az_entry_job *job = az_entry_state_job (state, h);

      next = az_table_rows_next (state->jobs, h);
      if (job->role == AZ_ENTRY_ROLE_FORWARDER && (!peer || job->owner == peer))
        az_entry_forward (state, h);
    }
}

void
az_entry_forward_or_answer (struct az_entry_state *state, uint32_t handle)
{
  const struct az_entry_job *job = az_entry_state_job (state, handle);
  const struct az_entry_peer *peer;

  if (!job || job->answer || job->role != AZ_ENTRY_ROLE_FORWARDER)
    return;
  peer = az_entry_peer_find (state, job->owner);
  if (peer && peer->connection)
    az_entry_forward (state, handle);
  else if (!job->was_forwarded)
    az_entry_job_answer (state, handle,
                         job->is_first_submission ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN,
                         "owner_unavailable", "the owner of the id can't be reached");
}

/* Sends a job again after the answer "not_owner". The answer doesn't tell whether the job has run:
 * an entry that got an earlier SUBMIT may have a record of it. Only an owner's answer is therefore
 * passed on to the caller. */
static void
send_again_later (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  job->submit_connection = 0;
  arm_owner_timer (state, handle, NOT_OWNER_RETRY_MS);
}

void
az_entry_handle_answer (struct az_entry_state *state, const struct az_answer *answer)
{
  uint32_t handle = az_entry_job_find (state, answer->job);
  const struct az_entry_job *job = az_entry_state_job (state, handle);

  if (!job || job->role != AZ_ENTRY_ROLE_FORWARDER)
    {
      az_entry_count (state, state->count.late, 1);
      return;
    }
  if (!strcmp (answer->code, "not_owner"))
    {
      send_again_later (state, handle);
      return;
    }
  if (answer->outcome == AZ_OUTCOME_NOT_RUN && az_entry_has_unanswered_submit (state, answer->job))
    {
      az_entry_job_answer (state, handle, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                           "an earlier submission of the id may still run");
      return;
    }
  az_entry_job_deliver (state, handle, answer);
  if (az_entry_job_find (state, answer->job) == handle)
    az_entry_job_remove (state, handle);
}
