#include "azurerock/log.h"
#include "gateway/capacity.h"
#include "gateway/crashes.h"
#include "gateway/state.h"
#include <string.h>

/* Part of all cores that a gateway counts on however few jobs come to it: cores that become free go
 * to whoever waits for them. */
#define USABLE_SHARE_MIN 0.1

/* Part of this gateway's cores that jobs of low value can expect while more valuable ones ask for
 * all of them. */
#define OPEN_SHARE_MIN 0.2

/* Lower bound of a queue's share, for queues whose tasks need no processor. */
#define SHARE_CORES_MIN 1e-3

/**
 * struct forecast - what the jobs of a service that wait at this gateway can expect
 * @pool: upstreams on which the jobs have to run
 * @closed_s: time until an isolated upstream opens; 0 if one is open, or if the jobs can run
 *   elsewhere
 * @cores: cores that this gateway can expect to use
 * @queued_work: core-seconds of the waiting tasks up to the job that is examined
 * @shares: struct az_queue_share; NULL if the queues aren't served by shares
 */
struct forecast
{
  const char *service;
  enum az_pool pool;
  double closed_s;
  struct az_capacity capacity;
  double cores;
  double queued_work;
  GArray *shares;
};

/* The rate at which work ends is not used for the cores, since it changes only some time after a
 * withdrawal. */
static void
init_forecast (const struct az_gateway *gateway,
               struct forecast *forecast,
               const char *service,
               enum az_pool pool)
{
  struct az_candidates candidates;

  *forecast = (struct forecast){ .service = service, .pool = pool };
  az_candidates_init (&candidates, gateway, service, pool);
  az_gateway_measure_capacity (gateway, &candidates, &forecast->capacity);
  az_candidates_clear (&candidates);
  forecast->cores = az_gateway_expected_capacity (&forecast->capacity)
                    * az_gateway_usable_share (&forecast->capacity)
                    * MAX (forecast->capacity.own_share, USABLE_SHARE_MIN);
  if (pool == AZ_POOL_ISOLATED && forecast->cores <= 0)
    forecast->closed_s = az_gateway_isolated_return_s (gateway, service);
  if (gateway->settings.fair_queue_shares)
    forecast->shares = az_gateway_divide_cores (gateway, service, pool, forecast->cores);
}

static void
clear_forecast (struct forecast *forecast)
{
  if (forecast->shares)
    g_array_unref (forecast->shares);
}

/* Returns NULL if the queue isn't served by its share. A job that runs away from the usual pool of
 * its queue has none there. */
static struct az_queue_share *
find_share (const struct forecast *forecast, const struct queue *queue)
{
  return forecast->shares ? az_gateway_find_share (forecast->shares, queue) : NULL;
}

static void
add_queued_work (struct forecast *forecast, const struct job *job, double work)
{
  struct az_queue_share *share = find_share (forecast, job->queue);

  forecast->queued_work += work;
  if (share)
    share->queued_work += work;
}

static double
seconds_until_latest_start (const struct az_gateway *gateway, const struct job *job)
{
  return (double)(job->objective_us - job->critical_path_us - gateway->now_us) / 1e6;
}

/* Cores that jobs of the queue can expect to use: its share, or what is left beside more valuable
 * jobs that arrive meanwhile and begin before them. */
static double
count_open_cores (const struct az_gateway *gateway,
                  const struct forecast *forecast,
                  const struct queue *queue)
{
  const struct az_queue_share *share = find_share (forecast, queue);
  double claimed;

  if (share)
    return MAX (share->cores, SHARE_CORES_MIN);
  claimed = az_gateway_more_valuable_cores (gateway, queue);
  return MAX (forecast->cores - claimed, forecast->cores * OPEN_SHARE_MIN);
}

/* Time until the last waiting task of the job can be expected to start. */
static double
expected_wait_s (const struct az_gateway *gateway,
                 const struct forecast *forecast,
                 const struct job *job)
{
  const struct az_queue_share *share = find_share (forecast, job->queue);
  double work = az_gateway_job_work_core_s (gateway, job, true);

  /* Its own tasks may start wherever there is room, so only what is ahead waits for the share. */
  if (share)
    return (share->queued_work - work) / MAX (share->cores, SHARE_CORES_MIN)
           + work / 2 / forecast->cores;
  return (forecast->queued_work - work / 2) / count_open_cores (gateway, forecast, job->queue);
}

static bool
can_start_in_time (const struct az_gateway *gateway,
                   const struct forecast *forecast,
                   const struct job *job)
{
  double left_s = seconds_until_latest_start (gateway, job);

  if (forecast->cores <= 0)
    return left_s >= forecast->closed_s;
  return expected_wait_s (gateway, forecast, job) <= left_s;
}

static int64_t
oldest_report_ms (const struct az_gateway *gateway, const char *service)
{
  int64_t oldest_us = gateway->now_us;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];
      const struct session *session = az_gateway_get_session (gateway, upstream->session);

      if (session && upstream->is_open && !strcmp (upstream->service, service))
        oldest_us = MIN (oldest_us, session->last_received_us);
    }
  return (gateway->now_us - oldest_us) / AZ_US_PER_MS;
}

/* The cores of closed upstreams are shared by all gateways; how many jobs each gets isn't known. */
static double
isolated_cores_when_open (const struct az_gateway *gateway, const struct forecast *forecast)
{
  guint n_gateways = 1 + g_hash_table_size (gateway->members);

  return az_gateway_isolated_cores (gateway, forecast->service) / n_gateways;
}

static int64_t
choose_retry_after_ms (const struct az_gateway *gateway,
                       const struct forecast *forecast,
                       const struct job *job)
{
  struct az_traffic_rates rates = az_gateway_queue_rates (gateway, job->queue);
  struct az_retry_forecast retry = {
    .open_cores = count_open_cores (gateway, forecast, job->queue),
    .offered_cores = rates.offered_cores,
    .mean_work_core_s = rates.offered_cores / MAX (rates.jobs_per_s, 1e-6),
  };

  if (forecast->closed_s > 0)
    {
      retry.excess_s = forecast->closed_s;
      retry.open_cores = isolated_cores_when_open (gateway, forecast);
    }
  else if (forecast->cores > 0)
    retry.excess_s = expected_wait_s (gateway, forecast, job)
                     - MAX (seconds_until_latest_start (gateway, job), 0);
  return az_retry_after_next_ms (&job->queue->retry_after, gateway->now_us, &retry);
}

static void
refuse_job (struct az_gateway *gateway, const struct forecast *forecast, struct job *job)
{
  const struct az_capacity *capacity = &forecast->capacity;
  int64_t retry_after_ms = choose_retry_after_ms (gateway, forecast, job);

  az_log (LOG_INFO,
          "event=refuse job=%s queue=%s slack_ms=%.0f work_core_s=%.2f queued_core_s=%.2f "
          "cores=%.1f queue_cores=%.1f claimed_cores=%.1f share=%.2f free_cores=%.1f "
          "protected_cores=%.1f "
          "report_age_ms=%" G_GINT64_FORMAT " retry_after_ms=%" G_GINT64_FORMAT,
          job->id, job->queue->name, seconds_until_latest_start (gateway, job) * 1000,
          az_gateway_job_work_core_s (gateway, job, true), forecast->queued_work, forecast->cores,
          count_open_cores (gateway, forecast, job->queue),
          az_gateway_more_valuable_cores (gateway, job->queue), capacity->own_share,
          capacity->free_cores, az_gateway_protected_cores (gateway, job->queue, capacity),
          oldest_report_ms (gateway, forecast->service), retry_after_ms);
  az_refused_share_record_refusal (&gateway->refused_share, gateway->now_us);
  az_gateway_end_job (gateway, job, AZ_JOB_NOT_RUN, retry_after_ms, "no room in time");
}

static bool
is_waiting (const struct job *job, const struct forecast *forecast)
{
  return job && job->n_waiting > 0 && job->pool == forecast->pool
         && !strcmp (job->queue->service, forecast->service);
}

/* Finds the job with the lowest value per work among the first @n jobs of the service, except those
 * with a placed task. Within a queue the latest arrival is chosen, since it has waited least. A
 * queue with a share delays only its own jobs, so only these count for @delayed then. */
static guint
find_least_valuable (const struct az_gateway *gateway,
                     const GPtrArray *jobs,
                     guint n,
                     const struct forecast *forecast,
                     const struct job *delayed)
{
  bool is_own_queue_only = find_share (forecast, delayed->queue) != NULL;
  const struct job *least = NULL;
  double least_value = 0;
  guint found = n;

  for (guint i = 0; i < n; i++)
    {
      const struct job *job = jobs->pdata[i];
      double value;

      if (!is_waiting (job, forecast) || job->was_placed
          || (is_own_queue_only && job->queue != delayed->queue))
        continue;
      value = az_gateway_value_per_work (gateway, job->queue);
      if (least && value >= least_value
          && (job->queue != least->queue || job->arrived_us <= least->arrived_us))
        continue;
      least = job;
      least_value = value;
      found = i;
    }
  return found;
}

static void
refuse_excess_of_service (struct az_gateway *gateway,
                          GPtrArray *jobs,
                          const char *service,
                          enum az_pool pool)
{
  struct forecast forecast;

  init_forecast (gateway, &forecast, service, pool);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = jobs->pdata[i];

      if (!is_waiting (job, &forecast))
        continue;
      add_queued_work (&forecast, job, az_gateway_job_work_core_s (gateway, job, true));
      while (!can_start_in_time (gateway, &forecast, job))
        {
          guint least = find_least_valuable (gateway, jobs, i + 1, &forecast, job);
          struct job *refused;
          double work;

          if (least > i)
            break;
          refused = jobs->pdata[least];
          work = az_gateway_job_work_core_s (gateway, refused, true);
          jobs->pdata[least] = NULL;
          refuse_job (gateway, &forecast, refused);
          add_queued_work (&forecast, refused, -work);
          if (refused == job)
            break;
        }
    }
  clear_forecast (&forecast);
}

void
az_gateway_refuse_excess (struct az_gateway *gateway, GPtrArray *jobs)
{
  for (enum az_pool pool = AZ_POOL_ANY; pool <= AZ_POOL_ISOLATED; pool++)
    {
      g_autoptr (GHashTable) services = g_hash_table_new (g_str_hash, g_str_equal);

      for (guint i = 0; i < jobs->len; i++)
        {
          const struct job *job = jobs->pdata[i];

          if (job && job->n_waiting > 0 && job->pool == pool
              && g_hash_table_add (services, job->queue->service))
            refuse_excess_of_service (gateway, jobs, job->queue->service, pool);
        }
    }
}
