#include "azurerock/job_id.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Minimum time that a fetch waits for the answer of the owner, which allows for the round trip. */
#define REMOTE_FETCH_MIN_MS 200
#define REMOTE_FETCH_MAX_MS 3600000
#define REMOTE_FETCH_MARGIN_MS 1000

/* A caller that cancels a job of another entry waits this long for the job's answer. */
#define REMOTE_CANCEL_WAIT_MS 1000

static void
answer_without_record (struct az_entry_state *state, uint32_t request, const char *id)
{
  struct az_entry_origin origin = { .request = request };
  int64_t time_ms;

  if (!az_job_id_parse (id, &time_ms))
    az_entry_answer_origin (state, id, &origin, AZ_OUTCOME_NOT_RUN, "invalid_request",
                            "the id must be 13 digits, '-' and a token of 8 to 64 characters");
  else if (state->wall_ms - time_ms > az_entry_retention_ms (state, NULL))
    az_entry_answer_origin (state, id, &origin, AZ_OUTCOME_UNKNOWN, "answer_expired",
                            "the id is older than the time for which answers are kept");
  else
    az_entry_answer_origin (state, id, &origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                            "the owner has no record of the job");
}

/* Asks the owner for the answer with a SUBMIT without tasks. It starts nothing and is answered like
 * a submission of the job. Returns false if this entry is the owner or can't know the owner. */
static bool
fetch_from_owner (struct az_entry_state *state, uint32_t request, const char *id, int64_t wait_ms)
{
  struct az_submit submit = { .job = (char *)id, .team = (char *)"", .service = (char *)"" };
  int64_t clamped_wait_ms = CLAMP (wait_ms, REMOTE_FETCH_MIN_MS, REMOTE_FETCH_MAX_MS);
  struct timespec wait_until = az_time_add_ms (state->now, clamped_wait_ms);
  int64_t time_ms;
  uint32_t handle;

  if (!az_job_id_parse (id, &time_ms) || !state->has_table
      || az_entry_owner_of (state, id) == state->incarnation)
    return false;
  /* The deadline is after the end of the waiting time, so that the request is answered "pending"
   * and not "unknown". */
  submit.deadline_ms = (uint32_t)(clamped_wait_ms + REMOTE_FETCH_MARGIN_MS);
  handle = az_entry_job_add (state, &submit, AZ_ENTRY_ROLE_FORWARDER, false);
  az_entry_job_add_waiter (state, handle, request, true, wait_until);
  az_entry_forward (state, handle);
  return true;
}

void
az_entry_fetch (struct az_entry_state *state, uint32_t request, const char *id, int64_t wait_ms)
{
  uint32_t handle = az_entry_job_find (state, id);

  if (!handle)
    handle = az_entry_recover_job (state, id);
  if (handle)
    az_entry_job_add_waiter (state, handle, request, true, az_time_add_ms (state->now, wait_ms));
  else if (!fetch_from_owner (state, request, id, wait_ms))
    answer_without_record (state, request, id);
}

static void
send_cancel_job (struct az_entry_state *state, const char *id)
{
  const struct az_entry_peer *peer;
  struct az_message message = { .proc = AZ_CANCEL_JOB };

  if (!state->has_table)
    return;
  peer = az_entry_peer_find (state, az_entry_owner_of (state, id));
  if (!peer || !peer->connection)
    return;
  message.az_message_u.cancel_job.job = (char *)id;
  az_entry_send (state, peer->connection, &message);
}

static void
cancel_forwarded (struct az_entry_state *state, uint32_t handle, const struct az_entry_job *job)
{
  if (job->was_forwarded)
    send_cancel_job (state, job->id);
  else
    az_entry_job_answer (state, handle,
                         job->is_first_submission ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN,
                         "cancelled", "cancelled before it was sent to its owner");
}

void
az_entry_cancel (struct az_entry_state *state, uint32_t request, const char *id)
{
  uint32_t handle = az_entry_job_find (state, id);
  const struct az_entry_job *job = az_entry_state_job (state, handle);
  int64_t time_ms;

  if (!job)
    {
      if (az_job_id_parse (id, &time_ms))
        send_cancel_job (state, id);
      if (!fetch_from_owner (state, request, id, REMOTE_CANCEL_WAIT_MS))
        answer_without_record (state, request, id);
      return;
    }
  az_entry_job_add_waiter (state, handle, request, false, state->now);
  if (job->role == AZ_ENTRY_ROLE_FORWARDER)
    cancel_forwarded (state, handle, job);
  else
    az_entry_job_cancel (state, handle);
}
