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

#endif
