#include "load/load.h"
#include <string.h>

/* An HTTP request in flight that submits a job. */
struct submission
{
  struct az_load_job *job;
  uint32_t entry;
};

static const struct az_workload_job *
get_workload_job (const struct az_load_job *job)
{
  return &job->load->workload->jobs[job->workload_index];
}

static void
count_error_code (struct az_load *load, char *code)
{
  guint count;

  if (!code)
    return;
  count = GPOINTER_TO_UINT (g_hash_table_lookup (load->error_codes, code));
  g_hash_table_replace (load->error_codes, code, GUINT_TO_POINTER (count + 1));
}

static void
set_outcome (struct az_load_job *job, enum az_load_outcome outcome, const char *code)
{
  job->outcome = outcome;
  job->answered_us = az_load_now_us (job->load);
  az_event_log_write (job->load->events, "answer", "job", job->id, "outcome",
                      az_load_outcome_name (outcome), "code", code, NULL);
}

/* Only the definite outcomes (done, failed, not_run) can contradict each other: a repeated
 * submission may also be answered as unknown, be lost or be unreadable. */
static bool
is_conflict (enum az_load_outcome first, enum az_load_outcome second)
{
  if (first > AZ_LOAD_NOT_RUN || second > AZ_LOAD_NOT_RUN)
    return false;
  return first != second;
}

static void
record_answer (struct az_load_job *job, const struct az_http_response *response)
{
  struct az_load *load = job->load;
  char *code = NULL;
  bool mismatched = false;
  enum az_load_outcome outcome
      = az_load_answer_parse (response->body, response->body_length, job->id,
                              get_workload_job (job)->n_tasks, &mismatched, &code);

  load->mismatches += mismatched;
  if (mismatched)
    az_event_log_write (load->events, "answer", "job", job->id, "mismatch", "true", NULL);
  if (job->outcome == AZ_LOAD_OPEN)
    set_outcome (job, outcome, code);
  else if (is_conflict (job->outcome, outcome))
    load->conflicts++;
  count_error_code (load, code);
}

static void
on_answer (void *context, const struct az_http_response *response)
{
  struct submission *submission = context;
  struct az_load_job *job = submission->job;
  struct az_load *load = job->load;

  g_free (submission);
  job->in_flight--;
  if (response->result == AZ_HTTP_ANSWERED)
    record_answer (job, response);
  else if (job->outcome == AZ_LOAD_OPEN && job->attempts <= load->settings->lost_retries)
    az_load_job_resubmit (job);
  else if (job->outcome == AZ_LOAD_OPEN && !job->in_flight)
    set_outcome (job, AZ_LOAD_LOST, NULL);
  if (!job->in_flight && job->outcome != AZ_LOAD_OPEN)
    az_load_job_finish (job);
}

static void
send_job (struct az_load_job *job, uint32_t entry)
{
  static const struct az_http_header header = { "content-type", "application/json" };
  struct az_load *load = job->load;
  const struct az_workload_job *workload_job = get_workload_job (job);
  struct submission *submission = g_new (struct submission, 1);
  GString *body = g_string_sized_new (128 + 80 * (gsize)workload_job->n_tasks);
  struct az_load_request request
      = { .id = job->id,
          .team = load->settings->team,
          .service = load->settings->service,
          .deadline_ms = load->settings->deadline_ms,
          .attempt = ++job->attempts,
          .run_times_us = load->workload->run_times_us + workload_job->first_task,
          .n_tasks = workload_job->n_tasks };

  *submission = (struct submission){ job, entry };
  job->in_flight++;
  az_load_request_append_body (&request, body);
  az_http_client_request (load->clients[entry], "POST", "/v1/jobs", &header, 1, body->str,
                          body->len, load->settings->timeout_ms, on_answer, submission);
  g_string_free (body, TRUE);
}

static bool
draw_percent (struct az_load *load, int64_t percent)
{
  return percent && g_rand_int_range (load->random, 0, 100) < percent;
}

static void
log_submit (struct az_load_job *job, uint32_t entry)
{
  char tasks[16];
  char attempt[16];

  g_snprintf (tasks, sizeof tasks, "%u", get_workload_job (job)->n_tasks);
  g_snprintf (attempt, sizeof attempt, "%u", job->attempts + 1);
  az_event_log_write (job->load->events, "submit", "job", job->id, "tasks", tasks, "attempt",
                      attempt, "entry", job->load->settings->entries->pdata[entry], NULL);
}

void
az_load_job_submit (struct az_load *load, int64_t planned_us)
{
  struct az_load_job *job = g_new0 (struct az_load_job, 1);

  job->load = load;
  job->workload_index = load->jobs->len % load->workload->n_jobs;
  job->entry = load->jobs->len % load->settings->entries->len;
  job->sent_us = az_load_now_us (load);
  job->send_lag_us = job->sent_us - planned_us;
  az_load_request_create_id (job->id, az_clock_wall_ms (load->clock), load->random);
  g_ptr_array_add (load->jobs, job);
  load->n_open++;
  if (draw_percent (load, load->settings->cancel_percent))
    g_queue_push_tail (&load->to_cancel, job);
  if (draw_percent (load, load->settings->resubmit_percent))
    g_queue_push_tail (&load->to_resubmit, job);
  log_submit (job, job->entry);
  send_job (job, job->entry);
}

void
az_load_job_resubmit (struct az_load_job *job)
{
  uint32_t entry = (job->entry + job->attempts) % job->load->settings->entries->len;

  /* A finished job counts as open again until its resubmission is answered. */
  if (!job->in_flight && job->outcome != AZ_LOAD_OPEN)
    job->load->n_open++;
  job->load->resubmitted++;
  log_submit (job, entry);
  send_job (job, entry);
}

static void
on_cancelled (void *context, G_GNUC_UNUSED const struct az_http_response *response)
{
  struct az_load_job *job = context;

  job->in_flight--;
  if (!job->in_flight && job->outcome != AZ_LOAD_OPEN)
    az_load_job_finish (job);
}

void
az_load_job_cancel (struct az_load_job *job)
{
  struct az_load *load = job->load;
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", job->id);

  if (job->outcome != AZ_LOAD_OPEN)
    return;
  job->cancelled = true;
  job->in_flight++;
  load->cancelled++;
  az_http_client_request (load->clients[job->entry], "DELETE", path, NULL, 0, NULL, 0,
                          load->settings->timeout_ms, on_cancelled, job);
}
