#include "azurerock/http_client.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Measures the latency of jobs and the tasks per second of running entries in a closed loop. Job
 * ids are random, so with several entries most jobs are forwarded.
 * Usage: jobs ADDRESS JOBS CONCURRENCY TASKS SLEEP_MS
 */
struct bench
{
  struct az_http_client *client;
  GRand *random;
  long remaining_jobs;
  long n_answered;
  long n_failed;
  int tasks_per_job;
  int sleep_ms;
  GArray *latencies_us;
};

struct job
{
  struct bench *bench;
  uint64_t sent_ns;
};

static void
send_next (struct bench *bench);

static void
handle_response (void *context, const struct az_http_response *response)
{
  struct job *job = context;
  struct bench *bench = job->bench;
  double latency_us = (double)(uv_hrtime () - job->sent_ns) / 1e3;

  if (response->result != AZ_HTTP_ANSWERED || response->status != 200)
    {
      if (bench->n_failed++ < 3)
        fprintf (stderr, "%d %s %.*s\n", response->status, response->error ? response->error : "",
                 (int)MIN (response->body_length, 200), response->body);
    }
  g_array_append_val (bench->latencies_us, latency_us);
  bench->n_answered++;
  g_free (job);
  send_next (bench);
}

static GString *
print_job (struct bench *bench)
{
  GString *body = g_string_new (NULL);

  g_string_append_printf (body,
                          "{\"id\":\"%013" G_GINT64_FORMAT "-bench%08x%08x\",\"team\":\"staff\","
                          "\"service\":\"demo\",\"attempt\":1,\"tasks\":[",
                          g_get_real_time () / 1000, g_rand_int (bench->random),
                          g_rand_int (bench->random));
  for (int i = 0; i < bench->tasks_per_job; i++)
    g_string_append_printf (body,
                            "%s{\"payload\":\"{\\\"sleep_ms\\\":%d,\\\"echo\\\":\\\"%d\\\"}\"}",
                            i ? "," : "", bench->sleep_ms, i);
  g_string_append (body, "]}");
  return body;
}

static void
send_next (struct bench *bench)
{
  struct job *job;
  GString *body;

  if (bench->remaining_jobs-- <= 0)
    return;
  job = g_new0 (struct job, 1);
  body = print_job (bench);
  job->bench = bench;
  job->sent_ns = uv_hrtime ();
  az_http_client_request (bench->client, "POST", "/v1/jobs", NULL, 0, body->str, body->len, 30000,
                          handle_response, job);
  g_string_free (body, TRUE);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
quantile_ms (const GArray *sorted, double q)
{
  return g_array_index (sorted, double, (guint)(q * (sorted->len - 1))) / 1e3;
}

int
main (int argc, char **argv)
{
  struct bench bench = { 0 };
  long jobs = argc > 2 ? atol (argv[2]) : 1000;
  int concurrency = argc > 3 ? atoi (argv[3]) : 1;
  uint64_t start_ns;
  double seconds;
  uv_loop_t loop;

  if (argc < 6)
    return 2;
  uv_loop_init (&loop);
  bench.tasks_per_job = atoi (argv[4]);
  bench.sleep_ms = atoi (argv[5]);
  bench.random = g_rand_new ();
  bench.remaining_jobs = jobs;
  bench.latencies_us = g_array_new (FALSE, FALSE, sizeof (double));
  bench.client = az_http_client_create (&loop, argv[1], (unsigned)concurrency);
  start_ns = uv_hrtime ();
  for (int i = 0; i < concurrency; i++)
    send_next (&bench);
  while (bench.n_answered < jobs)
    uv_run (&loop, UV_RUN_ONCE);
  seconds = (double)(uv_hrtime () - start_ns) / 1e9;
  g_array_sort (bench.latencies_us, compare_doubles);
  printf ("%ld jobs of %d tasks, %d at once: %.0f tasks/s, ms p50 %.2f p99 %.2f max %.2f, "
          "%ld failed\n",
          jobs, bench.tasks_per_job, concurrency, (double)jobs * bench.tasks_per_job / seconds,
          quantile_ms (bench.latencies_us, 0.5), quantile_ms (bench.latencies_us, 0.99),
          quantile_ms (bench.latencies_us, 1), bench.n_failed);
  return bench.n_failed > 0;
}
