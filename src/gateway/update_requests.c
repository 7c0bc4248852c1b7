#include "azurerock/log.h"
#include "gateway/published.h"
#include "gateway/sessions.h"
#include "gateway/state.h"

/* While the store isn't reachable, updates are requested from this many peers at this interval. */
#define PEERS_PER_REQUEST 3
#define REQUEST_INTERVAL_MS 250

/* If what is known is then still older than this, they are also requested from this many sidecars,
 * which read the store. */
#define SIDECAR_REQUEST_AGE_MS 500
#define SIDECARS_PER_REQUEST 2

/* Interval of the requests to sidecars once none has answered for settings.apply_ms, since the
 * store is then probably out of service. */
#define SIDECAR_RETRY_MS 1000

static bool
is_peer (const struct session *session)
{
  return session->peer_address != NULL;
}

static bool
is_sidecar (const struct session *session)
{
  return session->upstream != 0;
}

static GPtrArray *
list_sessions (const struct az_gateway *gateway, bool (*is_chosen) (const struct session *session))
{
  GPtrArray *sessions = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_chosen (value))
      g_ptr_array_add (sessions, value);
  return sessions;
}

/* Requests updates from up to @n_max of the sessions at a time, in turn. */
static void
request_from_next (struct az_gateway *gateway,
                   bool (*is_chosen) (const struct session *session),
                   guint n_max,
                   guint *next)
{
  g_autoptr (GPtrArray) sessions = list_sessions (gateway, is_chosen);
  guint n_requested = MIN (sessions->len, n_max);

  for (guint i = 0; i < n_requested; i++)
    az_gateway_send_heartbeat (gateway, sessions->pdata[(*next + i) % sessions->len], true);
  *next += n_requested;
}

/* Returns the time since the configuration and the withdrawn domains were both known to be current;
 * before that, the time since the start of the process. */
static int64_t
published_age_ms (const struct az_gateway *gateway)
{
  int64_t confirmed_us = MIN (gateway->catalog_confirmed_us, gateway->withdrawals.confirmed_us);

  return (gateway->now_us - MAX (confirmed_us, gateway->started_us)) / AZ_US_PER_MS;
}

static bool
is_sidecar_request_due (const struct az_gateway *gateway)
{
  int64_t age_ms = published_age_ms (gateway);
  int64_t since_request_ms = (gateway->now_us - gateway->sidecars_requested_us) / AZ_US_PER_MS;

  if (age_ms <= SIDECAR_REQUEST_AGE_MS)
    return false;
  return age_ms <= gateway->settings.apply_ms || since_request_ms >= SIDECAR_RETRY_MS;
}

void
az_gateway_request_updates (struct az_gateway *gateway)
{
  if (gateway->is_store_reachable
      || gateway->now_us - gateway->updates_requested_us < REQUEST_INTERVAL_MS * AZ_US_PER_MS)
    return;
  gateway->updates_requested_us = gateway->now_us;
  request_from_next (gateway, is_peer, PEERS_PER_REQUEST, &gateway->next_peer);
  if (!is_sidecar_request_due (gateway))
    return;
  gateway->sidecars_requested_us = gateway->now_us;
  request_from_next (gateway, is_sidecar, SIDECARS_PER_REQUEST, &gateway->next_sidecar);
}

void
az_gateway_set_store_reachable (struct az_gateway *gateway, bool is_reachable)
{
  if (is_reachable != gateway->is_store_reachable)
    az_log (LOG_NOTICE, "event=updates outcome=%s evidence_age_ms=%" G_GINT64_FORMAT " sessions=%u",
            is_reachable ? "ended" : "requested", az_gateway_catalog_age_ms (gateway),
            g_hash_table_size (gateway->sessions));
  gateway->is_store_reachable = is_reachable;
}
