#ifndef AZUREROCK_SIDECAR_LEASE_H
#define AZUREROCK_SIDECAR_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Converts between the local clock and that of the upstream, on which task leases end. The drift of
 * the upstream's clock is bounded, so it is known by when a lease has certainly ended.
 */

/** Largest relative error by which the upstream's clock may run slow. */
#define AZ_LEASE_CLOCK_DRIFT 0.02

/** struct az_lease - last observation of the upstream's clock: it showed @clock_ms at or before the
 * local time @observed_us */
struct az_lease
{
  bool is_known;
  int64_t clock_ms;
  int64_t observed_us;
};

/** az_lease_observe - records that an answer received at @now_us contained @clock_ms */
void
az_lease_observe (struct az_lease *lease, int64_t clock_ms, int64_t now_us);

/** az_lease_end_clock - end of a lease of @duration_ms from @now_us, on the upstream's clock */
int64_t
az_lease_end_clock (const struct az_lease *lease, int64_t duration_ms, int64_t now_us);

/** az_lease_latest_end_us - local time by which a lease until @end_clock_ms has certainly ended */
int64_t
az_lease_latest_end_us (const struct az_lease *lease, int64_t end_clock_ms);

/** az_lease_end_clock_before - latest lease end, on the upstream's clock, that has certainly passed
 * by the local time @end_us */
int64_t
az_lease_end_clock_before (const struct az_lease *lease, int64_t end_us);

#endif
