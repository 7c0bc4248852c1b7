#include "azurerock/log.h"
#include "sidecar/state.h"
#include <string.h>

void
az_sidecar_withdrawals_received (struct az_sidecar *sidecar,
                                 uint64_t revision,
                                 int64_t age_ms,
                                 const char *const *domains,
                                 size_t n_domains)
{
  struct withdrawal *withdrawal = &sidecar->withdrawal;
  int64_t confirmed_us;
  bool is_withdrawn = false;

  sidecar->now_us = az_now_us (sidecar->clock);
  confirmed_us = sidecar->now_us - age_ms * AZ_US_PER_MS;
  if (revision < withdrawal->revision)
    return;
  for (size_t i = 0; i < n_domains; i++)
    is_withdrawn |= !strcmp (domains[i], sidecar->settings.domain);
  if (is_withdrawn != withdrawal->is_withdrawn)
    az_log (LOG_NOTICE,
            "event=withdrawal domain=%s withdrawn=%s revision=%" G_GUINT64_FORMAT
            " age_ms=%" G_GINT64_FORMAT,
            sidecar->settings.domain, is_withdrawn ? "yes" : "no", revision, age_ms);
  withdrawal->revision = revision;
  withdrawal->confirmed_us = MAX (withdrawal->confirmed_us, confirmed_us);
  withdrawal->is_withdrawn = is_withdrawn;
}

bool
az_sidecar_has_outdated_withdrawals (const struct az_sidecar *sidecar)
{
  int64_t age_us = az_now_us (sidecar->clock) - sidecar->withdrawal.confirmed_us;

  return sidecar->withdrawal.confirmed_us == 0
         || age_us > sidecar->settings.withdrawals_max_age_ms * AZ_US_PER_MS;
}
