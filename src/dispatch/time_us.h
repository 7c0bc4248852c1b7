#ifndef AZUREROCK_DISPATCH_TIME_US_H
#define AZUREROCK_DISPATCH_TIME_US_H

#include "azurerock/clock.h"

#define AZ_US_PER_MS 1000

/** az_now_us - reads the monotonic time of @clock */
static inline int64_t
az_now_us (const struct az_clock *clock)
{
  return az_time_to_ns (az_clock_now (clock)) / 1000;
}

/** az_round_ms - rounds a duration of at least 0 in us to whole ms; truncated durations are half a
 * millisecond too short on average, and such an error adds up where values are learned from them */
static inline int64_t
az_round_ms (int64_t duration_us)
{
  return (duration_us + AZ_US_PER_MS / 2) / AZ_US_PER_MS;
}

#endif
