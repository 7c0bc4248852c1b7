#include "entry/agents.h"
#include "entry/send.h"

static void
send_query (struct az_entry_board *board, const struct az_entry_agent *agent, GArray *attempts)
{
  struct az_message message = { .proc = AZ_QUERY };

  message.az_message_u.query.attempts.attempts_len = attempts->len;
  message.az_message_u.query.attempts.attempts_val = (struct az_attempt *)(void *)attempts->data;
  if (attempts->len)
    az_entry_send (board, agent->connection, &message);
  g_array_set_size (attempts, 0);
}

/* Removes the open attempts whose job has no record, since nobody waits for their outcome. */
static void
remove_orphaned_attempts (struct az_entry_board *board, struct az_entry_agent *agent)
{
  for (guint i = agent->open->len; i > 0; i--)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, i - 1);

      if (az_entry_board_job (board, open->job))
        continue;
      az_team_queue_record_finish (board->queue, open->team);
      az_entry_board_pool (board, agent->pool)->n_open--;
      g_array_remove_index_fast (agent->open, i - 1);
    }
}

void
az_entry_send_query (struct az_entry_board *board, struct az_entry_agent *agent)
{
  GArray *attempts = g_array_new (FALSE, FALSE, sizeof (struct az_attempt));

  remove_orphaned_attempts (board, agent);
  for (guint i = 0; i < agent->open->len; i++)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, i);
      const struct az_entry_job *job = az_entry_board_job (board, open->job);
      struct az_attempt id = { job->id, open->task, open->attempt };

      g_array_append_val (attempts, id);
      if (attempts->len == AZ_MAX_TASKS)
        send_query (board, agent, attempts);
    }
  send_query (board, agent, attempts);
  g_array_unref (attempts);
}

void
az_entry_send_cancels (struct az_entry_board *board, const struct az_entry_job *job)
{
  GHashTable *notified = g_hash_table_new (NULL, NULL);
  struct az_message message = { .proc = AZ_CANCEL };

  message.az_message_u.cancel.job = job->id;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct az_entry_agent *agent;

      if (job->tasks[i].state != AZ_ENTRY_TASK_OPEN
          || !g_hash_table_add (notified, GUINT_TO_POINTER (job->tasks[i].agent)))
        continue;
      agent = az_entry_board_agent (board, job->tasks[i].agent);
      if (!agent || !agent->connection)
        continue;
      az_entry_count (board, board->count.cancelled, 1);
      az_entry_send (board, agent->connection, &message);
    }
  g_hash_table_destroy (notified);
}
