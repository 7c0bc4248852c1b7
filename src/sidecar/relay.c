#include "sidecar/relay.h"
#include "azurerock/log.h"
#include "dispatch/time_us.h"
#include "platform/operator.h"
#include <glib.h>
#include <string.h>

/* The result of a read also answers requests that arrive up to this time after its start. */
#define REUSE_MS 100

#define LOG_INTERVAL_MS 1000

/** struct published - result of a read
 * @began_us: start of the read; 0 if there was none
 * @catalog: the configuration as stored, NULL if there is no valid one */
struct published
{
  int64_t began_us;
  uint64_t revision;
  uint64_t catalog_version;
  uint64_t catalog_revision;
  GBytes *catalog;
  GPtrArray *withdrawn; /* names of domains */
};

struct az_relay
{
  const struct az_clock *clock;
  struct az_relay_io io;
  GHashTable *requests;     /* session -> catalog version, uint64_t * */
  struct published last;    /* result of the last complete read */
  struct published current; /* what the read in progress has yielded so far */
  bool is_reading;
  int64_t logged_us;
};

static void
clear_published (struct published *published)
{
  g_clear_pointer (&published->catalog, g_bytes_unref);
  g_clear_pointer (&published->withdrawn, g_ptr_array_unref);
  memset (published, 0, sizeof *published);
}

struct az_relay *
az_relay_create (const struct az_clock *clock, const struct az_relay_io *io)
{
  struct az_relay *relay = g_new0 (struct az_relay, 1);

  relay->clock = clock;
  relay->io = *io;
  relay->requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return relay;
}

void
az_relay_destroy (struct az_relay *relay)
{
  if (!relay)
    return;
  clear_published (&relay->last);
  clear_published (&relay->current);
  g_hash_table_unref (relay->requests);
  g_free (relay);
}

static void
send_catalog (const struct az_relay *relay, uint32_t session)
{
  struct az_message message = { .proc = AZ_NODE_CATALOG };
  gsize length;

  message.az_message_u.node_catalog.revision = relay->last.catalog_revision;
  message.az_message_u.node_catalog.text.text_val
      = (char *)g_bytes_get_data (relay->last.catalog, &length);
  message.az_message_u.node_catalog.text.text_len = (u_int)length;
  relay->io.send (relay->io.context, session, &message);
}

static void
send_evidence (const struct az_relay *relay, uint32_t session, uint32_t age_ms)
{
  struct az_message message = { .proc = AZ_NODE_EVIDENCE };

  message.az_message_u.node_evidence
      = (struct az_node_evidence){ relay->last.catalog_version, age_ms };
  relay->io.send (relay->io.context, session, &message);
}

static void
send_withdrawn (const struct az_relay *relay, uint32_t session, uint32_t age_ms)
{
  struct az_message message = { .proc = AZ_NODE_WITHDRAWN };
  const GPtrArray *withdrawn = relay->last.withdrawn;

  message.az_message_u.node_withdrawn = (struct az_node_withdrawn){
    .revision = relay->last.revision,
    .age_ms = age_ms,
    .domains = { withdrawn->len, (az_name *)withdrawn->pdata },
  };
  relay->io.send (relay->io.context, session, &message);
}

/* Rounds up, so that what was read never counts as newer than it is. */
static uint32_t
last_age_ms (const struct az_relay *relay)
{
  int64_t age_us = az_now_us (relay->clock) - relay->last.began_us;

  return (uint32_t)MIN ((age_us + AZ_US_PER_MS - 1) / AZ_US_PER_MS, UINT32_MAX);
}

static void
answer (const struct az_relay *relay, uint32_t session, uint64_t catalog_version)
{
  uint32_t age_ms = last_age_ms (relay);

  if (relay->last.catalog && relay->last.catalog_version > catalog_version)
    send_catalog (relay, session);
  if (relay->last.catalog)
    send_evidence (relay, session, age_ms);
  send_withdrawn (relay, session, age_ms);
}

static void
answer_all (struct az_relay *relay)
{
  GHashTableIter iterator;
  gpointer session;
  gpointer version;

  g_hash_table_iter_init (&iterator, relay->requests);
  while (g_hash_table_iter_next (&iterator, &session, &version))
    answer (relay, GPOINTER_TO_UINT (session), *(const uint64_t *)version);
}

static void
set_catalog (struct published *published, const struct az_metadata_item *item)
{
  size_t n_unreadable;
  struct az_catalog *catalog = platform_decode_catalog (item->value, item->length, &n_unreadable);

  if (!catalog)
    {
      az_log (LOG_WARNING,
              "event=configuration-ignored revision=%" G_GUINT64_FORMAT " reason=unreadable",
              item->revision);
      return;
    }
  published->catalog_version = catalog->version;
  published->catalog_revision = item->revision;
  published->catalog = g_bytes_new (item->value, item->length);
  az_catalog_destroy (catalog);
}

static void
on_item (void *context, const struct az_metadata_item *item)
{
  struct az_relay *relay = context;
  const char *domain = platform_get_withdrawn_domain (item->key);

  if (!item->value)
    return;
  if (domain)
    g_ptr_array_add (relay->current.withdrawn, g_strdup (domain));
  else if (!relay->current.catalog && !strcmp (item->key, PLATFORM_CONFIGURATION_KEY))
    set_catalog (&relay->current, item);
}

static void
log_read (struct az_relay *relay, enum az_metadata_result result)
{
  int64_t now_us = az_now_us (relay->clock);

  if (relay->logged_us > 0 && now_us - relay->logged_us < LOG_INTERVAL_MS * AZ_US_PER_MS)
    return;
  relay->logged_us = now_us;
  az_log (LOG_NOTICE,
          "event=read-for-gateways outcome=%s gateways=%u version=%" G_GUINT64_FORMAT
          " revision=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT,
          result == AZ_METADATA_OK ? "done" : "failed", g_hash_table_size (relay->requests),
          relay->current.catalog_version, relay->current.revision,
          (now_us - relay->current.began_us) / AZ_US_PER_MS);
}

static void
on_read (void *context, enum az_metadata_result result, uint64_t revision)
{
  struct az_relay *relay = context;

  relay->is_reading = false;
  relay->current.revision = revision;
  log_read (relay, result);
  if (result == AZ_METADATA_OK)
    {
      clear_published (&relay->last);
      relay->last = relay->current;
      memset (&relay->current, 0, sizeof relay->current);
      answer_all (relay);
    }
  else
    clear_published (&relay->current);
  g_hash_table_remove_all (relay->requests);
}

void
az_relay_request (struct az_relay *relay, uint32_t session, uint64_t catalog_version)
{
  int64_t now_us = az_now_us (relay->clock);

  if (relay->last.began_us > 0 && now_us - relay->last.began_us <= REUSE_MS * AZ_US_PER_MS)
    {
      answer (relay, session, catalog_version);
      return;
    }
  g_hash_table_insert (relay->requests, GUINT_TO_POINTER (session),
                       g_memdup2 (&catalog_version, sizeof catalog_version));
  if (relay->is_reading)
    return;
  relay->is_reading = true;
  relay->current.began_us = now_us;
  relay->current.withdrawn = g_ptr_array_new_with_free_func (g_free);
  relay->io.read (relay->io.context, &(struct az_metadata_read){ on_item, on_read, relay });
}

void
az_relay_session_closed (struct az_relay *relay, uint32_t session)
{
  g_hash_table_remove (relay->requests, GUINT_TO_POINTER (session));
}
