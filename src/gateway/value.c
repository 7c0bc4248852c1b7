#include "dispatch/protection.h"
#include "gateway/capacity.h"
#include "gateway/crashes.h"
#include "gateway/state.h"
#include <string.h>

/* At least four fifths of the cores are open to jobs of any value. */
#define PROTECTED_SHARE_MAX 0.2

/* Nothing is protected up to the lower load, everything that the rule asks for from the upper one
 * on: below the capacity, waiting costs more than it gives to valuable jobs. */
#define PROTECTION_LOAD_MIN 0.9
#define PROTECTION_LOAD_FULL 1.1

/* A difference of the values below this factor is within the error of the measured rates. */
#define VALUE_MARGIN 1.1

double
az_gateway_value_per_work (const struct az_gateway *gateway, const struct queue *queue)
{
  return 1 / MAX (az_gateway_queue_rates (gateway, queue).offered_cores, 1e-6);
}

/* Whether jobs of the queues run on the same upstreams. */
static bool
share_upstreams (const struct az_gateway *gateway, const struct queue *a, const struct queue *b)
{
  return !strcmp (a->service, b->service)
         && az_gateway_is_suspected (gateway, a) == az_gateway_is_suspected (gateway, b);
}

/* Cores that become free per second: cores in use divided by the mean time for which a core is
 * held, which is known from the mix of the arrivals. */
static double
estimate_freed_cores_per_s (const struct az_gateway *gateway,
                            const struct queue *queue,
                            const struct az_capacity *capacity)
{
  double needed_per_s = 0;
  GHashTableIter iterator;
  gpointer value;

  if (capacity->offered_cores <= 0)
    return 0;
  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *other = value;

      if (share_upstreams (gateway, other, queue))
        needed_per_s += az_gateway_queue_rates (gateway, other).cores_per_s;
    }
  return (capacity->total_cores - capacity->free_cores) * needed_per_s / capacity->offered_cores;
}

/* Part of the protected cores that counts at the present load. */
static double
protection_factor (const struct az_capacity *capacity)
{
  double demand = capacity->offered_cores / capacity->own_share;
  double load = demand / MAX (capacity->total_cores, 1e-3);

  return CLAMP ((load - PROTECTION_LOAD_MIN) / (PROTECTION_LOAD_FULL - PROTECTION_LOAD_MIN), 0, 1);
}

/* Value per work of the jobs of @other relative to that of @queue. Where queues are served by
 * shares, a core is worth more to the queue that has fewer of them. */
static double
value_ratio (const struct az_gateway *gateway,
             const struct queue *other,
             const struct queue *queue,
             GArray *shares)
{
  const struct az_queue_share *theirs = shares ? az_gateway_find_share (shares, other) : NULL;
  const struct az_queue_share *ours = shares ? az_gateway_find_share (shares, queue) : NULL;

  if (theirs && ours)
    return ours->cores / MAX (theirs->cores, 1e-3);
  return az_gateway_value_per_work (gateway, other) / az_gateway_value_per_work (gateway, queue);
}

double
az_gateway_protected_cores (const struct az_gateway *gateway,
                            const struct queue *queue,
                            const struct az_capacity *capacity)
{
  double factor = protection_factor (capacity);
  g_autoptr (GArray) shares = NULL;
  double cores = 0;
  double freed;
  GHashTableIter iterator;
  gpointer value;

  if (factor <= 0)
    return 0;
  if (gateway->settings.fair_queue_shares)
    shares = az_gateway_divide_cores (gateway, queue->service,
                                      az_gateway_is_suspected (gateway, queue) ? AZ_POOL_ISOLATED
                                                                               : AZ_POOL_REGULAR,
                                      capacity->total_cores * capacity->own_share);
  freed = estimate_freed_cores_per_s (gateway, queue, capacity);
  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *other = value;
      struct az_traffic_rates rates = az_gateway_queue_rates (gateway, other);
      const struct az_protected_demand demand = {
        .cores_per_s = rates.cores_per_s / capacity->own_share,
        .cores_squared_per_s = rates.cores_squared_per_s / capacity->own_share,
        .slack_s = rates.mean_slack_s,
        .value_ratio = value_ratio (gateway, other, queue, shares),
      };

      if (rates.jobs_per_s > 0 && share_upstreams (gateway, other, queue))
        cores = MAX (cores, az_protected_cores (&demand, freed));
    }
  return MIN (cores, PROTECTED_SHARE_MAX * capacity->total_cores) * factor;
}

double
az_gateway_more_valuable_cores (const struct az_gateway *gateway, const struct queue *queue)
{
  double own_value = az_gateway_value_per_work (gateway, queue);
  double cores = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *other = value;

      if (share_upstreams (gateway, other, queue)
          && az_gateway_value_per_work (gateway, other) > own_value * VALUE_MARGIN)
        cores += az_gateway_queue_rates (gateway, other).offered_cores;
    }
  return cores;
}
