#include "azurerock/log.h"
#include "gateway/crashes.h"
#include "gateway/published.h"
#include "gateway/state.h"
#include "gateway/upstream_order.h"
#include <math.h>
#include <string.h>

/* Part of the upstreams of a service that is isolated while one of its queues is suspected. If the
 * suspected queues have more of the work than the other part could bear, the parts are exchanged.
 */
#define ISOLATED_SHARE 0.25

/* Assumed time for which a crashed upstream is down, until the first one has returned. */
#define DOWN_DEFAULT_MS 3000

/* Upstreams that were closed for longer weren't just restarted. */
#define DOWN_MAX_MS 10000

static struct az_crash_suspicion *
find_suspicion (const struct az_gateway *gateway, const char *service)
{
  return g_hash_table_lookup (gateway->suspicions, service);
}

static struct az_crash_suspicion *
get_or_add_suspicion (struct az_gateway *gateway, const char *service)
{
  struct az_crash_suspicion *suspicion = find_suspicion (gateway, service);

  if (!suspicion)
    {
      suspicion = az_crash_suspicion_create ();
      g_hash_table_insert (gateway->suspicions, g_strdup (service), suspicion);
    }
  return suspicion;
}

bool
az_gateway_is_suspected (const struct az_gateway *gateway, const struct queue *queue)
{
  const struct az_crash_suspicion *suspicion = find_suspicion (gateway, queue->service);

  return suspicion && az_crash_suspicion_is_suspected (suspicion, queue->name, gateway->now_us);
}

bool
az_gateway_is_queue_in_pool (const struct az_gateway *gateway,
                             const struct queue *queue,
                             enum az_pool pool)
{
  return pool == AZ_POOL_ANY
         || az_gateway_is_suspected (gateway, queue) == (pool == AZ_POOL_ISOLATED);
}

static double
isolated_share (const struct az_gateway *gateway, const char *service)
{
  double suspected = 0;
  double all = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *queue = value;
      double cores
          = az_traffic_measure (&queue->traffic, gateway->now_us, gateway->first_arrival_us)
                .offered_cores;

      if (strcmp (queue->service, service) != 0)
        continue;
      all += cores;
      if (az_gateway_is_suspected (gateway, queue))
        suspected += cores;
    }
  return suspected > (1 - ISOLATED_SHARE) * all ? 1 - ISOLATED_SHARE : ISOLATED_SHARE;
}

/* All gateways choose the same upstreams. */
static void
isolate_upstreams (struct az_gateway *gateway, const char *service)
{
  g_autoptr (GPtrArray) list = az_gateway_order_upstreams (gateway, service);
  guint n_isolated = MAX ((guint)round (list->len * isolated_share (gateway, service)), 1);

  if (list->len < 2)
    return;
  for (guint i = 0; i < n_isolated; i++)
    ((struct upstream *)list->pdata[i])->is_isolated = true;
}

static void
log_cleared (struct az_crash_suspicion *suspicion, int64_t now_us)
{
  char *queue;

  while ((queue = az_crash_suspicion_take_cleared (suspicion, now_us)))
    {
      az_log (LOG_NOTICE, "event=queue-cleared queue=%s", queue);
      g_free (queue);
    }
}

void
az_gateway_update_isolation (struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer service;
  gpointer suspicion;

  if (g_hash_table_size (gateway->suspicions) == 0)
    return;
  for (guint i = 0; i < gateway->upstreams->len; i++)
    ((struct upstream *)gateway->upstreams->pdata[i])->is_isolated = false;
  g_hash_table_iter_init (&iterator, gateway->suspicions);
  while (g_hash_table_iter_next (&iterator, &service, &suspicion))
    {
      log_cleared (suspicion, gateway->now_us);
      if (az_crash_suspicion_is_any_suspected (suspicion))
        isolate_upstreams (gateway, service);
    }
}

static guint
count_isolated (const struct az_gateway *gateway, const char *service)
{
  guint n = 0;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      n += upstream->is_isolated && !strcmp (upstream->service, service);
    }
  return n;
}

static double
starts_per_s (const struct az_gateway *gateway, const struct queue *queue)
{
  return az_traffic_measure (&queue->starts, gateway->now_us, gateway->first_arrival_us).jobs_per_s;
}

/* Share of the queue in the run messages of the service. Tasks of one message start together, so
 * this is also its share of the upstreams on which it has started last. */
static double
measure_share (const struct az_gateway *gateway, const char *service, const char *name)
{
  double own = 0;
  double all = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *queue = value;

      if (strcmp (queue->service, service) != 0)
        continue;
      all += starts_per_s (gateway, queue);
      if (!strcmp (queue->name, name))
        own = starts_per_s (gateway, queue);
    }
  return all > 0 ? own / all : 1;
}

void
az_gateway_record_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message)
{
  const struct az_blamed_crash crash = { .upstream = upstream->handle,
                                         .sidecar = upstream->sidecar,
                                         .life = upstream->life,
                                         .domain = upstream->domain,
                                         .queue = message->queue,
                                         .job_id = message->job_id,
                                         .is_isolated = upstream->is_isolated };
  struct az_crash_verdict verdict = az_crash_suspicion_record (
      get_or_add_suspicion (gateway, upstream->service), &crash,
      measure_share (gateway, upstream->service, message->queue), gateway->now_us);

  if (!verdict.is_newly_suspected)
    return;
  az_gateway_update_isolation (gateway);
  az_counters_add (gateway->counters, gateway->c_suspected, 1);
  gateway->needs_placing = true;
  az_log (LOG_WARNING,
          "event=queue-suspected queue=%s service=%s crashes=%u blamed=%u repeated=%u score=%.1f "
          "isolated=%u",
          message->queue, upstream->service, verdict.n_crashes, verdict.n_blamed,
          verdict.n_repeated, verdict.score, count_isolated (gateway, upstream->service));
}

/* A step that fits only a closed upstream has room there later if the job has to be isolated. The
 * other jobs don't wait for regular upstreams that are closed. */
static bool
has_upstream_for_step (const struct az_gateway *gateway,
                       const char *service,
                       const struct az_job_step *step,
                       enum az_pool pool)
{
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      if (strcmp (upstream->service, service) != 0
          || upstream->is_isolated != (pool == AZ_POOL_ISOLATED)
          || (pool == AZ_POOL_REGULAR && !upstream->is_open)
          || az_gateway_is_withdrawn (gateway, upstream->domain))
        continue;
      if (az_gateway_can_run_step (step, upstream))
        return true;
    }
  return false;
}

enum az_pool
az_gateway_choose_pool (const struct az_gateway *gateway, const struct job *job)
{
  const struct az_crash_suspicion *suspicion = find_suspicion (gateway, job->queue->service);
  enum az_pool pool;

  if (!suspicion || !az_crash_suspicion_is_any_suspected (suspicion))
    return AZ_POOL_ANY;
  pool = az_gateway_is_suspected (gateway, job->queue) ? AZ_POOL_ISOLATED : AZ_POOL_REGULAR;
  for (size_t i = 0; i < job->request.n_steps; i++)
    if (!has_upstream_for_step (gateway, job->queue->service, &job->request.steps[i], pool))
      return AZ_POOL_ANY;
  return pool;
}

void
az_gateway_record_openness (struct az_gateway *gateway, struct upstream *upstream, bool is_open)
{
  int64_t down_us = gateway->now_us - upstream->closed_us;

  if (upstream->is_open && !is_open)
    upstream->closed_us = gateway->now_us;
  else if (!upstream->is_open && is_open && upstream->closed_us > 0
           && down_us <= DOWN_MAX_MS * AZ_US_PER_MS)
    gateway->down_us = down_us;
  upstream->is_open = is_open;
}

double
az_gateway_isolated_return_s (const struct az_gateway *gateway, const char *service)
{
  int64_t down_us = gateway->down_us > 0 ? gateway->down_us : DOWN_DEFAULT_MS * AZ_US_PER_MS;
  int64_t first_us = gateway->now_us + down_us;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      if (upstream->is_isolated && !strcmp (upstream->service, service))
        first_us = MIN (first_us, upstream->closed_us + down_us);
    }
  return (double)MAX (first_us - gateway->now_us, 0) / 1e6;
}

double
az_gateway_isolated_cores (const struct az_gateway *gateway, const char *service)
{
  double cores = 0;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      if (upstream->is_isolated && !strcmp (upstream->service, service))
        cores += upstream->capacity.cpu_milli / 1000.0;
    }
  return cores;
}
