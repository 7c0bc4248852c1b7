#include "azurerock/log.h"
#include "gateway/state.h"
#include <string.h>

/* A peer that doesn't answer within this time may hold the job. */
#define PEER_ANSWER_MAX_MS 500

/* A peer that is lost for less than this time may run on and hold the job. */
#define PEER_LOST_MS 30000

/* After the start, peers are given this time to connect. */
#define PEER_CONNECT_MS 3000

/**
 * struct cancel - a cancel that waits for the answers of peers
 * @sessions: handles of the sessions with peers that haven't answered yet
 * @has_lost_peer: a peer was lost before it answered
 */
struct cancel
{
  uint64_t number;
  uint32_t caller;
  char *id;
  GArray *sessions;
  bool has_lost_peer;
  int64_t due_us;
};

static void
free_cancel (gpointer value)
{
  struct cancel *cancel = value;

  g_array_unref (cancel->sessions);
  g_free (cancel->id);
  g_free (cancel);
}

void
az_gateway_open_cancels (struct az_gateway *gateway)
{
  gateway->cancels = g_ptr_array_new_with_free_func (free_cancel);
  gateway->lost_peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
az_gateway_close_cancels (struct az_gateway *gateway)
{
  g_ptr_array_unref (gateway->cancels);
  g_hash_table_unref (gateway->lost_peers);
}

/* Returns whether the gateway holds the job. */
static bool
cancel_here (struct az_gateway *gateway, const char *id)
{
  struct job *job = g_hash_table_lookup (gateway->job_ids, id);

  az_gateway_record_cancel (gateway, id);
  if (!job)
    return false;
  az_gateway_end_job (gateway, job, job->n_started > 0 ? AZ_JOB_UNFINISHED : AZ_JOB_NOT_RUN, 0,
                      "cancelled");
  az_gateway_release_job (gateway, job);
  return true;
}

static void
answer (struct az_gateway *gateway, uint32_t caller, const char *id, enum az_cancel_outcome outcome)
{
  static const char *const names[] = { "cancelled", "no-job", "unknown" };

  az_log (LOG_INFO, "event=cancel job=%s outcome=%s", id, names[outcome]);
  gateway->io.cancelled (gateway->io.context, caller, outcome);
}

static void
end_cancel (struct az_gateway *gateway, struct cancel *cancel, enum az_cancel_outcome outcome)
{
  answer (gateway, cancel->caller, cancel->id, outcome);
  g_ptr_array_remove_fast (gateway->cancels, cancel);
}

static bool
is_any_peer_missing (const struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;

  if (gateway->now_us - gateway->started_us < PEER_CONNECT_MS * AZ_US_PER_MS)
    return true;
  g_hash_table_iter_init (&iterator, gateway->lost_peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (gateway->now_us - *(const int64_t *)value < PEER_LOST_MS * AZ_US_PER_MS)
      return true;
  return false;
}

static enum az_cancel_outcome
outcome_without_job (const struct az_gateway *gateway, const struct cancel *cancel)
{
  return cancel->has_lost_peer || is_any_peer_missing (gateway) ? AZ_CANCEL_UNKNOWN
                                                                : AZ_CANCEL_NO_JOB;
}

static void
ask_peers (struct az_gateway *gateway, struct cancel *cancel)
{
  struct az_message message = { .proc = AZ_NODE_CANCEL };
  GHashTableIter iterator;
  gpointer value;

  message.az_message_u.node_cancel
      = (struct az_node_cancel){ .number = cancel->number, .job_id = cancel->id };
  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct session *session = value;

      if (!session->peer_address)
        continue;
      g_array_append_val (cancel->sessions, session->handle);
      gateway->io.send (gateway->io.context, session->handle, &message);
    }
}

void
az_gateway_cancel (struct az_gateway *gateway, uint32_t caller, const char *id)
{
  struct cancel *cancel;

  gateway->now_us = az_now_us (gateway->clock);
  if (cancel_here (gateway, id))
    {
      answer (gateway, caller, id, AZ_CANCEL_DONE);
      return;
    }
  cancel = g_new0 (struct cancel, 1);
  cancel->number = ++gateway->last_cancel_number;
  cancel->caller = caller;
  cancel->id = g_strdup (id);
  cancel->sessions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  cancel->due_us = gateway->now_us + PEER_ANSWER_MAX_MS * AZ_US_PER_MS;
  g_ptr_array_add (gateway->cancels, cancel);
  ask_peers (gateway, cancel);
  if (cancel->sessions->len == 0)
    end_cancel (gateway, cancel, outcome_without_job (gateway, cancel));
}

void
az_gateway_handle_cancel (struct az_gateway *gateway,
                          const struct session *session,
                          const struct az_node_cancel *request)
{
  struct az_message reply = { .proc = AZ_NODE_CANCELLED };
  bool is_held = cancel_here (gateway, request->job_id);

  if (is_held)
    az_log (LOG_INFO, "event=cancel job=%s outcome=cancelled peer=%s", request->job_id,
            session->instance);
  reply.az_message_u.node_cancelled
      = (struct az_node_cancelled){ .number = request->number, .was_held = is_held };
  gateway->io.send (gateway->io.context, session->handle, &reply);
}

/* Returns whether the session was asked. */
static bool
remove_session (struct cancel *cancel, uint32_t session)
{
  for (guint i = 0; i < cancel->sessions->len; i++)
    if (g_array_index (cancel->sessions, uint32_t, i) == session)
      {
        g_array_remove_index_fast (cancel->sessions, i);
        return true;
      }
  return false;
}

void
az_gateway_handle_cancelled (struct az_gateway *gateway,
                             uint32_t session,
                             const struct az_node_cancelled *reply)
{
  for (guint i = 0; i < gateway->cancels->len; i++)
    {
      struct cancel *cancel = gateway->cancels->pdata[i];

      if (cancel->number != reply->number || !remove_session (cancel, session))
        continue;
      if (reply->was_held)
        end_cancel (gateway, cancel, AZ_CANCEL_DONE);
      else if (cancel->sessions->len == 0)
        end_cancel (gateway, cancel, outcome_without_job (gateway, cancel));
      return;
    }
}

void
az_gateway_record_found_peer (struct az_gateway *gateway, const char *address)
{
  g_hash_table_remove (gateway->lost_peers, address);
}

void
az_gateway_record_lost_peer (struct az_gateway *gateway, const struct session *session)
{
  int64_t *lost_us = g_new (int64_t, 1);

  *lost_us = gateway->now_us;
  g_hash_table_replace (gateway->lost_peers, g_strdup (session->peer_address), lost_us);
  for (guint i = gateway->cancels->len; i > 0; i--)
    {
      struct cancel *cancel = gateway->cancels->pdata[i - 1];

      if (!remove_session (cancel, session->handle))
        continue;
      cancel->has_lost_peer = true;
      if (cancel->sessions->len == 0)
        end_cancel (gateway, cancel, AZ_CANCEL_UNKNOWN);
    }
}

void
az_gateway_expire_cancels (struct az_gateway *gateway)
{
  for (guint i = gateway->cancels->len; i > 0; i--)
    {
      struct cancel *cancel = gateway->cancels->pdata[i - 1];

      if (gateway->now_us >= cancel->due_us)
        end_cancel (gateway, cancel, AZ_CANCEL_UNKNOWN);
    }
}
