#include "gateway/state.h"

/* Number of upstreams that report their free resources continually, beside those in use. The limit
 * keeps the heartbeats and reports of a process from growing with the number of upstreams. */
#define WORKING_SET_MAX 32
#define CHOOSE_INTERVAL_MS 250
#define IN_USE_MS 2000

/* Upstreams of the gateway's own domain rank highest. Otherwise the order differs between gateways,
 * so that each upstream is in the working set of some of them. */
static uint64_t
rank (const struct az_gateway *gateway, const struct upstream *upstream)
{
  uint64_t hash
      = (gateway->incarnation ^ (upstream->handle * 0x9e3779b97f4a7c15u)) * 0xbf58476d1ce4e5b9u;
  bool is_same_domain = g_str_equal (upstream->domain, gateway->settings.domain);

  return (hash >> 1) | ((uint64_t)is_same_domain << 63);
}

static bool
is_in_use (const struct az_gateway *gateway, const struct upstream *upstream)
{
  return upstream->n_tasks > 0
         || (upstream->last_assigned_us > 0
             && gateway->now_us - upstream->last_assigned_us < IN_USE_MS * AZ_US_PER_MS);
}

static bool
is_among_first (const struct az_gateway *gateway, const struct upstream *upstream, guint limit)
{
  uint64_t own = rank (gateway, upstream);
  guint n_ahead = 0;

  for (guint i = 0; i < gateway->upstreams->len && n_ahead < limit; i++)
    {
      const struct upstream *other = gateway->upstreams->pdata[i];

      n_ahead += other->session && rank (gateway, other) > own;
    }
  return n_ahead < limit;
}

static void
set_in_working_set (struct az_gateway *gateway, struct upstream *upstream, bool in_working_set)
{
  struct session *session = az_gateway_get_session (gateway, upstream->session);

  if (upstream->in_working_set == in_working_set)
    return;
  upstream->in_working_set = in_working_set;
  if (session)
    session->last_heartbeat_us = 0;
}

void
az_gateway_choose_working_set (struct az_gateway *gateway)
{
  /* While tasks are waiting, more upstreams are considered. */
  guint limit = gateway->queued_cpu_milli > 0 ? 2 * WORKING_SET_MAX : WORKING_SET_MAX;

  if (gateway->now_us - gateway->working_set_chosen_us < CHOOSE_INTERVAL_MS * AZ_US_PER_MS)
    return;
  gateway->working_set_chosen_us = gateway->now_us;
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      struct upstream *upstream = gateway->upstreams->pdata[i];

      set_in_working_set (
          gateway, upstream,
          upstream->session
              && (is_in_use (gateway, upstream) || is_among_first (gateway, upstream, limit)));
    }
}
