#ifndef AZUREROCK_SIDECAR_LEASE_H
#define AZUREROCK_SIDECAR_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds on the lease of tasks at an upstream whose clock runs beside ours: when a lease that ends
 * on its clock has surely ended on ours.
 */

/** Largest share by which the upstream's clock may be slow. */
#define AZ_LEASE_CLOCK_DRIFT 0.02

struct az_lease
{
  bool is_known;
  int64_t clock_ms;    /* the upstream's clock ... */
  int64_t observed_us; /* ... at the latest at this local time */
};

/** az_lease_observe - an answer received now showed @clock_ms */
void
az_lease_observe (struct az_lease *lease, int64_t clock_ms, int64_t now_us);

/** az_lease_end_clock - end, on the upstream's clock, of a lease of @duration_ms from now */
int64_t
az_lease_end_clock (const struct az_lease *lease, int64_t duration_ms, int64_t now_us);

/** az_lease_gone_us - local time at which a lease that ends at @end_clock_ms has surely ended */
int64_t
az_lease_gone_us (const struct az_lease *lease, int64_t end_clock_ms);

#endif
