#include "gateway/crashes.h"
#include "gateway/interference.h"
#include "gateway/published.h"
#include "gateway/separation.h"
#include "gateway/sessions.h"
#include "gateway/state.h"

static const struct az_ejection_policy ejection_policy
    = { .failures = 3, .window = 8, .max_share_percent = 40, .base_ms = 600, .max_ms = 2500 };

static void
free_session (gpointer value)
{
  struct session *session = value;

  g_free (session->address);
  g_free (session->instance);
  g_free (session->peer_address);
  g_free (session);
}

static void
free_upstream (gpointer value)
{
  struct upstream *upstream = value;

  az_gateway_forget_interference (upstream);
  g_free (upstream->instance);
  g_free (upstream->domain);
  g_free (upstream->service);
  g_ptr_array_unref (upstream->labels);
  g_array_unref (upstream->reservations);
  g_free (upstream);
}

static void
free_queue (gpointer value)
{
  struct queue *queue = value;

  g_free (queue->name);
  g_free (queue->service);
  g_free (queue);
}

static void
destroy_suspicion (gpointer value)
{
  az_crash_suspicion_destroy (value);
}

static void
register_counters (struct az_gateway *gateway)
{
  const struct
  {
    uint32_t *counter;
    const char *name;
    const char *help;
  } rows[] = {
    { &gateway->c_jobs, "azurerock_gateway_jobs_total", "Jobs taken from callers" },
    { &gateway->c_completed, "azurerock_gateway_completed_total", "Jobs with all tasks done" },
    { &gateway->c_failed, "azurerock_gateway_failed_total", "Jobs answered as failed" },
    { &gateway->c_refused, "azurerock_gateway_refused_total", "Jobs answered as not run" },
    { &gateway->c_unfinished, "azurerock_gateway_unfinished_total",
      "Jobs given up after a task had started" },
    { &gateway->c_expired, "azurerock_gateway_expired_total", "Jobs whose deadline passed" },
    { &gateway->c_given_up, "azurerock_gateway_given_up_total", "Jobs whose caller has gone" },
    { &gateway->c_retried, "azurerock_gateway_retries_total", "Tasks that had to be sent again" },
    { &gateway->c_crashed, "azurerock_gateway_crashed_total",
      "Jobs given up because upstreams crashed under them" },
    { &gateway->c_moved, "azurerock_gateway_moves_total", "Tasks moved off a slow upstream" },
    { &gateway->c_moves_long, "azurerock_gateway_moves_refused_long_total",
      "Tasks left on their upstream because they are probably long" },
    { &gateway->c_moves_budget, "azurerock_gateway_moves_refused_budget_total",
      "Tasks left on their upstream because of the work already thrown away" },
    { &gateway->c_examined, "azurerock_gateway_examined_total",
      "Upstreams examined in the search for room" },
    { &gateway->c_share_waits, "azurerock_gateway_share_waits_total",
      "Jobs that waited because the gateway used its share of the cores" },
    { &gateway->c_suspected, "azurerock_gateway_suspected_queues_total",
      "Queues that came under suspicion of crashing upstreams" },
  };

  az_histogram_init (&gateway->response_ms, gateway->counters, "azurerock_gateway_response_ms",
                     "Time from the submission of a job to its completion");
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    *rows[i].counter = az_counters_register (gateway->counters, rows[i].name, rows[i].help);
}

struct az_gateway *
az_gateway_create (const struct az_gateway_settings *settings,
                   uint64_t incarnation,
                   const struct az_clock *clock,
                   const struct az_gateway_io *io,
                   struct az_counters *counters)
{
  struct az_gateway *gateway = g_new0 (struct az_gateway, 1);

  gateway->settings = *settings;
  gateway->settings.relative_slowness &= settings->tail_aware_moves;
  gateway->incarnation = incarnation;
  gateway->clock = clock;
  gateway->io = *io;
  gateway->counters = counters;
  gateway->now_us = az_now_us (clock);
  gateway->started_us = gateway->now_us;
  gateway->last_open_us = gateway->now_us;
  gateway->last_tick_us = gateway->now_us;
  gateway->sessions = g_hash_table_new_full (NULL, NULL, NULL, free_session);
  gateway->upstreams = g_ptr_array_new_with_free_func (free_upstream);
  gateway->members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gateway->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  gateway->job_ids = g_hash_table_new (g_str_hash, g_str_equal);
  gateway->callers = g_hash_table_new (NULL, NULL);
  gateway->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_queue);
  gateway->suspicions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_suspicion);
  gateway->withdrawals.domains = g_ptr_array_new_with_free_func (g_free);
  gateway->ejector = az_ejector_create (clock);
  gateway->crash_record = az_crash_record_create ();
  gateway->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  az_gateway_open_cancels (gateway);
  az_ejector_set_policy (gateway->ejector, &ejection_policy);
  register_counters (gateway);
  az_gateway_open_interference (gateway);
  az_gateway_open_separation (gateway);
  return gateway;
}

void
az_gateway_destroy (struct az_gateway *gateway)
{
  g_autoptr (GList) jobs = NULL;

  if (!gateway)
    return;
  az_gateway_abandon_jobs (gateway);
  jobs = g_hash_table_get_values (gateway->jobs);
  for (GList *link = jobs; link; link = link->next)
    {
      ((struct job *)link->data)->n_in_flight = 0;
      az_gateway_release_job (gateway, link->data);
    }
  az_gateway_close_cancels (gateway);
  g_hash_table_unref (gateway->cancelled);
  g_hash_table_unref (gateway->sessions);
  g_ptr_array_unref (gateway->upstreams);
  az_gateway_close_interference (gateway);
  az_gateway_close_separation (gateway);
  g_hash_table_unref (gateway->members);
  g_hash_table_unref (gateway->jobs);
  g_hash_table_unref (gateway->job_ids);
  g_hash_table_unref (gateway->callers);
  g_hash_table_unref (gateway->queues);
  g_hash_table_unref (gateway->suspicions);
  g_ptr_array_unref (gateway->withdrawals.domains);
  az_ejector_destroy (gateway->ejector);
  az_crash_record_destroy (gateway->crash_record);
  az_catalog_destroy (gateway->catalog);
  if (gateway->catalog_text)
    g_bytes_unref (gateway->catalog_text);
  g_free (gateway);
}

void
az_gateway_tick (struct az_gateway *gateway)
{
  gateway->now_us = az_now_us (gateway->clock);
  az_gateway_record_tick (gateway);
  az_gateway_expire_sessions (gateway);
  az_gateway_expire_jobs (gateway);
  az_gateway_expire_cancels (gateway);
  az_gateway_connect_members (gateway);
  az_gateway_choose_working_set (gateway);
  az_gateway_update_isolation (gateway);
  az_gateway_update_interference (gateway);
  az_gateway_update_separation (gateway);
  az_gateway_relay_withdrawn (gateway);
  az_gateway_record_evidence (gateway);
  az_gateway_request_updates (gateway);
  az_gateway_send_heartbeats (gateway);
  gateway->needs_placing = gateway->needs_placing || gateway->queued_cpu_milli > 0;
}

static void
release_answered_jobs (struct az_gateway *gateway)
{
  g_autoptr (GList) jobs = g_hash_table_get_values (gateway->jobs);

  for (GList *link = jobs; link; link = link->next)
    az_gateway_release_job (gateway, link->data);
}

static uint32_t
count_queued_cpu_milli (const GPtrArray *jobs)
{
  uint64_t milli = 0;

  for (guint i = 0; i < jobs->len; i++)
    {
      const struct job *job = jobs->pdata[i];

      for (size_t step = 0; job && step < job->request.n_steps; step++)
        milli += (uint64_t)job->steps[step].n_waiting * job->request.steps[step].need.cpu_milli;
    }
  return (uint32_t)MIN (milli, UINT32_MAX);
}

void
az_gateway_flush (struct az_gateway *gateway)
{
  g_autoptr (GPtrArray) jobs = NULL;
  uint32_t waiting_before = gateway->queued_cpu_milli;

  if (!gateway->needs_placing)
    return;
  gateway->now_us = az_now_us (gateway->clock);
  /* During a pause callers may have resubmitted their jobs to another gateway. Their disconnects
   * are handled and passed deadlines are checked before any task starts. */
  if (gateway->is_resuming || az_gateway_was_paused (gateway))
    {
      gateway->is_resuming = false;
      return;
    }
  gateway->needs_placing = false;
  jobs = az_gateway_order_jobs (gateway);
  if (jobs->len > 0)
    {
      az_gateway_place_tasks (gateway, jobs);
      az_gateway_refuse_excess (gateway, jobs);
    }
  gateway->queued_cpu_milli = count_queued_cpu_milli (jobs);
  release_answered_jobs (gateway);
  /* While tasks are waiting, sidecars report freed resources at once, so they are told of each
   * change. */
  if ((waiting_before == 0) != (gateway->queued_cpu_milli == 0))
    {
      GHashTableIter iterator;
      gpointer value;

      g_hash_table_iter_init (&iterator, gateway->sessions);
      while (g_hash_table_iter_next (&iterator, NULL, &value))
        {
          struct session *session = value;
          const struct upstream *upstream = az_gateway_get_upstream (gateway, session->upstream);

          if (upstream && upstream->in_working_set)
            session->last_heartbeat_us = 0;
        }
      az_gateway_send_heartbeats (gateway);
    }
}
