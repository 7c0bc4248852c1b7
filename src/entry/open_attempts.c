#include "entry/agents.h"
#include "entry/send.h"

static void
send_query (struct az_entry_state *state, const struct az_entry_agent *agent, GArray *attempts)
{
  struct az_message message = { .proc = AZ_QUERY };

  message.az_message_u.query.attempts.attempts_len = attempts->len;
  message.az_message_u.query.attempts.attempts_val = (struct az_attempt *)(void *)attempts->data;
  if (attempts->len)
    az_entry_send (state, agent->connection, &message);
  g_array_set_size (attempts, 0);
}

/* Removes the open attempts whose job has no record, since nobody waits for their outcome. */
static void
remove_orphaned_attempts (struct az_entry_state *state, struct az_entry_agent *agent)
{
  for (guint i = agent->open->len; i > 0; i--)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, i - 1);

      if (az_entry_state_job (state, open->job))
        continue;
      az_team_queue_record_finish (state->queue, open->team);
      az_entry_state_upstream (state, agent->pool)->n_open--;
      g_array_remove_index_fast (agent->open, i - 1);
    }
}

void
az_entry_send_query (struct az_entry_state *state, struct az_entry_agent *agent)
{
  GArray *attempts = g_array_new (FALSE, FALSE, sizeof (struct az_attempt));

  remove_orphaned_attempts (state, agent);
  for (guint i = 0; i < agent->open->len; i++)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (agent->open, struct az_entry_open_attempt, i);
      const struct az_entry_job *job = az_entry_state_job (state, open->job);
      struct az_attempt id = { job->id, open->task, open->attempt };

      g_array_append_val (attempts, id);
      if (attempts->len == AZ_MAX_TASKS)
        send_query (state, agent, attempts);
    }
  send_query (state, agent, attempts);
  g_array_unref (attempts);
}

void
az_entry_send_cancels (struct az_entry_state *state, const struct az_entry_job *job)
{
  GHashTable *notified = g_hash_table_new (NULL, NULL);
  struct az_message message = { .proc = AZ_CANCEL };

  message.az_message_u.cancel.job = job->id;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct az_entry_agent *agent;

      if (job->tasks[i].task_state != AZ_ENTRY_TASK_OPEN
          || !g_hash_table_add (notified, GUINT_TO_POINTER (job->tasks[i].agent)))
        continue;
      agent = az_entry_state_agent (state, job->tasks[i].agent);
      if (!agent || !agent->connection)
        continue;
      az_entry_count (state, state->count.cancelled, 1);
      az_entry_send (state, agent->connection, &message);
    }
  g_hash_table_destroy (notified);
}
