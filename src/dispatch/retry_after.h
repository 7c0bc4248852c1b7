#ifndef AZUREROCK_DISPATCH_RETRY_AFTER_H
#define AZUREROCK_DISPATCH_RETRY_AFTER_H

#include <stdint.h>

/** struct az_retry_after - when refused callers of a queue return; @next_us is the earliest time
 * that no caller was told yet */
struct az_retry_after
{
  int64_t next_us;
};

/**
 * struct az_retry_forecast - what a job of the queue can expect
 * @excess_s: by how much the expected wait exceeds the time that the refused job had
 * @open_cores: cores that jobs of the queue can expect to use
 * @offered_cores: work that arrives in the queue per second
 * @mean_work_core_s: work of a job
 */
struct az_retry_forecast
{
  double excess_s;
  double open_cores;
  double offered_cores;
  double mean_work_core_s;
};

/**
 * az_retry_after_next_ms - time after which a refused caller should send its job again
 *
 * For bursts and lasting overload. The caller returns when the queued work has shrunk, and callers
 * that were refused together return one by one, at the rate at which there are cores for them
 * beside the callers that come meanwhile.
 */
int64_t
az_retry_after_next_ms (struct az_retry_after *schedule,
                        int64_t now_us,
                        const struct az_retry_forecast *forecast);

#endif
