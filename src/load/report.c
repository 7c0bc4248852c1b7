#include "load/ideal_queue.h"
#include "load/load.h"
#include "load/quantile.h"
#include <jansson.h>
#include <stdio.h>

#define BIN_US 100000

/* Response times of the jobs that were done, those of the ideal queue for the same jobs, and the
 * delays of their submission, each in ascending order and in microseconds. */
struct responses
{
  int64_t *measured;
  int64_t *ideal;
  int64_t *send_lag;
  uint32_t n;
};

static const struct az_workload_job *
get_workload_job (const struct az_load *load, const struct az_load_job *job)
{
  return &load->workload->jobs[job->workload_index];
}

/* Simulates the ideal queue, which is one central queue without network or dispatch delay, for the
 * jobs that were done. Each job arrives at the time at which it was sent. */
static void
simulate_ideal_queue (const struct az_load *load, struct responses *responses)
{
  struct az_workload done = { .run_times_us = load->workload->run_times_us };

  done.jobs = g_new0 (struct az_workload_job, load->jobs->len + 1);
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const struct az_load_job *job = load->jobs->pdata[i];

      if (job->outcome != AZ_LOAD_DONE)
        continue;
      done.jobs[done.n_jobs] = *get_workload_job (load, job);
      done.jobs[done.n_jobs].arrival_us = job->sent_us;
      responses->measured[done.n_jobs] = job->answered_us - job->sent_us;
      responses->send_lag[done.n_jobs++] = job->send_lag_us;
    }
  responses->n = done.n_jobs;
  responses->ideal = az_ideal_queue_simulate (&done, (uint32_t)load->settings->slots, NULL, NULL);
  g_free (done.jobs);
}

static void
collect_responses (const struct az_load *load, struct responses *responses)
{
  responses->measured = g_new0 (int64_t, load->jobs->len + 1);
  responses->send_lag = g_new0 (int64_t, load->jobs->len + 1);
  simulate_ideal_queue (load, responses);
  az_quantile_sort (responses->measured, responses->n);
  az_quantile_sort (responses->ideal, responses->n);
  az_quantile_sort (responses->send_lag, responses->n);
}

static void
free_responses (struct responses *responses)
{
  g_free (responses->measured);
  g_free (responses->ideal);
  g_free (responses->send_lag);
}

static json_t *
print_quantile (const struct responses *responses, uint32_t per_mille)
{
  double measured = (double)az_quantile (responses->measured, responses->n, per_mille);
  double ideal = (double)az_quantile (responses->ideal, responses->n, per_mille);

  return json_pack ("{s:f, s:f, s:f}", "ms", measured / 1000, "ideal_ms", ideal / 1000, "ratio",
                    ideal > 0 ? measured / ideal : 0.0);
}

static json_t *
print_response (const struct responses *responses)
{
  return json_pack ("{s:i, s:o, s:o, s:o, s:f}", "jobs", (int)responses->n, "p50",
                    print_quantile (responses, 500), "p90", print_quantile (responses, 900), "p99",
                    print_quantile (responses, 990), "send_lag_p99_ms",
                    (double)az_quantile (responses->send_lag, responses->n, 990) / 1000);
}

static json_t *
print_outcomes (const struct az_load *load)
{
  json_t *outcomes = json_object ();
  uint32_t counts[AZ_LOAD_N_OUTCOMES] = { 0 };

  for (guint i = 0; i < load->jobs->len; i++)
    counts[((const struct az_load_job *)load->jobs->pdata[i])->outcome]++;
  for (int i = AZ_LOAD_DONE; i < AZ_LOAD_N_OUTCOMES; i++)
    json_object_set_new (outcomes, az_load_outcome_name (i), json_integer (counts[i]));
  return outcomes;
}

static json_t *
print_error_codes (const struct az_load *load)
{
  json_t *error_codes = json_object ();
  GHashTableIter iter;
  gpointer code;
  gpointer count;

  g_hash_table_iter_init (&iter, load->error_codes);
  while (g_hash_table_iter_next (&iter, &code, &count))
    json_object_set_new (error_codes, code, json_integer (GPOINTER_TO_UINT (count)));
  return error_codes;
}

static int64_t
sum_work_us (const struct az_load *load, const struct az_load_job *job)
{
  const struct az_workload_job *workload_job = get_workload_job (load, job);
  int64_t work_us = 0;

  for (uint32_t i = 0; i < workload_job->n_tasks; i++)
    work_us += load->workload->run_times_us[workload_job->first_task + i];
  return work_us;
}

static void
add_to_bin (GArray *bins, int64_t time_us, int64_t value)
{
  guint bin = (guint)(MAX (time_us, 0) / BIN_US);

  if (bin >= bins->len)
    g_array_set_size (bins, bin + 1);
  g_array_index (bins, int64_t, bin) += value;
}

static json_t *
print_bins (GArray *bins, double unit)
{
  json_t *list = json_array ();

  for (guint i = 0; i < bins->len; i++)
    json_array_append_new (list, json_real ((double)g_array_index (bins, int64_t, i) / unit));
  g_array_unref (bins);
  return list;
}

/* Adds time series: the run time of all jobs by time of submission, and the run time and the tasks
 * of jobs answered "done" by time of the answer. */
static void
add_time_series (const struct az_load *load, json_t *report)
{
  GArray *offered = g_array_new (FALSE, TRUE, sizeof (int64_t));
  GArray *done = g_array_new (FALSE, TRUE, sizeof (int64_t));
  GArray *tasks = g_array_new (FALSE, TRUE, sizeof (int64_t));

  for (guint i = 0; i < load->jobs->len; i++)
    {
      const struct az_load_job *job = load->jobs->pdata[i];
      int64_t work_us = sum_work_us (load, job);

      add_to_bin (offered, job->sent_us, work_us);
      if (job->outcome != AZ_LOAD_DONE)
        continue;
      add_to_bin (done, job->answered_us, work_us);
      add_to_bin (tasks, job->answered_us, get_workload_job (load, job)->n_tasks);
    }
  json_object_set_new (report, "offered_s_per_100ms", print_bins (offered, 1e6));
  json_object_set_new (report, "done_s_per_100ms", print_bins (done, 1e6));
  json_object_set_new (report, "done_tasks_per_100ms", print_bins (tasks, 1));
}

/* Lists for each job its time of submission in microseconds, then the run times of its tasks in
 * milliseconds. */
static json_t *
print_jobs (const struct az_load *load)
{
  json_t *jobs = json_array ();

  for (guint i = 0; i < load->jobs->len; i++)
    {
      const struct az_load_job *job = load->jobs->pdata[i];
      const struct az_workload_job *workload_job = get_workload_job (load, job);
      json_t *row = json_array ();

      json_array_append_new (row, json_integer (job->sent_us));
      for (uint32_t task = 0; task < workload_job->n_tasks; task++)
        json_array_append_new (
            row,
            json_integer (load->workload->run_times_us[workload_job->first_task + task] / 1000));
      json_array_append_new (jobs, row);
    }
  return jobs;
}

static json_t *
print_busy_samples (const struct az_load *load)
{
  json_t *samples = json_array ();

  for (guint i = 0; i < load->busy->len; i++)
    json_array_append_new (samples, json_integer (g_array_index (load->busy, int64_t, i)));
  return samples;
}

static json_t *
print_messages (const struct az_load *load)
{
  json_t *kinds = json_object ();
  struct az_load_messages messages
      = az_load_metrics_count_messages (load->metrics_before, load->metrics_after, kinds);
  double n_starts = MAX (messages.n_starts, 1);

  return json_pack ("{s:f, s:f, s:f, s:f, s:f, s:o}", "starts", messages.n_starts, "per_start",
                    messages.n_others / n_starts, "fixed_rate", messages.n_fixed_rate, "wasted",
                    messages.n_wasted, "wasted_percent",
                    100 * messages.n_wasted / MAX (messages.n_others, 1), "kinds", kinds);
}

static int64_t
last_answer_us (const struct az_load *load)
{
  int64_t last = 0;

  for (guint i = 0; i < load->jobs->len; i++)
    last = MAX (last, ((const struct az_load_job *)load->jobs->pdata[i])->answered_us);
  return last;
}

static json_t *
make_report (const struct az_load *load)
{
  struct responses responses = { 0 };
  json_t *report;

  collect_responses (load, &responses);
  report = json_pack ("{s:I, s:i, s:f, s:o, s:o, s:I, s:I, s:I, s:I, s:o}", "seed",
                      load->settings->seed, "submitted", (int)load->jobs->len, "seconds",
                      (double)last_answer_us (load) / 1e6, "outcomes", print_outcomes (load),
                      "codes", print_error_codes (load), "mismatches", load->mismatches,
                      "conflicts", load->conflicts, "resubmitted", load->resubmitted, "cancelled",
                      load->cancelled, "response", print_response (&responses));
  json_object_set_new (report, "start_mono_us",
                       json_integer (az_time_to_ns (load->started) / 1000));
  add_time_series (load, report);
  if (load->settings->list_jobs)
    json_object_set_new (report, "jobs", print_jobs (load));
  if (load->settings->sample_busy)
    json_object_set_new (report, "busy_slots_per_100ms", print_busy_samples (load));
  if (load->settings->metrics->len)
    json_object_set_new (report, "messages", print_messages (load));
  free_responses (&responses);
  return report;
}

static void
print_summary (json_t *report)
{
  static const char *const quantiles[] = { "p50", "p90", "p99" };
  json_t *response = json_object_get (report, "response");
  json_t *messages = json_object_get (report, "messages");
  json_t *outcomes = json_object_get (report, "outcomes");
  const char *name;
  json_t *count;

  json_object_foreach (outcomes, name, count)
  {
    printf ("%s %" JSON_INTEGER_FORMAT "\n", name, json_integer_value (count));
  }
  printf ("mismatches %" JSON_INTEGER_FORMAT "\n",
          json_integer_value (json_object_get (report, "mismatches")));
  printf ("conflicts %" JSON_INTEGER_FORMAT "\n",
          json_integer_value (json_object_get (report, "conflicts")));
  for (guint i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      json_t *row = json_object_get (response, quantiles[i]);

      printf ("response %s %.3f ms, ideal %.3f ms, ratio %.4f\n", quantiles[i],
              json_number_value (json_object_get (row, "ms")),
              json_number_value (json_object_get (row, "ideal_ms")),
              json_number_value (json_object_get (row, "ratio")));
    }
  if (messages)
    printf ("messages per start %.3f, wasted %.2f%%\n",
            json_number_value (json_object_get (messages, "per_start")),
            json_number_value (json_object_get (messages, "wasted_percent")));
}

bool
az_load_report (struct az_load *load)
{
  json_t *report = make_report (load);
  bool written = true;

  print_summary (report);
  if (load->settings->output)
    written = !json_dump_file (report, load->settings->output,
                               JSON_INDENT (1) | JSON_REAL_PRECISION (8));
  if (!written)
    fprintf (stderr, "cannot write %s\n", load->settings->output);
  json_decref (report);
  return written && !load->mismatches && !load->conflicts;
}
