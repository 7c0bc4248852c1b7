#include "gateway/state.h"

/* A longer time between two ticks means that the process was paused. */
#define PAUSE_MIN_MS 300

/* Ticks after the one that notices a pause until the requests that waited meanwhile have been read:
 * one iteration of the event loop accepts a connection, the next one reads from it. */
#define RESUME_TICKS 2

bool
az_gateway_was_paused (const struct az_gateway *gateway)
{
  return gateway->now_us - gateway->last_tick_us > PAUSE_MIN_MS * AZ_US_PER_MS;
}

void
az_gateway_record_tick (struct az_gateway *gateway)
{
  gateway->is_resuming = az_gateway_was_paused (gateway);
  if (gateway->is_resuming)
    {
      gateway->pause_began_us = gateway->last_tick_us;
      gateway->n_resume_ticks = RESUME_TICKS;
    }
  else if (gateway->n_resume_ticks > 0)
    gateway->n_resume_ticks--;
  gateway->last_tick_us = gateway->now_us;
}

int64_t
az_gateway_earliest_arrival_us (const struct az_gateway *gateway)
{
  if (az_gateway_was_paused (gateway))
    return gateway->last_tick_us;
  return gateway->n_resume_ticks > 0 ? gateway->pause_began_us : gateway->now_us;
}
