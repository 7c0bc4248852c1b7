#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

static void
write_answer_event (struct az_entry_state *state, uint32_t request, const struct az_answer *answer)
{
  static const char *const outcomes[] = { "done", "failed", "not_run", "unknown" };
  char number[16];

  if (!answer)
    return;
  g_snprintf (number, sizeof number, "%u", request);
  az_event_log_write (state->events, "answer", "job", answer->job, "outcome",
                      outcomes[answer->outcome], "code", answer->code, "request", number, NULL);
}

void
az_entry_request_answer (struct az_entry_state *state,
                         uint32_t request,
                         const struct az_answer *answer)
{
  g_hash_table_remove (state->requests, GUINT_TO_POINTER (request));
  write_answer_event (state, request, answer);
  state->io.answer (state->io.context, request, answer);
}

static void
remove_waiter (struct az_entry_job *job, uint32_t request)
{
  for (guint i = 0; i < job->waiters->len; i++)
    if (g_array_index (job->waiters, uint32_t, i) == request)
      {
        g_array_remove_index_fast (job->waiters, i);
        return;
      }
}

void
az_entry_request_remove (struct az_entry_state *state, uint32_t request)
{
  struct az_entry_request *row = g_hash_table_lookup (state->requests, GUINT_TO_POINTER (request));
  struct az_entry_job *job;

  if (!row)
    return;
  job = az_entry_state_job (state, row->job);
  if (job && job->waiters)
    remove_waiter (job, request);
  g_hash_table_remove (state->requests, GUINT_TO_POINTER (request));
}

void
az_entry_request_expire (struct az_entry_state *state, uint32_t request)
{
  const struct az_entry_request *row
      = g_hash_table_lookup (state->requests, GUINT_TO_POINTER (request));

  /* The handle may have been reused for a later request. */
  if (!row || !row->is_fetch || az_time_compare (row->wait_until, state->now) > 0)
    return;
  az_entry_request_remove (state, request);
  az_entry_request_answer (state, request, NULL);
}

static void
arm_fetch_timer (struct az_entry_state *state, uint32_t request, struct timespec wait_until)
{
  struct az_entry_timer timer = { wait_until, AZ_ENTRY_TIMER_FETCH, request };

  az_entry_timers_push (state->timers, &timer);
}

void
az_entry_job_add_waiter (struct az_entry_state *state,
                         uint32_t handle,
                         uint32_t request,
                         bool is_fetch,
                         struct timespec wait_until)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  struct az_entry_request *row;

  if (job->answer || (is_fetch && az_time_compare (wait_until, state->now) <= 0))
    {
      az_entry_request_answer (state, request, job->answer);
      return;
    }
  row = g_new0 (struct az_entry_request, 1);
  row->job = handle;
  row->is_fetch = is_fetch;
  row->wait_until = wait_until;
  g_hash_table_insert (state->requests, GUINT_TO_POINTER (request), row);
  g_array_append_val (job->waiters, request);
  if (is_fetch)
    arm_fetch_timer (state, request, wait_until);
}

static void
send_answer (struct az_entry_state *state, uint64_t incarnation, const struct az_answer *answer)
{
  const struct az_entry_peer *peer = az_entry_peer_find (state, incarnation);
  struct az_message message = { .proc = AZ_ANSWER };

  /* A peer that isn't connected submits the job again when it reconnects, and gets the answer. */
  if (!peer || !peer->connection)
    return;
  message.az_message_u.answer = *answer;
  az_entry_send (state, peer->connection, &message);
}

void
az_entry_job_add_waiting_peer (struct az_entry_state *state, uint32_t handle, uint64_t incarnation)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  if (job->answer)
    {
      send_answer (state, incarnation, job->answer);
      return;
    }
  for (guint i = 0; i < job->peers->len; i++)
    if (g_array_index (job->peers, uint64_t, i) == incarnation)
      return;
  g_array_append_val (job->peers, incarnation);
}

void
az_entry_answer_origin (struct az_entry_state *state,
                        const char *id,
                        const struct az_entry_origin *origin,
                        az_outcome outcome,
                        const char *code,
                        const char *text)
{
  struct az_answer answer = {
    .job = (char *)id,
    .outcome = outcome,
    .code = (char *)code,
    .message = (char *)text,
  };

  az_entry_count (state, state->count.outcomes[outcome], 1);
  if (origin->peer)
    send_answer (state, origin->peer, &answer);
  else
    az_entry_request_answer (state, origin->request, &answer);
}

static void
answer_peers (struct az_entry_state *state, GArray *peers, const struct az_answer *answer)
{
  for (guint i = 0; i < peers->len; i++)
    send_answer (state, g_array_index (peers, uint64_t, i), answer);
  g_array_set_size (peers, 0);
}

static void
answer_callers (struct az_entry_state *state, GArray *callers, const struct az_answer *answer)
{
  for (guint i = 0; i < callers->len; i++)
    az_entry_request_answer (state, g_array_index (callers, uint32_t, i), answer);
}

/* The callbacks of the callers' answers may change the table of jobs, so the list of callers is
 * moved out of the job first. */
static void
answer_waiters (struct az_entry_state *state, uint32_t handle, const struct az_answer *answer)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  GArray *callers = job->waiters;

  job->waiters = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  answer_peers (state, job->peers, answer);
  answer_callers (state, callers, answer);
  g_array_unref (callers);
}

void
az_entry_job_deliver (struct az_entry_state *state, uint32_t handle, const struct az_answer *answer)
{
  az_entry_count (state, state->count.outcomes[answer->outcome], 1);
  answer_waiters (state, handle, answer);
}
