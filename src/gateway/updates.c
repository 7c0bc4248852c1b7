#include "azurerock/log.h"
#include "gateway/published.h"
#include "gateway/state.h"
#include <string.h>

/* A sidecar whose list of withdrawn domains, from any gateway, is older than 2.5 s reads it from
 * the store. */
#define REFRESH_WORKING_SET_MS 900
#define REFRESH_OTHERS_MS 4000

static void
send_catalog (struct az_gateway *gateway, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_CATALOG };
  gsize length;

  if (!gateway->catalog_text || session->upstream)
    return;
  message.az_message_u.node_catalog.revision = gateway->catalog_revision;
  message.az_message_u.node_catalog.text.text_val
      = (char *)g_bytes_get_data (gateway->catalog_text, &length);
  message.az_message_u.node_catalog.text.text_len = (u_int)length;
  gateway->io.send (gateway->io.context, session->handle, &message);
}

static void
send_evidence (struct az_gateway *gateway, const struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_EVIDENCE };
  int64_t age_ms = az_gateway_catalog_age_ms (gateway);

  if (age_ms < 0)
    return;
  message.az_message_u.node_evidence = (struct az_node_evidence){
    .catalog_version = az_gateway_catalog_version (gateway),
    .age_ms = (u_int)MIN (age_ms, UINT32_MAX),
  };
  gateway->io.send (gateway->io.context, session->handle, &message);
}

void
az_gateway_send_withdrawn (struct az_gateway *gateway, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_WITHDRAWN };
  const struct withdrawals *withdrawals = &gateway->withdrawals;

  if (withdrawals->confirmed_us == 0)
    return;
  session->withdrawn_sent_us = gateway->now_us;
  message.az_message_u.node_withdrawn = (struct az_node_withdrawn){
    .revision = withdrawals->revision,
    .age_ms = (u_int)MIN ((gateway->now_us - withdrawals->confirmed_us) / AZ_US_PER_MS, UINT32_MAX),
    .domains = { withdrawals->domains->len, (az_name *)withdrawals->domains->pdata },
  };
  gateway->io.send (gateway->io.context, session->handle, &message);
}

void
az_gateway_send_updates (struct az_gateway *gateway,
                         struct session *session,
                         const struct az_node_pulse *pulse)
{
  if (gateway->catalog && gateway->catalog->version > pulse->catalog_version)
    send_catalog (gateway, session);
  send_evidence (gateway, session);
  az_gateway_send_withdrawn (gateway, session);
}

static void
for_each_session (struct az_gateway *gateway,
                  void (*send) (struct az_gateway *gateway, struct session *session))
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    send (gateway, value);
}

bool
az_gateway_set_catalog (struct az_gateway *gateway,
                        struct az_catalog *catalog,
                        const struct az_catalog_origin *origin)
{
  const struct az_catalog *present = gateway->catalog;
  const struct session *session = az_gateway_get_session (gateway, origin->session);

  if (present && catalog->version <= present->version)
    {
      az_catalog_destroy (catalog);
      return false;
    }
  gateway->now_us = az_now_us (gateway->clock);
  az_log (LOG_NOTICE,
          "event=configuration version=%" G_GUINT64_FORMAT " former=%" G_GUINT64_FORMAT
          " revision=%" G_GUINT64_FORMAT " routes=%zu source=%s evidence_age_ms=%" G_GINT64_FORMAT,
          catalog->version, present ? present->version : 0, origin->revision, catalog->n_routes,
          session && session->instance ? session->instance : "store",
          az_gateway_catalog_age_ms (gateway));
  az_catalog_destroy (gateway->catalog);
  if (gateway->catalog_text)
    g_bytes_unref (gateway->catalog_text);
  gateway->catalog = catalog;
  gateway->catalog_revision = origin->revision;
  gateway->catalog_text = g_bytes_new (origin->text, origin->length);
  return true;
}

const struct az_catalog *
az_gateway_catalog (const struct az_gateway *gateway)
{
  return gateway->catalog;
}

bool
az_gateway_is_withdrawn (const struct az_gateway *gateway, const char *domain)
{
  for (guint i = 0; i < gateway->withdrawals.domains->len; i++)
    if (!strcmp (gateway->withdrawals.domains->pdata[i], domain))
      return true;
  return false;
}

static bool
is_same_set (const struct withdrawals *withdrawals, const char *const *domains, size_t n_domains)
{
  if (withdrawals->domains->len != n_domains)
    return false;
  for (size_t i = 0; i < n_domains; i++)
    if (!g_ptr_array_find_with_equal_func (withdrawals->domains, domains[i], g_str_equal, NULL))
      return false;
  return true;
}

void
az_gateway_set_withdrawn (struct az_gateway *gateway,
                          uint64_t revision,
                          int64_t age_ms,
                          const char *const *domains,
                          size_t n_domains)
{
  struct withdrawals *withdrawals = &gateway->withdrawals;
  int64_t confirmed_us;
  bool is_first;

  gateway->now_us = az_now_us (gateway->clock);
  confirmed_us = gateway->now_us - age_ms * AZ_US_PER_MS;
  if (revision < withdrawals->revision)
    return;
  is_first = withdrawals->confirmed_us == 0;
  withdrawals->revision = revision;
  withdrawals->confirmed_us = MAX (withdrawals->confirmed_us, confirmed_us);
  if (!is_first && is_same_set (withdrawals, domains, n_domains))
    return;
  g_ptr_array_set_size (withdrawals->domains, 0);
  for (size_t i = 0; i < n_domains; i++)
    g_ptr_array_add (withdrawals->domains, g_strdup (domains[i]));
  az_log (LOG_NOTICE,
          "event=withdrawal domains=%zu first=%s revision=%" G_GUINT64_FORMAT
          " age_ms=%" G_GINT64_FORMAT,
          n_domains, n_domains ? domains[0] : "-", revision, age_ms);
  gateway->needs_placing = true;
  for_each_session (gateway, az_gateway_send_withdrawn);
}

static void
refresh_withdrawn (struct az_gateway *gateway, struct session *session)
{
  const struct upstream *upstream = az_gateway_get_upstream (gateway, session->upstream);
  int64_t every_ms
      = upstream && upstream->in_working_set ? REFRESH_WORKING_SET_MS : REFRESH_OTHERS_MS;

  if (session->peer_address)
    return;
  if (gateway->now_us - session->withdrawn_sent_us >= every_ms * AZ_US_PER_MS)
    az_gateway_send_withdrawn (gateway, session);
}

void
az_gateway_relay_withdrawn (struct az_gateway *gateway)
{
  for_each_session (gateway, refresh_withdrawn);
}
