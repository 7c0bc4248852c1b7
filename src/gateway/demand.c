#include "azurerock/log.h"
#include "gateway/state.h"

/* A statement older than this doesn't count: the peer is silent. */
#define DEMAND_VALID_MS 5000

/* A gateway sends at most this many statements per second, to all peers together. */
#define STATEMENTS_PER_S 40
#define DEMAND_INTERVAL_MIN_MS 250
#define DEMAND_INTERVAL_MAX_MS 2000

/* Part of the known gateways that must have stated their demand. */
#define STATED_SHARE_MIN 0.5

/* A gateway may use this much of its share, and none waits for the others while this part of the
 * cores is free: cores that one gateway leaves must not stay idle. */
#define SHARE_TOLERANCE 1.05
#define FREE_SHARE_MIN 0.05

/* From this load on, cores are short at times: demand and arrivals vary. */
#define SHORT_LOAD_MIN 0.9

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

uint32_t
az_gateway_stated_cpu_milli (const struct az_gateway *gateway, const struct session *session)
{
  if (!gateway->settings.shares_demand || !session->peer_address)
    return gateway->queued_cpu_milli;
  return (uint32_t)MIN (own_demand_cores (gateway) * 1000, UINT32_MAX);
}

static bool
has_recent_statement (const struct az_gateway *gateway, const struct session *session)
{
  return session->peer_address && session->offered_stated_us > 0
         && gateway->now_us - session->offered_stated_us <= DEMAND_VALID_MS * AZ_US_PER_MS;
}

/* Returns 0 if too few of the gateways have stated their demand. */
static double
sum_peers_demand_cores (const struct az_gateway *gateway)
{
  double cores = 0;
  guint n_stated = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (has_recent_statement (gateway, value))
      {
        cores += ((const struct session *)value)->offered_cores;
        n_stated++;
      }
  return n_stated >= STATED_SHARE_MIN * g_hash_table_size (gateway->members) ? cores : 0;
}

double
az_gateway_peers_offered_cores (const struct az_gateway *gateway, double offered_cores)
{
  double own_cores = own_demand_cores (gateway);

  if (!gateway->settings.shares_demand || own_cores <= 0)
    return 0;
  return sum_peers_demand_cores (gateway) * offered_cores / own_cores;
}

int64_t
az_gateway_demand_interval_ms (const struct az_gateway *gateway)
{
  int64_t interval_ms = 1000 * (int64_t)g_hash_table_size (gateway->members) / STATEMENTS_PER_S;

  if (!gateway->settings.shares_demand)
    return DEMAND_INTERVAL_MAX_MS;
  return CLAMP (interval_ms, DEMAND_INTERVAL_MIN_MS, DEMAND_INTERVAL_MAX_MS);
}

static bool
is_share_used (const struct az_capacity *capacity)
{
  double demand = capacity->offered_cores + capacity->peers_offered_cores;

  if (capacity->peers_offered_cores <= 0 || demand <= SHORT_LOAD_MIN * capacity->work_per_s
      || capacity->free_cores >= FREE_SHARE_MIN * capacity->total_cores)
    return false;
  return capacity->own_cores >= capacity->own_share * capacity->total_cores * SHARE_TOLERANCE;
}

static void
log_held_job (struct az_gateway *gateway, const struct job *job, const struct az_capacity *capacity)
{
  if (gateway->held_logged_us > 0
      && gateway->now_us - gateway->held_logged_us < LOG_INTERVAL_MS * AZ_US_PER_MS)
    return;
  gateway->held_logged_us = gateway->now_us;
  az_log (LOG_INFO,
          "event=share-used job=%s queue=%s own_cores=%.1f share=%.3f cores=%.1f free_cores=%.1f "
          "offered_cores=%.1f peers_offered_cores=%.1f",
          job->id, job->queue->name, capacity->own_cores, capacity->own_share,
          capacity->total_cores, capacity->free_cores, capacity->offered_cores,
          capacity->peers_offered_cores);
}

bool
az_gateway_must_leave_cores (struct az_gateway *gateway,
                             struct job *job,
                             const struct az_capacity *capacity)
{
  if (!is_share_used (capacity))
    return false;
  if (!job->was_held)
    az_counters_add (gateway->counters, gateway->c_held, 1);
  job->was_held = true;
  log_held_job (gateway, job, capacity);
  return true;
}
