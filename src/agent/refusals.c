#include "agent/board.h"

static void
write_refuse (struct az_agent_board *board, const struct az_attempt *id, az_refusal reason)
{
  char task[16];
  char attempt[16];

  g_snprintf (task, sizeof task, "%u", id->task);
  g_snprintf (attempt, sizeof attempt, "%u", id->attempt);
  az_event_log_write (board->events, "refuse", "job", id->job, "task", task, "attempt", attempt,
                      "reason", az_agent_refusal_name (reason), NULL);
}

/**
 * az_agent_refuse - tells an entry, by the next flush, that an attempt did not start
 * @entry: 0 if it is not connected; its QUERY then finds no record
 */
void
az_agent_refuse (struct az_agent_board *board,
                 uint32_t handle,
                 const struct az_attempt *id,
                 az_refusal reason)
{
  struct az_agent_entry *entry = az_agent_entry_get (board, handle);
  struct az_refused_task refused = { .id = *id, .reason = reason };

  az_counters_add (board->counters, board->metrics.refused[reason], 1);
  write_refuse (board, id, reason);
  if (!entry)
    return;
  refused.id.job = g_strdup (id->job);
  g_array_append_val (entry->refused, refused);
}

void
az_agent_refusals_flush (struct az_agent_board *board, struct az_agent_entry *entry)
{
  struct az_message message = { .proc = AZ_REFUSED };
  struct az_refused *refused = &message.az_message_u.refused;

  for (guint sent = 0; sent < entry->refused->len; sent += refused->tasks.tasks_len)
    {
      refused->tasks.tasks_val = &g_array_index (entry->refused, struct az_refused_task, sent);
      refused->tasks.tasks_len = MIN (entry->refused->len - sent, AZ_MAX_GRANTS);
      az_agent_send (board, entry, &message);
    }
  g_array_set_size (entry->refused, 0);
}
