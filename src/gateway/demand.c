#include "azurerock/log.h"
#include "dispatch/session_times.h"
#include "gateway/capacity.h"
#include "gateway/state.h"
#include <string.h>

/* A statement older than this doesn't count: two heartbeats were missed at the longest interval. */
#define DEMAND_VALID_MS 5000

/* A gateway sends at most this many statements per second, to all peers together. */
#define STATEMENTS_PER_S 40
#define DEMAND_INTERVAL_MIN_MS 250
#define DEMAND_INTERVAL_MAX_MS 2000

/* Part of the gateways that must have stated their demand. With fewer, those that haven't would be
 * taken to have no callers. */
#define STATED_SHARE_MIN 0.5

/* A gateway may use this much of its share, and none waits for the others while tasks could start
 * on this part of the cores: cores that one gateway leaves must not stay idle. */
#define SHARE_TOLERANCE 1.05
#define STARTABLE_SHARE_MIN 0.05

/* Part of the cores that gateways see in use which do work. Others are reserved for tasks on their
 * way that the sidecar then refuses, or their release isn't reported yet. With a larger part,
 * refusals come later; with a smaller one, jobs are refused that could be served. */
#define WORKING_SHARE 0.85

/* From this part of the working cores on, cores are short for some of the time, since arrivals vary
 * by about a tenth within a second. */
#define SHORT_LOAD_MIN 0.9

/* At most this part of the cores is taken to be unusable because it is scattered or protected; what
 * is free beyond that is about to be used. */
#define UNUSABLE_SHARE_MAX 0.2

/* Weight of the refused share in the demand that is stated. With a small one, gateways far from the
 * upstreams still refuse more jobs than the others; with a larger one, few refusals would move much
 * of the shares. See docs/design/shares-of-cores.md. */
#define REFUSED_WEIGHT 6

/* A larger refused share counts as this one, so that a gateway that refuses all jobs for a reason
 * of its own, like lost sessions, states at most three times its demand. */
#define REFUSED_SHARE_MAX (1.0 / 3)

#define LOG_INTERVAL_MS 1000

void
az_gateway_record_peer_demand (const struct az_gateway *gateway,
                               struct session *session,
                               const struct az_node_pulse *pulse)
{
  session->offered_cores = pulse->waiting_cpu_milli / 1000.0;
  session->offered_stated_us = gateway->now_us;
}

static double
own_demand_cores (const struct az_gateway *gateway)
{
  double cores = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    cores += az_gateway_queue_rates (gateway, value).offered_cores;
  return cores;
}

/* Gateways far from the upstreams lose races for free cores. They state more demand the more jobs
 * they refuse, until all refuse alike. */
static double
demand_weight (const struct az_gateway *gateway)
{
  double refused = az_refused_share_measure (&gateway->refused_share, gateway->now_us);

  return 1 + REFUSED_WEIGHT * MIN (refused, REFUSED_SHARE_MAX);
}

uint32_t
az_gateway_stated_cpu_milli (const struct az_gateway *gateway, const struct session *session)
{
  if (!gateway->settings.share_demand || !session->peer_address)
    return gateway->queued_cpu_milli;
  return (uint32_t)MIN (own_demand_cores (gateway) * demand_weight (gateway) * 1000, UINT32_MAX);
}

/* Counts the gateways with a session and those that have lost it some seconds ago. */
static guint
count_gateways (const struct az_gateway *gateway, GHashTable *known)
{
  GHashTableIter iterator;
  gpointer address;

  g_hash_table_iter_init (&iterator, gateway->lost_peers);
  while (g_hash_table_iter_next (&iterator, &address, NULL))
    g_hash_table_add (known, address);
  return g_hash_table_size (known);
}

static bool
has_recent_statement (const struct az_gateway *gateway, const struct session *session)
{
  return session->peer_address && session->offered_stated_us > 0
         && gateway->now_us - session->offered_stated_us <= DEMAND_VALID_MS * AZ_US_PER_MS;
}

/* Sums the demand of each peer once: two gateways that connected to each other at the same time
 * have two sessions. Returns 0 if too few of the gateways have stated their demand. */
static double
sum_peers_demand_cores (const struct az_gateway *gateway)
{
  g_autoptr (GHashTable) stated = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) known = g_hash_table_new (g_str_hash, g_str_equal);
  double cores = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct session *session = value;

      if (!session->peer_address)
        continue;
      g_hash_table_add (known, session->peer_address);
      if (has_recent_statement (gateway, session)
          && g_hash_table_add (stated, session->peer_address))
        cores += session->offered_cores;
    }
  return g_hash_table_size (stated) >= STATED_SHARE_MIN * count_gateways (gateway, known) ? cores
                                                                                          : 0;
}

/* With several services, or with sidecars that keep sessions with some gateways only, the demand of
 * a peer may be for other upstreams than those of this gateway. */
static bool
is_demand_comparable (const struct az_gateway *gateway)
{
  const char *service = NULL;
  GHashTableIter iterator;
  gpointer value;

  if (g_hash_table_size (gateway->members) >= AZ_SIDECAR_GATEWAYS_MAX)
    return false;
  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *queue = value;

      if (service && strcmp (service, queue->service) != 0)
        return false;
      service = queue->service;
    }
  return true;
}

double
az_gateway_peers_offered_cores (const struct az_gateway *gateway, double offered_cores)
{
  double own_cores;

  if (!gateway->settings.share_demand || !is_demand_comparable (gateway))
    return 0;
  own_cores = own_demand_cores (gateway);
  if (own_cores <= 0)
    return 0;
  return sum_peers_demand_cores (gateway) / demand_weight (gateway) * offered_cores / own_cores;
}

int64_t
az_gateway_demand_interval_ms (const struct az_gateway *gateway)
{
  int64_t interval_ms = 1000 * (int64_t)g_hash_table_size (gateway->members) / STATEMENTS_PER_S;

  if (!gateway->settings.share_demand)
    return DEMAND_INTERVAL_MAX_MS;
  return CLAMP (interval_ms, DEMAND_INTERVAL_MIN_MS, DEMAND_INTERVAL_MAX_MS);
}

/* Whether all gateways together ask for about as much as there is; false if that isn't known. */
static bool
are_cores_short (const struct az_capacity *capacity)
{
  double demand = capacity->offered_cores + capacity->peers_offered_cores;

  return capacity->peers_offered_cores > 0
         && demand > SHORT_LOAD_MIN * WORKING_SHARE * capacity->work_per_s;
}

double
az_gateway_usable_share (const struct az_capacity *capacity)
{
  double unplaceable_cores;

  if (!are_cores_short (capacity) || capacity->total_cores <= 0)
    return 1;
  unplaceable_cores = MIN (capacity->free_cores, UNUSABLE_SHARE_MAX * capacity->total_cores);
  return WORKING_SHARE * (1 - unplaceable_cores / capacity->total_cores);
}

static bool
is_share_used (const struct az_capacity *capacity, double startable_cores)
{
  double placeable_cores = capacity->total_cores - capacity->free_cores + startable_cores;

  if (!are_cores_short (capacity) || startable_cores >= STARTABLE_SHARE_MIN * capacity->total_cores)
    return false;
  return capacity->own_cores >= capacity->own_share * placeable_cores * SHARE_TOLERANCE;
}

static void
log_share_wait (struct az_gateway *gateway,
                const struct job *job,
                const struct az_capacity *capacity,
                double startable_cores)
{
  if (gateway->share_wait_logged_us > 0
      && gateway->now_us - gateway->share_wait_logged_us < LOG_INTERVAL_MS * AZ_US_PER_MS)
    return;
  gateway->share_wait_logged_us = gateway->now_us;
  az_log (LOG_INFO,
          "event=share-used job=%s queue=%s own_cores=%.1f share=%.3f cores=%.1f free_cores=%.1f "
          "startable_cores=%.1f offered_cores=%.1f peers_offered_cores=%.1f refused_share=%.2f",
          job->id, job->queue->name, capacity->own_cores, capacity->own_share,
          capacity->total_cores, capacity->free_cores, startable_cores, capacity->offered_cores,
          capacity->peers_offered_cores,
          az_refused_share_measure (&gateway->refused_share, gateway->now_us));
}

bool
az_gateway_wait_for_share (struct az_gateway *gateway,
                           struct job *job,
                           const struct az_capacity *capacity,
                           double startable_cores)
{
  if (!is_share_used (capacity, startable_cores))
    return false;
  if (!job->has_waited_for_share)
    az_counters_add (gateway->counters, gateway->c_share_waits, 1);
  job->has_waited_for_share = true;
  log_share_wait (gateway, job, capacity, startable_cores);
  return true;
}
