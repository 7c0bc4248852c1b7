#include "load/load.h"

#define TICK_MS 5
#define SAMPLE_US 100000

int64_t
az_load_now_us (const struct az_load *load)
{
  return az_time_diff_us (az_clock_now (load->clock), load->started);
}

/* Rounds run times down to whole milliseconds, the unit of sleep tasks, so that the ideal queue
 * simulates the same run times as are sent. */
static void
round_run_times (struct az_workload *workload)
{
  for (uint32_t i = 0; i < workload->n_tasks; i++)
    workload->run_times_us[i] -= workload->run_times_us[i] % 1000;
}

static void
create_clients (struct az_load *load)
{
  const GPtrArray *entries = load->settings->entries;

  load->clients = g_new0 (struct az_http_client *, entries->len);
  for (guint i = 0; i < entries->len; i++)
    load->clients[i] = az_http_client_create (load->loop, entries->pdata[i],
                                              (unsigned)load->settings->connections);
}

struct az_load *
az_load_create (const struct az_load_settings *settings, uv_loop_t *loop, GError **error)
{
  struct az_load *load = g_new0 (struct az_load, 1);
  struct az_workload_settings workload;

  load->settings = settings;
  load->loop = loop;
  load->clock = az_clock_system ();
  load->events
      = az_event_log_create (settings->event_log, settings->instance, 0, load->clock, error);
  if (!load->events)
    {
      g_free (load);
      return NULL;
    }
  load->random = g_rand_new_with_seed ((guint32)settings->seed);
  az_load_settings_workload (settings, &workload);
  load->workload = az_workload_create (&workload, load->random);
  round_run_times (load->workload);
  /* Job ids must not repeat in a second run with the same seed. */
  g_rand_free (load->random);
  load->random = g_rand_new ();
  load->jobs = g_ptr_array_new_with_free_func (g_free);
  load->busy = g_array_new (FALSE, FALSE, sizeof (int64_t));
  load->error_codes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&load->to_cancel);
  g_queue_init (&load->to_resubmit);
  create_clients (load);
  uv_timer_init (loop, &load->arrival);
  uv_timer_init (loop, &load->tick);
  load->arrival.data = load;
  load->tick.data = load;
  return load;
}

static bool
can_submit (const struct az_load *load)
{
  const struct az_load_settings *settings = load->settings;

  if (load->stopping || !load->workload->n_jobs)
    return false;
  if (settings->jobs && load->jobs->len >= settings->jobs)
    return false;
  if (az_load_settings_is_closed (settings))
    return az_load_now_us (load) < settings->duration_ms * 1000;
  return load->jobs->len < load->workload->n_jobs;
}

static void
on_scrapes_done (struct az_load *load);

struct scrape
{
  struct az_load *load;
  struct az_load_metrics *target;
  struct az_http_client *client;
};

static void
on_metrics (void *context, const struct az_http_response *response)
{
  struct scrape *scrape = context;
  struct az_load *load = scrape->load;

  if (response->result == AZ_HTTP_ANSWERED && response->status == 200)
    az_load_metrics_add (scrape->target, response->body, response->body_length);
  az_http_client_destroy (scrape->client);
  g_free (scrape);
  if (--load->n_scrapes == 0)
    on_scrapes_done (load);
}

static void
scrape_metrics (struct az_load *load, struct az_load_metrics *target)
{
  const GPtrArray *addresses = load->settings->metrics;

  load->n_scrapes = addresses->len;
  for (guint i = 0; i < addresses->len; i++)
    {
      struct scrape *scrape = g_new (struct scrape, 1);

      *scrape = (struct scrape){ load, target, NULL };
      scrape->client = az_http_client_create (load->loop, addresses->pdata[i], 1);
      az_http_client_request (scrape->client, "GET", "/metrics", NULL, 0, NULL, 0, 2000, on_metrics,
                              scrape);
    }
  if (!addresses->len)
    on_scrapes_done (load);
}

static void
end_if_done (struct az_load *load)
{
  if (load->n_open || load->metrics_after || load->n_scrapes || can_submit (load)
      || load->to_resubmit.length || load->to_cancel.length)
    return;
  uv_timer_stop (&load->arrival);
  uv_timer_stop (&load->tick);
  load->metrics_after = az_load_metrics_create ();
  scrape_metrics (load, load->metrics_after);
}

static void
on_arrival (uv_timer_t *timer)
{
  struct az_load *load = timer->data;
  const struct az_workload *workload = load->workload;

  while (can_submit (load) && workload->jobs[load->jobs->len].arrival_us <= az_load_now_us (load))
    az_load_job_submit (load, workload->jobs[load->jobs->len].arrival_us);
  if (can_submit (load))
    {
      int64_t wait_us = workload->jobs[load->jobs->len].arrival_us - az_load_now_us (load);

      uv_update_time (load->loop);
      uv_timer_start (timer, on_arrival, (uint64_t)(MAX (wait_us, 0) + 999) / 1000, 0);
    }
  end_if_done (load);
}

static void
run_due_jobs (struct az_load *load,
              GQueue *queue,
              int64_t after_ms,
              void (*action) (struct az_load_job *))
{
  int64_t now = az_load_now_us (load);

  while (queue->length)
    {
      struct az_load_job *job = g_queue_peek_head (queue);

      if (job->sent_us + after_ms * 1000 > now)
        return;
      g_queue_pop_head (queue);
      action (job);
    }
}

static void
start_sample (struct az_load *load)
{
  if (!load->settings->sample_busy || load->n_scrapes
      || az_load_now_us (load) < load->next_sample_us)
    return;
  load->next_sample_us += SAMPLE_US;
  load->metrics_sample = az_load_metrics_create ();
  scrape_metrics (load, load->metrics_sample);
}

static void
on_tick (uv_timer_t *timer)
{
  struct az_load *load = timer->data;

  run_due_jobs (load, &load->to_cancel, load->settings->cancel_after_ms, az_load_job_cancel);
  run_due_jobs (load, &load->to_resubmit, load->settings->resubmit_after_ms, az_load_job_resubmit);
  start_sample (load);
  end_if_done (load);
}

static void
start_submitting (struct az_load *load)
{
  load->started = az_clock_now (load->clock);
  uv_timer_start (&load->tick, on_tick, TICK_MS, TICK_MS);
  if (!az_load_settings_is_closed (load->settings))
    {
      on_arrival (&load->arrival);
      return;
    }
  for (int64_t i = 0; i < load->settings->concurrency && can_submit (load); i++)
    az_load_job_submit (load, az_load_now_us (load));
}

static void
finish_sample (struct az_load *load)
{
  int64_t busy = (int64_t)az_load_metrics_get (load->metrics_sample, "azurerock_agent_running");

  g_array_append_val (load->busy, busy);
  az_load_metrics_destroy (load->metrics_sample);
  load->metrics_sample = NULL;
}

static void
on_scrapes_done (struct az_load *load)
{
  if (load->metrics_sample)
    finish_sample (load);
  else if (load->metrics_after)
    load->done (load);
  else
    start_submitting (load);
}

void
az_load_start (struct az_load *load, void (*done) (struct az_load *load))
{
  load->done = done;
  load->metrics_before = az_load_metrics_create ();
  scrape_metrics (load, load->metrics_before);
}

void
az_load_job_finish (struct az_load_job *job)
{
  struct az_load *load = job->load;
  bool had_successor = job->has_successor;

  load->n_open--;
  job->has_successor = true;
  if (az_load_settings_is_closed (load->settings) && !had_successor && can_submit (load))
    az_load_job_submit (load, az_load_now_us (load));
  end_if_done (load);
}

void
az_load_stop (struct az_load *load)
{
  load->stopping = true;
  end_if_done (load);
}

void
az_load_close (struct az_load *load)
{
  for (guint i = 0; i < load->settings->entries->len; i++)
    az_http_client_destroy (load->clients[i]);
  uv_close ((uv_handle_t *)&load->arrival, NULL);
  uv_close ((uv_handle_t *)&load->tick, NULL);
}

void
az_load_destroy (struct az_load *load)
{
  az_workload_destroy (load->workload);
  az_event_log_destroy (load->events);
  az_load_metrics_destroy (load->metrics_before);
  az_load_metrics_destroy (load->metrics_after);
  g_ptr_array_unref (load->jobs);
  g_array_unref (load->busy);
  g_hash_table_unref (load->error_codes);
  g_queue_clear (&load->to_cancel);
  g_queue_clear (&load->to_resubmit);
  g_rand_free (load->random);
  g_free (load->clients);
  g_free (load);
}
