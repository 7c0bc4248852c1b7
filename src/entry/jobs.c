#include "entry/jobs.h"
#include "azurerock/job_id.h"
#include "entry/send.h"
#include <string.h>

static size_t
payload_bytes (const struct az_submit *submit)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < submit->tasks.tasks_len; i++)
    bytes += submit->tasks.tasks_val[i].payload.az_payload_len;
  return bytes;
}

struct az_submit *
az_entry_submit_copy (const struct az_submit *submit)
{
  uint32_t n = submit->tasks.tasks_len;
  size_t head = sizeof *submit + n * sizeof (struct az_job_task);
  struct az_submit *copy = g_malloc (head + payload_bytes (submit));
  char *bytes = (char *)copy + head;

  *copy = *submit;
  copy->job = g_strdup (submit->job);
  copy->team = g_strdup (submit->team);
  copy->service = g_strdup (submit->service);
  copy->tasks.tasks_val = (struct az_job_task *)(void *)(copy + 1);
  for (uint32_t i = 0; i < n; i++)
    {
      const struct az_job_task *from = &submit->tasks.tasks_val[i];
      struct az_job_task *to = &copy->tasks.tasks_val[i];

      *to = *from;
      to->payload.az_payload_val = bytes;
      if (from->payload.az_payload_len)
        memcpy (bytes, from->payload.az_payload_val, from->payload.az_payload_len);
      bytes += from->payload.az_payload_len;
    }
  return copy;
}

void
az_entry_submit_free (struct az_submit *submit)
{
  if (!submit)
    return;
  g_free (submit->job);
  g_free (submit->team);
  g_free (submit->service);
  g_free (submit);
}

void
az_entry_answer_free (struct az_answer *answer)
{
  if (!answer)
    return;
  for (uint32_t i = 0; i < answer->results.results_len; i++)
    g_free (answer->results.results_val[i].payload.az_payload_val);
  g_free (answer->results.results_val);
  g_free (answer->job);
  g_free (answer->code);
  g_free (answer->message);
  g_free (answer);
}

uint32_t
az_entry_job_find (const struct az_entry_state *state, const char *id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (state->jobs_by_id, id));
}

static void
fill_tasks (struct az_entry_job *job, uint32_t count)
{
  job->n_tasks = count;
  job->tasks = g_new0 (struct az_entry_task, count);
  job->waiting = g_new (uint32_t, count);
  /* Tasks are taken from the end, so the first one is stored last. */
  for (uint32_t i = 0; i < count; i++)
    job->waiting[i] = count - 1 - i;
  job->n_waiting = count;
}

uint32_t
az_entry_job_add (struct az_entry_state *state,
                  const struct az_submit *submit,
                  enum az_entry_role role,
                  bool is_first_submission)
{
  struct az_entry_timer timer = { .kind = AZ_ENTRY_TIMER_DEADLINE };
  struct az_entry_job *job;
  void *row;

  timer.value = az_table_rows_add (state->jobs, &row);
  job = row;
  job->id = g_strdup (submit->job);
  az_job_id_parse (job->id, &job->id_time_ms);
  job->partition = az_job_id_partition (job->id);
  job->role = role;
  job->is_first_submission = is_first_submission;
  job->attempt = submit->attempt;
  job->arrived_at = state->now;
  job->deadline = az_time_add_ms (state->now, az_entry_deadline_ms (state, submit));
  job->request = az_entry_submit_copy (submit);
  job->waiters = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  job->peers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  if (role == AZ_ENTRY_ROLE_OWNER)
    fill_tasks (job, submit->tasks.tasks_len);
  g_hash_table_insert (state->jobs_by_id, job->id, GUINT_TO_POINTER (timer.value));
  timer.at = job->deadline;
  az_entry_timers_push (state->timers, &timer);
  return timer.value;
}

void
az_entry_job_clear (struct az_entry_job *job)
{
  az_entry_submit_free (job->request);
  az_entry_answer_free (job->answer);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    g_free (job->tasks[i].result.az_payload_val);
  g_free (job->tasks);
  g_free (job->waiting);
  g_clear_pointer (&job->waiters, g_array_unref);
  g_clear_pointer (&job->peers, g_array_unref);
  g_free (job->id);
}

void
az_entry_job_shrink (struct az_entry_job *job)
{
  for (uint32_t i = 0; i < job->n_tasks; i++)
    g_free (job->tasks[i].result.az_payload_val);
  job->n_tasks = 0;
  g_clear_pointer (&job->request, az_entry_submit_free);
  g_clear_pointer (&job->tasks, g_free);
  g_clear_pointer (&job->waiting, g_free);
  g_clear_pointer (&job->waiters, g_array_unref);
  g_clear_pointer (&job->peers, g_array_unref);
}

void
az_entry_job_remove (struct az_entry_state *state, uint32_t handle)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);

  g_hash_table_remove (state->jobs_by_id, job->id);
  az_entry_job_clear (job);
  az_table_rows_remove (state->jobs, handle);
}

bool
az_entry_job_has_started (const struct az_entry_job *job)
{
  return job->n_open || job->n_ok || job->n_failed || job->n_unknown;
}
