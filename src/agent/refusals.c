#include "agent/state.h"

static void
log_refusal (struct az_agent_state *state, const struct az_attempt *id, az_refusal reason)
{
  char task[16];
  char attempt[16];

  g_snprintf (task, sizeof task, "%u", id->task);
  g_snprintf (attempt, sizeof attempt, "%u", id->attempt);
  az_event_log_write (state->events, "refuse", "job", id->job, "task", task, "attempt", attempt,
                      "reason", az_agent_refusal_name (reason), NULL);
}

/**
 * az_agent_refuse - queues a message that tells an entry that an attempt has not started
 * @handle: 0 if the entry is not connected; it then learns by QUERY that there is no record
 */
void
az_agent_refuse (struct az_agent_state *state,
                 uint32_t handle,
                 const struct az_attempt *id,
                 az_refusal reason)
{
  struct az_agent_entry *entry = az_agent_entry_get (state, handle);
  struct az_refused_task refused = { .id = *id, .reason = reason };

  az_counters_add (state->counters, state->metrics.refused[reason], 1);
  log_refusal (state, id, reason);
  if (!entry)
    return;
  refused.id.job = g_strdup (id->job);
  g_array_append_val (entry->refused, refused);
}

void
az_agent_refusals_flush (struct az_agent_state *state, struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_REFUSED };
  struct az_refused *refused = &message.az_message_u.refused;

  for (guint sent = 0; sent < entry->refused->len; sent += refused->tasks.tasks_len)
    {
      refused->tasks.tasks_val = &g_array_index (entry->refused, struct az_refused_task, sent);
      refused->tasks.tasks_len = MIN (entry->refused->len - sent, AZ_MAX_GRANTS);
      az_agent_send (state, entry, &message);
    }
  g_array_set_size (entry->refused, 0);
}
