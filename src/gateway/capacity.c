#include "gateway/capacity.h"
#include "gateway/crashes.h"
#include "gateway/state.h"
#include <string.h>

static double
sum_offered_cores (const struct az_gateway *gateway, const struct az_candidates *candidates)
{
  double offered = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *queue = value;

      if (!strcmp (queue->service, candidates->service)
          && az_gateway_is_queue_in_pool (gateway, queue, candidates->pool))
        offered += az_gateway_queue_rates (gateway, queue).offered_cores;
    }
  return offered;
}

/* The share is the work that arrives here relative to that and what arrives at the others, or if
 * that isn't known, what they were given. It isn't taken from the cores in use: a gateway that
 * refuses more would then count on less and refuse still more. */
static double
own_share (double offered_cores, double others_cores)
{
  return offered_cores > 0 ? offered_cores / (offered_cores + others_cores) : 1;
}

void
az_gateway_measure_capacity (const struct az_gateway *gateway,
                             const struct az_candidates *candidates,
                             struct az_capacity *capacity)
{
  double others_cores = 0;

  *capacity = (struct az_capacity){ 0 };
  for (guint i = 0; i < candidates->regular->len; i++)
    {
      const struct upstream *upstream = candidates->regular->pdata[i];
      uint32_t used_milli = upstream->capacity.cpu_milli
                            - MIN (upstream->free.cpu_milli, upstream->capacity.cpu_milli);

      capacity->total_cores += upstream->capacity.cpu_milli / 1000.0;
      capacity->free_cores += upstream->free.cpu_milli / 1000.0;
      capacity->work_per_s += upstream->capacity.cpu_milli / 1000.0 * upstream->speed;
      capacity->own_cores += upstream->used_cpu_milli / 1000.0;
      others_cores += (used_milli - MIN (upstream->used_cpu_milli, used_milli)) / 1000.0;
    }
  capacity->offered_cores = sum_offered_cores (gateway, candidates);
  capacity->peers_offered_cores = az_gateway_peers_offered_cores (gateway, capacity->offered_cores);
  if (capacity->peers_offered_cores > 0)
    others_cores = capacity->peers_offered_cores;
  capacity->own_share = own_share (capacity->offered_cores, others_cores);
}

double
az_gateway_expected_capacity (const struct az_capacity *capacity)
{
  return capacity->peers_offered_cores > 0 ? capacity->work_per_s : capacity->total_cores;
}
