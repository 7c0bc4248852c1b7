#include "azurerock/log.h"
#include "gateway/crashes.h"
#include "gateway/state.h"
#include <string.h>

/* Assumed wait time of a caller that states none. */
#define WAIT_DEFAULT_MS 10000

/* Longer wait times are cut, so that deadlines can be calculated. */
#define WAIT_MAX_MS 86400000

static void
free_job (struct az_gateway *gateway, struct job *job)
{
  g_hash_table_remove (gateway->jobs, &job->number);
  az_job_request_clear (&job->request);
  g_array_unref (job->callers);
  g_free (job->steps);
  g_free (job->tasks);
  g_free (job->id);
  g_free (job);
}

/* Steps follow their dependencies, so one pass is sufficient. */
static int64_t
compute_critical_path_us (const struct az_gateway *gateway, const struct job *job)
{
  int64_t *end_us = g_new0 (int64_t, job->request.n_steps + 1);
  int64_t longest_us = 0;

  for (size_t i = 0; i < job->request.n_steps; i++)
    {
      const struct az_job_step *step = &job->request.steps[i];

      for (size_t k = 0; k < step->n_after; k++)
        end_us[i] = MAX (end_us[i], end_us[step->after[k]]);
      end_us[i] += az_gateway_expected_run_us (gateway, job, i, NULL);
      longest_us = MAX (longest_us, end_us[i]);
    }
  g_free (end_us);
  return longest_us;
}

static void
create_tasks (struct job *job)
{
  job->steps = g_new0 (struct step, job->request.n_steps);
  for (size_t i = 0; i < job->request.n_steps; i++)
    {
      job->steps[i].first_task = job->n_tasks;
      job->steps[i].n_waiting = job->request.steps[i].n_tasks;
      job->n_tasks += job->request.steps[i].n_tasks;
    }
  job->tasks = g_new0 (struct task, job->n_tasks);
  job->n_waiting = job->n_tasks;
}

static int64_t
compute_deadline_us (const struct az_gateway *gateway, int64_t wait_ms)
{
  if (wait_ms <= 0)
    wait_ms = WAIT_DEFAULT_MS;
  return az_gateway_earliest_arrival_us (gateway) + MIN (wait_ms, WAIT_MAX_MS) * AZ_US_PER_MS;
}

static struct job *
create_job (struct az_gateway *gateway,
            const struct az_route *route,
            const char *id,
            struct az_job_request *request,
            int64_t wait_ms)
{
  struct job *job = g_new0 (struct job, 1);

  job->number = ++gateway->last_job_number;
  job->id = g_strdup (id);
  job->callers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  job->queue = az_gateway_get_or_add_queue (gateway, route);
  job->request = *request;
  memset (request, 0, sizeof *request);
  job->priority = route->priority;
  job->max_failures = MAX (route->max_failures, 1);
  job->arrived_us = gateway->now_us;
  job->deadline_us = compute_deadline_us (gateway, wait_ms);
  create_tasks (job);
  job->critical_path_us = compute_critical_path_us (gateway, job);
  job->objective_us = gateway->now_us
                      + (int64_t)(route->slack_factor * (double)job->critical_path_us)
                      + route->objective_ms * AZ_US_PER_MS;
  /* A caller that resubmits a job may have less time left than the objective grants. */
  job->objective_us = MIN (job->objective_us, job->deadline_us);
  g_hash_table_insert (gateway->jobs, &job->number, job);
  g_hash_table_insert (gateway->job_ids, job->id, job);
  az_gateway_count_arrival (gateway, job);
  return job;
}

static void
add_caller (struct az_gateway *gateway, struct job *job, uint32_t caller)
{
  g_array_append_val (job->callers, caller);
  g_hash_table_insert (gateway->callers, GUINT_TO_POINTER (caller), job);
}

static void
expire_job (struct az_gateway *gateway, struct job *job)
{
  if (!job->is_answered && gateway->now_us >= job->deadline_us)
    {
      az_counters_add (gateway->counters, gateway->c_expired, 1);
      az_gateway_end_job (gateway, job, job->n_started > 0 ? AZ_JOB_UNFINISHED : AZ_JOB_NOT_RUN,
                          1000, "deadline passed");
    }
  az_gateway_expire_orphans (gateway, job);
  az_gateway_release_job (gateway, job);
}

/* Run time estimates are off by some tens of percent. */
#define STOP_RUN_FACTOR 1.6
#define STOP_RESERVE_MS 50

static bool
would_outlast_stop (const struct az_gateway *gateway, const struct job *job)
{
  int64_t end_us = gateway->now_us + (int64_t)((double)job->critical_path_us * STOP_RUN_FACTOR)
                   + STOP_RESERVE_MS * AZ_US_PER_MS;

  return gateway->stop_us > 0 && end_us > gateway->stop_us;
}

void
az_gateway_submit (struct az_gateway *gateway,
                   uint32_t caller,
                   const struct az_route *route,
                   const char *id,
                   struct az_job_request *request,
                   int64_t wait_ms)
{
  struct job *job = g_hash_table_lookup (gateway->job_ids, id);
  const char *reason;
  bool is_permanent;

  gateway->now_us = az_now_us (gateway->clock);
  if (job)
    {
      az_log (LOG_INFO, "event=submit job=%s outcome=joined", id);
      az_job_request_clear (request);
      add_caller (gateway, job, caller);
      return;
    }
  job = create_job (gateway, route, id, request, wait_ms);
  add_caller (gateway, job, caller);
  az_counters_add (gateway->counters, gateway->c_jobs, 1);
  az_log (LOG_INFO,
          "event=submit job=%s queue=%s tasks=%u cpu=%u estimate_ms=%u wait_ms=%" G_GINT64_FORMAT
          " unread_ms=%" G_GINT64_FORMAT " objective_ms=%" G_GINT64_FORMAT
          " version=%" G_GUINT64_FORMAT " evidence_age_ms=%" G_GINT64_FORMAT,
          id, job->queue->name, job->n_tasks, job->request.steps[0].need.cpu_milli,
          job->request.steps[0].estimate_ms, wait_ms,
          (gateway->now_us - az_gateway_earliest_arrival_us (gateway)) / AZ_US_PER_MS,
          (job->objective_us - gateway->now_us) / AZ_US_PER_MS,
          az_gateway_catalog_version (gateway), az_gateway_catalog_age_ms (gateway));
  if (az_gateway_recall_crashes (gateway, job))
    {
      az_gateway_give_up_crashed_job (gateway, job);
      az_gateway_release_job (gateway, job);
      return;
    }
  if (job->deadline_us <= gateway->now_us)
    {
      expire_job (gateway, job);
      return;
    }
  if (az_gateway_is_cancelled (gateway, id))
    {
      az_gateway_end_job (gateway, job, AZ_JOB_NOT_RUN, 0, "cancelled before it arrived");
      az_gateway_release_job (gateway, job);
      return;
    }
  reason = az_gateway_check_feasibility (gateway, job, &is_permanent);
  if (!reason && would_outlast_stop (gateway, job))
    reason = "the gateway is stopping";
  if (reason)
    az_gateway_end_job (gateway, job, is_permanent ? AZ_JOB_FAILED : AZ_JOB_NOT_RUN, 1000, reason);
  gateway->needs_placing = true;
}

static void
count_outcome (struct az_gateway *gateway, const struct job *job, enum az_job_outcome outcome)
{
  switch (outcome)
    {
    case AZ_JOB_COMPLETED:
      az_histogram_observe (&gateway->response_ms,
                            (uint64_t)(gateway->now_us - job->arrived_us) / AZ_US_PER_MS);
      az_counters_add (gateway->counters, gateway->c_completed, 1);
      break;
    case AZ_JOB_FAILED:
      az_counters_add (gateway->counters, gateway->c_failed, 1);
      break;
    case AZ_JOB_NOT_RUN:
      az_counters_add (gateway->counters, gateway->c_refused, 1);
      break;
    case AZ_JOB_UNFINISHED:
      az_counters_add (gateway->counters, gateway->c_unfinished, 1);
      break;
    }
}

static void
drop_waiting_tasks (struct job *job)
{
  job->n_waiting = 0;
  for (size_t i = 0; i < job->request.n_steps; i++)
    job->steps[i].n_waiting = 0;
}

void
az_gateway_end_job (struct az_gateway *gateway,
                    struct job *job,
                    enum az_job_outcome outcome,
                    int64_t retry_after_ms,
                    const char *reason)
{
  static const char *const names[] = { "completed", "failed", "not-run", "unfinished" };
  const struct az_job_answer answer
      = { .outcome = outcome, .retry_after_ms = retry_after_ms, .reason = reason };

  if (job->is_answered)
    return;
  job->is_answered = true;
  count_outcome (gateway, job, outcome);
  az_log (LOG_INFO,
          "event=answer job=%s outcome=%s after_ms=%" G_GINT64_FORMAT
          " objective_ms=%" G_GINT64_FORMAT " done=%u of=%u live=%u reason=\"%s\"",
          job->id, names[outcome], (gateway->now_us - job->arrived_us) / AZ_US_PER_MS,
          (job->objective_us - job->arrived_us) / AZ_US_PER_MS, job->n_done, job->n_tasks,
          job->n_in_flight, reason);
  g_hash_table_remove (gateway->job_ids, job->id);
  for (guint i = 0; i < job->callers->len; i++)
    {
      uint32_t caller = g_array_index (job->callers, uint32_t, i);

      g_hash_table_remove (gateway->callers, GUINT_TO_POINTER (caller));
      gateway->io.answer (gateway->io.context, caller, &answer);
    }
  g_array_set_size (job->callers, 0);
  az_gateway_stop_job_tasks (gateway, job);
  drop_waiting_tasks (job);
}

void
az_gateway_give_up_crashed_job (struct az_gateway *gateway, struct job *job)
{
  if (job->is_answered)
    return;
  az_counters_add (gateway->counters, gateway->c_crashed, 1);
  az_gateway_end_job (gateway, job, AZ_JOB_FAILED, 0, "a task has crashed its upstreams");
}

void
az_gateway_release_job (struct az_gateway *gateway, struct job *job)
{
  if (job->is_answered && job->n_in_flight == 0)
    free_job (gateway, job);
}

void
az_gateway_caller_disconnected (struct az_gateway *gateway, uint32_t caller)
{
  struct job *job = g_hash_table_lookup (gateway->callers, GUINT_TO_POINTER (caller));

  if (!job)
    return;
  gateway->now_us = az_now_us (gateway->clock);
  g_hash_table_remove (gateway->callers, GUINT_TO_POINTER (caller));
  for (guint i = 0; i < job->callers->len; i++)
    if (g_array_index (job->callers, uint32_t, i) == caller)
      g_array_remove_index_fast (job->callers, i--);
  if (job->callers->len > 0)
    return;
  az_counters_add (gateway->counters, gateway->c_given_up, 1);
  az_gateway_end_job (gateway, job, job->n_started > 0 ? AZ_JOB_UNFINISHED : AZ_JOB_NOT_RUN, 0,
                      "the caller has gone");
  az_gateway_release_job (gateway, job);
}

size_t
az_gateway_n_pending (const struct az_gateway *gateway, const char *route)
{
  GHashTableIter iterator;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iterator, gateway->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct job *job = value;

      n += !job->is_answered && job->n_started == 0 && !strcmp (job->queue->name, route);
    }
  return n;
}

size_t
az_gateway_n_jobs (const struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;
  size_t n = 0;

  g_hash_table_iter_init (&iterator, gateway->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    n += !((const struct job *)value)->is_answered;
  return n;
}

void
az_gateway_expire_jobs (struct az_gateway *gateway)
{
  g_autoptr (GList) jobs = g_hash_table_get_values (gateway->jobs);

  for (GList *link = jobs; link; link = link->next)
    expire_job (gateway, link->data);
}

void
az_gateway_refuse_unfit_jobs (struct az_gateway *gateway)
{
  g_autoptr (GList) jobs = g_hash_table_get_values (gateway->jobs);

  for (GList *link = jobs; link; link = link->next)
    {
      struct job *job = link->data;
      bool is_permanent;
      const char *reason
          = job->was_placed ? NULL : az_gateway_find_unfit_reason (gateway, job, &is_permanent);

      if (reason)
        az_gateway_end_job (gateway, job, AZ_JOB_NOT_RUN, 1000, reason);
    }
}

void
az_gateway_stop (struct az_gateway *gateway, int64_t left_ms)
{
  gateway->stop_us = az_now_us (gateway->clock) + left_ms * AZ_US_PER_MS;
}

void
az_gateway_abandon_jobs (struct az_gateway *gateway)
{
  g_autoptr (GList) jobs = g_hash_table_get_values (gateway->jobs);

  gateway->now_us = az_now_us (gateway->clock);
  for (GList *link = jobs; link; link = link->next)
    {
      struct job *job = link->data;

      az_gateway_end_job (gateway, job, job->n_started > 0 ? AZ_JOB_UNFINISHED : AZ_JOB_NOT_RUN,
                          100, "the gateway is stopping");
    }
}
