#include "gateway/upstream_order.h"
#include "gateway/published.h"
#include <string.h>
#include <xxhash.h>

static uint64_t
rank (const struct upstream *upstream)
{
  return XXH3_64bits (upstream->instance, strlen (upstream->instance));
}

static gint
compare_rank (gconstpointer left, gconstpointer right)
{
  uint64_t a = rank (*(const struct upstream *const *)left);
  uint64_t b = rank (*(const struct upstream *const *)right);

  return a < b ? -1 : a > b;
}

/* A sidecar keeps its session while its upstream is down. Without one the whole instance may be
 * gone for good. */
static bool
is_present (const struct az_gateway *gateway, const struct upstream *upstream)
{
  return upstream->session && !az_gateway_is_withdrawn (gateway, upstream->domain);
}

GPtrArray *
az_gateway_order_upstreams (const struct az_gateway *gateway, const char *service)
{
  GPtrArray *list = g_ptr_array_new ();

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      struct upstream *upstream = gateway->upstreams->pdata[i];

      if (!strcmp (upstream->service, service) && is_present (gateway, upstream))
        g_ptr_array_add (list, upstream);
    }
  g_ptr_array_sort (list, compare_rank);
  return list;
}
