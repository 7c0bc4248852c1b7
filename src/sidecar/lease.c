#include "sidecar/lease.h"
#include <glib.h>

void
az_lease_observe (struct az_lease *lease, int64_t clock_ms, int64_t now_us)
{
  lease->is_known = true;
  lease->clock_ms = clock_ms;
  lease->observed_us = now_us;
}

int64_t
az_lease_end_clock (const struct az_lease *lease, int64_t duration_ms, int64_t now_us)
{
  return lease->clock_ms + (now_us - lease->observed_us) / 1000 + duration_ms;
}

int64_t
az_lease_latest_end_us (const struct az_lease *lease, int64_t end_clock_ms)
{
  double left_ms = (double)MAX (end_clock_ms - lease->clock_ms, 0);

  return lease->observed_us + (int64_t)(left_ms * 1000 / (1 - AZ_LEASE_CLOCK_DRIFT)) + 1000;
}

int64_t
az_lease_end_clock_before (const struct az_lease *lease, int64_t end_us)
{
  double left_us = (double)(end_us - lease->observed_us - 1000);

  return lease->clock_ms + (int64_t)(left_us * (1 - AZ_LEASE_CLOCK_DRIFT) / 1000);
}
