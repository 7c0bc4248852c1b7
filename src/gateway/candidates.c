#include "dispatch/speed.h"
#include "gateway/capacity.h"
#include "gateway/published.h"
#include "gateway/state.h"
#include <string.h>

/* The first report of a session tells the sidecar's clock, which run messages state. */
static bool
has_reported (const struct az_gateway *gateway, const struct upstream *upstream)
{
  const struct session *session = az_gateway_get_session (gateway, upstream->session);

  return session && session->peer_clock_observed_us > 0;
}

static bool
accepts_tasks (const struct az_gateway *gateway,
               const struct upstream *upstream,
               const char *service,
               enum az_pool pool)
{
  if (pool != AZ_POOL_ANY && upstream->is_isolated != (pool == AZ_POOL_ISOLATED))
    return false;
  return upstream->is_open && has_reported (gateway, upstream)
         && strcmp (upstream->service, service) == 0
         && !az_gateway_is_withdrawn (gateway, upstream->domain);
}

static void
add_regular (struct az_candidates *candidates, struct upstream *upstream)
{
  g_ptr_array_add (candidates->regular, upstream);
  if (!az_speed_is_reduced (upstream->speed))
    candidates->has_normal_hardware = true;
}

void
az_candidates_init (struct az_candidates *candidates,
                    const struct az_gateway *gateway,
                    const char *service,
                    enum az_pool pool)
{
  candidates->service = service;
  candidates->pool = pool;
  candidates->has_normal_hardware = false;
  candidates->regular = g_ptr_array_new ();
  candidates->probe_only = g_ptr_array_new ();
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      /* Each gateway begins at another index, so that they don't all choose the same one among
       * upstreams of equal cost. */
      guint at = (guint)((gateway->incarnation + i) % gateway->upstreams->len);
      struct upstream *upstream = gateway->upstreams->pdata[at];

      if (!accepts_tasks (gateway, upstream, service, pool))
        continue;
      if (az_speed_is_slow (upstream->speed)
          || az_ejector_is_ejected (gateway->ejector, upstream->handle))
        g_ptr_array_add (candidates->probe_only, upstream);
      else
        add_regular (candidates, upstream);
    }
  az_candidates_update (candidates);
}

static void
raise_to_free (struct az_resources *most, const GPtrArray *upstreams)
{
  for (guint i = 0; i < upstreams->len; i++)
    az_resources_raise (most, &((const struct upstream *)upstreams->pdata[i])->free);
}

void
az_candidates_update (struct az_candidates *candidates)
{
  memset (&candidates->max_free, 0, sizeof candidates->max_free);
  raise_to_free (&candidates->max_free, candidates->regular);
  raise_to_free (&candidates->max_free, candidates->probe_only);
}

void
az_candidates_clear (struct az_candidates *candidates)
{
  if (!candidates->service)
    return;
  g_ptr_array_unref (candidates->regular);
  g_ptr_array_unref (candidates->probe_only);
  candidates->service = NULL;
}
