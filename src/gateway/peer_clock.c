#include "dispatch/session_times.h"
#include "gateway/sessions.h"
#include "gateway/state.h"

/* A higher clock, of a thousand years, is implausible. The bound keeps calculations in range. */
#define CLOCK_MAX_MS 31536000000000

/* The clocks may drift apart after the observation. */
static int64_t
peer_clock_ahead_us (const struct az_gateway *gateway, const struct session *session)
{
  double passed_us = (double)(gateway->now_us - session->peer_clock_observed_us);

  return session->peer_clock_ahead_us - (int64_t)(passed_us * AZ_SESSION_CLOCK_DRIFT);
}

/* A report that took long shows less than an earlier one that was fast. */
void
az_gateway_observe_peer_clock (const struct az_gateway *gateway,
                               struct session *session,
                               uint64_t clock_ms)
{
  int64_t ahead_us;

  if (clock_ms > CLOCK_MAX_MS)
    return;
  ahead_us = (int64_t)clock_ms * AZ_US_PER_MS - gateway->now_us;
  if (session->peer_clock_observed_us > 0)
    ahead_us = MAX (ahead_us, peer_clock_ahead_us (gateway, session));
  session->peer_clock_ahead_us = ahead_us;
  session->peer_clock_observed_us = gateway->now_us;
}

uint64_t
az_gateway_peer_clock_ms (const struct az_gateway *gateway, const struct session *session)
{
  if (session->peer_clock_observed_us == 0)
    return 0;
  return (uint64_t)((gateway->now_us + peer_clock_ahead_us (gateway, session)) / AZ_US_PER_MS);
}
