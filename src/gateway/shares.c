#include "dispatch/fair_share.h"
#include "gateway/capacity.h"
#include "gateway/crashes.h"
#include "gateway/state.h"
#include <string.h>

/* Priority 0 is the most urgent. The weight never becomes 0, so that each queue keeps a share. */
static double
weight (const struct az_gateway *gateway, const struct queue *queue)
{
  return 1 / (1 + queue->priority * gateway->settings.priority_discount);
}

static GPtrArray *
list_queues (const struct az_gateway *gateway, const char *service, enum az_pool pool)
{
  GPtrArray *queues = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct queue *queue = value;

      if (!strcmp (queue->service, service) && az_gateway_is_queue_in_pool (gateway, queue, pool))
        g_ptr_array_add (queues, value);
    }
  return queues;
}

GArray *
az_gateway_divide_cores (const struct az_gateway *gateway,
                         const char *service,
                         enum az_pool pool,
                         double cores)
{
  g_autoptr (GPtrArray) queues = list_queues (gateway, service, pool);
  GArray *result = g_array_new (FALSE, TRUE, sizeof (struct az_queue_share));
  g_autofree struct az_share *shares = g_new0 (struct az_share, queues->len + 1);
  double unused;

  for (guint i = 0; i < queues->len; i++)
    {
      const struct queue *queue = queues->pdata[i];

      shares[i].weight = weight (gateway, queue);
      shares[i].demand = az_gateway_queue_rates (gateway, queue).offered_cores;
    }
  unused = az_fair_share_divide (shares, queues->len, cores);
  for (guint i = 0; i < queues->len; i++)
    {
      const struct az_queue_share share
          = { .queue = queues->pdata[i], .cores = shares[i].granted + unused };

      g_array_append_val (result, share);
    }
  return result;
}

struct az_queue_share *
az_gateway_find_share (GArray *shares, const struct queue *queue)
{
  for (guint i = 0; i < shares->len; i++)
    {
      struct az_queue_share *share = &g_array_index (shares, struct az_queue_share, i);

      if (share->queue == queue)
        return share;
    }
  return NULL;
}
