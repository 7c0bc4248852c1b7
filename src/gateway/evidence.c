#include "azurerock/log.h"
#include "gateway/published.h"
#include "gateway/state.h"

/* How old the evidence is that the present configuration is the newest one. */

uint64_t
az_gateway_catalog_version (const struct az_gateway *gateway)
{
  return gateway->catalog ? gateway->catalog->version : 0;
}

void
az_gateway_confirm_catalog (struct az_gateway *gateway, uint64_t version, int64_t age_ms)
{
  int64_t confirmed_us;

  if (!gateway->catalog || gateway->catalog->version < version)
    return;
  gateway->now_us = az_now_us (gateway->clock);
  confirmed_us = gateway->now_us - age_ms * AZ_US_PER_MS;
  gateway->catalog_confirmed_us = MAX (gateway->catalog_confirmed_us, confirmed_us);
}

int64_t
az_gateway_catalog_age_ms (const struct az_gateway *gateway)
{
  if (gateway->catalog_confirmed_us == 0)
    return -1;
  return (az_now_us (gateway->clock) - gateway->catalog_confirmed_us) / AZ_US_PER_MS;
}

bool
az_gateway_is_catalog_outdated (const struct az_gateway *gateway)
{
  int64_t age_ms = az_gateway_catalog_age_ms (gateway);

  return age_ms < 0 || age_ms > gateway->settings.apply_ms;
}

void
az_gateway_record_evidence (struct az_gateway *gateway)
{
  int64_t known_us = MAX (gateway->catalog_confirmed_us, gateway->started_us);
  int64_t age_ms = (gateway->now_us - known_us) / AZ_US_PER_MS;
  bool is_outdated = age_ms > gateway->settings.apply_ms;

  if (is_outdated == gateway->is_catalog_outdated)
    return;
  gateway->is_catalog_outdated = is_outdated;
  az_log (LOG_NOTICE,
          "event=configuration-evidence outcome=%s version=%" G_GUINT64_FORMAT
          " age_ms=%" G_GINT64_FORMAT " store=%s sessions=%u",
          is_outdated ? "outdated" : "recent", az_gateway_catalog_version (gateway), age_ms,
          gateway->is_store_reachable ? "reachable" : "lost",
          g_hash_table_size (gateway->sessions));
}
