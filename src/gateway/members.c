#include "azurerock/log.h"
#include "gateway/sessions.h"
#include "gateway/state.h"
#include "net/address.h"
#include <string.h>

#define RECONNECT_INTERVAL_MS 500

void
az_gateway_add_member (struct az_gateway *gateway, const char *address)
{
  GHashTableIter iterator;
  gpointer value;

  /* One address that can't be encoded would keep all others from being sent. */
  if (!az_address_is_endpoint (address))
    {
      az_log (LOG_WARNING, "event=gateway-ignored address=%.64s reason=invalid", address);
      return;
    }
  if (!strcmp (address, gateway->settings.address)
      || g_hash_table_contains (gateway->members, address)
      || g_hash_table_size (gateway->members) >= AZ_MAX_GATEWAYS)
    return;
  g_hash_table_insert (gateway->members, g_strdup (address), g_new0 (int64_t, 1));
  az_log (LOG_NOTICE, "event=gateway-learned address=%s", address);
  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    az_gateway_send_member (gateway, ((struct session *)value)->handle, address);
}

void
az_gateway_send_member (struct az_gateway *gateway, uint32_t session, const char *address)
{
  struct az_message message = { .proc = AZ_NODE_GATEWAYS };
  char *row = (char *)address;

  message.az_message_u.node_gateways.addresses.addresses_len = 1;
  message.az_message_u.node_gateways.addresses.addresses_val = &row;
  gateway->io.send (gateway->io.context, session, &message);
}

void
az_gateway_send_members (struct az_gateway *gateway, uint32_t session)
{
  struct az_message message = { .proc = AZ_NODE_GATEWAYS };
  char *addresses[AZ_MAX_GATEWAYS];
  GHashTableIter iterator;
  gpointer key;
  u_int n = 0;

  g_hash_table_iter_init (&iterator, gateway->members);
  while (n < AZ_MAX_GATEWAYS && g_hash_table_iter_next (&iterator, &key, NULL))
    addresses[n++] = key;
  message.az_message_u.node_gateways.addresses.addresses_len = n;
  message.az_message_u.node_gateways.addresses.addresses_val = addresses;
  gateway->io.send (gateway->io.context, session, &message);
}

static bool
is_connected (const struct az_gateway *gateway, const char *address)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct session *session = value;

      if (!g_strcmp0 (session->address, address) || !g_strcmp0 (session->peer_address, address))
        return true;
    }
  return false;
}

void
az_gateway_connect_members (struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->members);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      int64_t *retry_us = value;

      if (gateway->now_us < *retry_us || is_connected (gateway, key))
        continue;
      *retry_us = gateway->now_us + RECONNECT_INTERVAL_MS * AZ_US_PER_MS;
      gateway->io.connect (gateway->io.context, key);
    }
}

void
az_gateway_connect_failed (struct az_gateway *gateway, const char *address)
{
  int64_t *retry_us = g_hash_table_lookup (gateway->members, address);

  if (retry_us)
    *retry_us = az_now_us (gateway->clock) + RECONNECT_INTERVAL_MS * AZ_US_PER_MS;
}
