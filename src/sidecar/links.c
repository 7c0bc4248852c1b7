#include "sidecar/links.h"
#include "azurerock/limits.h"
#include "azurerock/message.h"
#include "dispatch/session_times.h"
#include "dispatch/time_us.h"
#include "net/address.h"
#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A gateway that can't be reached is replaced by another one for this time. */
#define UNREACHABLE_MS 5000

#define RECONNECT_FIRST_MS 50
#define RECONNECT_MAX_MS 250

/* Time without a session after which a sidecar reads the addresses of gateways from the store. At
 * its start it reads them at once: after a power failure its seeds may return later than others. */
#define GATEWAYS_READ_DELAY_AT_START_MS 0
#define GATEWAYS_READ_DELAY_MS 1000
#define GATEWAYS_READ_INTERVAL_MS 2000

/** struct link - a gateway; its @rank differs between sidecars, so that their sessions are spread
 * over all gateways */
struct link
{
  uint32_t session; /* 0 while there is none */
  bool is_connecting;
  uint64_t rank;
  int64_t unreachable_until_us;
  int64_t connect_after_us;
  int64_t backoff_ms;
};

struct az_links
{
  char *instance;
  const struct az_clock *clock;
  GHashTable *gateways; /* address -> struct link * */
  uint32_t n_sessions;
  bool had_session;
  int64_t sessions_lost_us; /* when the last remaining session was closed, or the process started */
  int64_t gateways_read_us;
};

struct az_links *
az_links_create (const char *instance, const struct az_clock *clock)
{
  struct az_links *links = g_new0 (struct az_links, 1);

  links->instance = g_strdup (instance);
  links->clock = clock;
  links->gateways = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  links->sessions_lost_us = az_now_us (clock);
  links->gateways_read_us = links->sessions_lost_us - GATEWAYS_READ_INTERVAL_MS * AZ_US_PER_MS;
  return links;
}

void
az_links_destroy (struct az_links *links)
{
  if (!links)
    return;
  g_hash_table_unref (links->gateways);
  g_free (links->instance);
  g_free (links);
}

bool
az_links_add (struct az_links *links, const char *address)
{
  struct link *link;

  if (!az_address_is_endpoint (address) || g_hash_table_contains (links->gateways, address)
      || g_hash_table_size (links->gateways) >= AZ_MAX_GATEWAYS)
    return false;
  link = g_new0 (struct link, 1);
  link->rank
      = XXH64 (address, strlen (address), XXH64 (links->instance, strlen (links->instance), 0));
  link->backoff_ms = RECONNECT_FIRST_MS;
  g_hash_table_insert (links->gateways, g_strdup (address), link);
  return true;
}

/* Whether the gateway is among the AZ_SIDECAR_GATEWAYS_MAX reachable ones with the highest rank. */
static bool
is_preferred (const struct az_links *links, const struct link *link)
{
  int64_t now_us = az_now_us (links->clock);
  GHashTableIter iterator;
  gpointer value;
  unsigned n_higher = 0;

  if (g_hash_table_size (links->gateways) <= AZ_SIDECAR_GATEWAYS_MAX)
    return true;
  g_hash_table_iter_init (&iterator, links->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct link *other = value;

      n_higher += other->rank > link->rank && other->unreachable_until_us < now_us;
    }
  return n_higher < AZ_SIDECAR_GATEWAYS_MAX;
}

const char *
az_links_next_to_connect (struct az_links *links)
{
  int64_t now_us = az_now_us (links->clock);
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, links->gateways);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      struct link *link = value;

      if (link->session || link->is_connecting || now_us < link->connect_after_us
          || !is_preferred (links, link))
        continue;
      link->is_connecting = true;
      return key;
    }
  return NULL;
}

void
az_links_opened (struct az_links *links, const char *address, uint32_t session)
{
  struct link *link = g_hash_table_lookup (links->gateways, address);

  links->n_sessions++;
  links->had_session = true;
  if (!link)
    return;
  link->session = session;
  link->unreachable_until_us = 0;
  link->is_connecting = false;
  link->backoff_ms = RECONNECT_FIRST_MS;
}

static void
schedule_reconnect (const struct az_links *links, struct link *link)
{
  link->session = 0;
  link->is_connecting = false;
  link->connect_after_us = az_now_us (links->clock) + link->backoff_ms * AZ_US_PER_MS;
  link->backoff_ms = MIN (link->backoff_ms * 2, RECONNECT_MAX_MS);
}

void
az_links_connect_failed (struct az_links *links, const char *address)
{
  struct link *link = g_hash_table_lookup (links->gateways, address);

  if (!link)
    return;
  link->unreachable_until_us = az_now_us (links->clock) + UNREACHABLE_MS * AZ_US_PER_MS;
  schedule_reconnect (links, link);
}

void
az_links_closed (struct az_links *links, uint32_t session)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, links->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct link *)value)->session == session)
      schedule_reconnect (links, value);
  if (--links->n_sessions == 0)
    links->sessions_lost_us = az_now_us (links->clock);
}

uint32_t
az_links_surplus_session (const struct az_links *links,
                          bool (*can_retire) (const void *context, uint32_t session),
                          const void *context)
{
  GHashTableIter iterator;
  gpointer value;

  if (links->n_sessions <= AZ_SIDECAR_GATEWAYS_MAX)
    return 0;
  g_hash_table_iter_init (&iterator, links->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct link *link = value;

      if (link->session && !is_preferred (links, link) && can_retire (context, link->session))
        return link->session;
    }
  return 0;
}

int64_t
az_links_since_last_session_ms (const struct az_links *links)
{
  return (az_now_us (links->clock) - links->sessions_lost_us) / AZ_US_PER_MS;
}

bool
az_links_is_gateways_read_due (struct az_links *links)
{
  int64_t delay_ms = links->had_session ? GATEWAYS_READ_DELAY_MS : GATEWAYS_READ_DELAY_AT_START_MS;
  int64_t now_us = az_now_us (links->clock);

  if (links->n_sessions > 0 || az_links_since_last_session_ms (links) < delay_ms
      || now_us - links->gateways_read_us < GATEWAYS_READ_INTERVAL_MS * AZ_US_PER_MS)
    return false;
  links->gateways_read_us = now_us;
  return true;
}
