#include "azurerock/job_id.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* A fetch with a shorter waiting time waits this long, for the round trip to the owner. */
#define REMOTE_FETCH_MIN_MS 200
#define REMOTE_FETCH_MAX_MS 3600000
#define REMOTE_FETCH_MARGIN_MS 1000

/* A caller that cancels a job of another entry waits this long for the job's answer. */
#define REMOTE_CANCEL_WAIT_MS 1000

static void
answer_without_record (struct az_entry_board *board, uint32_t request, const char *id)
{
  struct az_entry_origin origin = { .request = request };
  int64_t time_ms;

  if (!az_job_id_parse (id, &time_ms))
    az_entry_answer_origin (board, id, &origin, AZ_OUTCOME_NOT_RUN, "invalid_request",
                            "the id must be 13 digits, '-' and a token of 8 to 64 characters");
  else if (board->wall_ms - time_ms > az_entry_retention_ms (board, NULL))
    az_entry_answer_origin (board, id, &origin, AZ_OUTCOME_UNKNOWN, "answer_expired",
                            "the id is older than the time for which answers are kept");
  else
    az_entry_answer_origin (board, id, &origin, AZ_OUTCOME_UNKNOWN, "outcome_unknown",
                            "the owner has no record of the job");
}

/* Asks the owner for the answer with a SUBMIT without tasks. It starts nothing and is answered like
 * a submission of the job. Returns false if this entry is the owner or can't know the owner. */
static bool
fetch_from_owner (struct az_entry_board *board, uint32_t request, const char *id, int64_t wait_ms)
{
  struct az_submit submit = { .job = (char *)id, .team = (char *)"", .service = (char *)"" };
  int64_t clamped_wait_ms = CLAMP (wait_ms, REMOTE_FETCH_MIN_MS, REMOTE_FETCH_MAX_MS);
  struct timespec wait_until = az_time_add_ms (board->now, clamped_wait_ms);
  int64_t time_ms;
  uint32_t handle;

  if (!az_job_id_parse (id, &time_ms) || !board->has_table
      || az_entry_owner_of (board, id) == board->incarnation)
    return false;
  /* The deadline is after the end of the waiting time, so that the request is answered "pending"
   * and not "unknown". */
  submit.deadline_ms = (uint32_t)(clamped_wait_ms + REMOTE_FETCH_MARGIN_MS);
  handle = az_entry_job_add (board, &submit, AZ_ENTRY_ROLE_FORWARDER, false);
  az_entry_job_add_waiter (board, handle, request, true, wait_until);
  az_entry_forward (board, handle);
  return true;
}

void
az_entry_fetch (struct az_entry_board *board, uint32_t request, const char *id, int64_t wait_ms)
{
  uint32_t handle = az_entry_job_find (board, id);

  if (!handle)
    handle = az_entry_recover_job (board, id);
  if (handle)
    az_entry_job_add_waiter (board, handle, request, true, az_time_add_ms (board->now, wait_ms));
  else if (!fetch_from_owner (board, request, id, wait_ms))
    answer_without_record (board, request, id);
}

static void
send_cancel_job (struct az_entry_board *board, const char *id)
{
  const struct az_entry_peer *peer;
  struct az_message message = { .proc = AZ_CANCEL_JOB };

  if (!board->has_table)
    return;
  peer = az_entry_peer_find (board, az_entry_owner_of (board, id));
  if (!peer || !peer->connection)
    return;
  message.az_message_u.cancel_job.job = (char *)id;
  az_entry_send (board, peer->connection, &message);
}

static void
cancel_forwarded (struct az_entry_board *board, uint32_t handle, const struct az_entry_job *job)
{
  if (job->was_forwarded)
    send_cancel_job (board, job->id);
  else
    az_entry_job_answer (board, handle,
                         job->first_attempt ? AZ_OUTCOME_NOT_RUN : AZ_OUTCOME_UNKNOWN, "cancelled",
                         "cancelled before it was sent to its owner");
}

void
az_entry_cancel (struct az_entry_board *board, uint32_t request, const char *id)
{
  uint32_t handle = az_entry_job_find (board, id);
  const struct az_entry_job *job = az_entry_board_job (board, handle);
  int64_t time_ms;

  if (!job)
    {
      if (az_job_id_parse (id, &time_ms))
        send_cancel_job (board, id);
      if (!fetch_from_owner (board, request, id, REMOTE_CANCEL_WAIT_MS))
        answer_without_record (board, request, id);
      return;
    }
  az_entry_job_add_waiter (board, handle, request, false, board->now);
  if (job->role == AZ_ENTRY_ROLE_FORWARDER)
    cancel_forwarded (board, handle, job);
  else
    az_entry_job_cancel (board, handle);
}
