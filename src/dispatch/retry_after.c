#include "dispatch/retry_after.h"
#include <glib.h>

/* No forecast holds for longer than a few seconds. */
#define DELAY_MIN_MS 1000
#define DELAY_MAX_MS 10000

/* Part of the cores of a queue that returning callers can expect while new ones ask for all. */
#define RETURN_SHARE_MIN 0.1

static double
returns_per_s (const struct az_retry_forecast *forecast)
{
  double spare = forecast->open_cores - forecast->offered_cores;
  double cores = MAX (spare, forecast->open_cores * RETURN_SHARE_MIN);

  return cores / MAX (forecast->mean_work_core_s, 1e-3);
}

int64_t
az_retry_after_next_ms (struct az_retry_after *schedule,
                        int64_t now_us,
                        const struct az_retry_forecast *forecast)
{
  int64_t earliest_us = now_us + DELAY_MIN_MS * 1000;
  int64_t latest_us = now_us + DELAY_MAX_MS * 1000;
  int64_t drained_us = now_us + (int64_t)(MAX (forecast->excess_s, 0) * 1e6);
  int64_t return_us = MAX (MAX (earliest_us, drained_us), schedule->next_us);
  double rate = returns_per_s (forecast);

  return_us = MIN (return_us, latest_us);
  schedule->next_us = rate > 0 ? MIN (return_us + (int64_t)(1e6 / rate), latest_us) : latest_us;
  return (return_us - now_us) / 1000;
}
