#include "agent/state.h"

/* An attempt without a record has not started, and the fence ensures that it never will. If results
 * of this entry were dropped before it acknowledged them, the missing record proves nothing. */
static void
fence_unknown_attempt (struct az_agent_state *state,
                       uint64_t incarnation,
                       struct az_fate_task *fate)
{
  az_agent_fence_attempt (state, &fate->id);
  fate->status = az_agent_origin_get (state, incarnation)->has_dropped_results
                     ? AZ_STATUS_UNKNOWN
                     : AZ_STATUS_NOT_STARTED;
}

static size_t
fill_fate (struct az_agent_state *state,
           uint64_t incarnation,
           const struct az_attempt *id,
           struct az_fate_task *fate)
{
  const struct az_agent_record *record = az_agent_record_find (state, id->job, id->task);

  *fate = (struct az_fate_task){ .id = *id };
  if (!record || record->id.attempt != id->attempt || state->guards.fate_ignores_records)
    {
      fence_unknown_attempt (state, incarnation, fate);
      return 0;
    }
  fate->status = record->status;
  fate->payload.az_payload_val = (char *)record->payload;
  fate->payload.az_payload_len = (u_int)record->payload_length;
  return record->payload_length;
}

static void
send_fates (struct az_agent_state *state,
            const struct az_agent_entry *entry,
            struct az_fate_task *fates,
            u_int n)
{
  struct az_message message = { .proc = AZ_FATE };

  message.az_message_u.fate.tasks.tasks_val = fates;
  message.az_message_u.fate.tasks.tasks_len = n;
  az_agent_send (state, entry, &message);
}

void
az_agent_query_received (struct az_agent_state *state,
                         uint32_t handle,
                         const struct az_query *query)
{
  const struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  u_int n_attempts = query->attempts.attempts_len;
  struct az_fate_task *fates = g_new0 (struct az_fate_task, n_attempts);
  size_t bytes = 0;
  u_int n = 0;

  for (u_int i = 0; i < n_attempts; i++)
    {
      bytes += fill_fate (state, entry->incarnation, &query->attempts.attempts_val[i], &fates[n++]);
      if (bytes < AZ_AGENT_BATCH_BYTES)
        continue;
      send_fates (state, entry, fates, n);
      bytes = 0;
      n = 0;
    }
  if (n)
    send_fates (state, entry, fates, n);
  g_free (fates);
}
