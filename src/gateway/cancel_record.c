#include "gateway/state.h"

/* A submission of a cancelled job that was overtaken by the cancel is refused for this time. */
#define CANCELLED_KEPT_MS 10000
#define CANCELLED_KEPT_MAX 4096

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const struct az_gateway *gateway = data;

  (void)key;
  return gateway->now_us - *(const int64_t *)value > CANCELLED_KEPT_MS * AZ_US_PER_MS;
}

void
az_gateway_record_cancel (struct az_gateway *gateway, const char *id)
{
  int64_t *cancelled_us;

  if (g_hash_table_size (gateway->cancelled) >= CANCELLED_KEPT_MAX)
    g_hash_table_foreach_remove (gateway->cancelled, is_forgotten, gateway);
  if (g_hash_table_size (gateway->cancelled) >= CANCELLED_KEPT_MAX)
    return;
  cancelled_us = g_new (int64_t, 1);
  *cancelled_us = gateway->now_us;
  g_hash_table_replace (gateway->cancelled, g_strdup (id), cancelled_us);
}

bool
az_gateway_is_cancelled (const struct az_gateway *gateway, const char *id)
{
  const int64_t *cancelled_us = g_hash_table_lookup (gateway->cancelled, id);

  return cancelled_us && gateway->now_us - *cancelled_us <= CANCELLED_KEPT_MS * AZ_US_PER_MS;
}
