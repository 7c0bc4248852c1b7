#include "sidecar/state.h"

bool
az_sidecar_can_retire_session (const struct az_sidecar *sidecar, uint32_t handle)
{
  if (sidecar->retiring)
    return handle == sidecar->retiring;
  return az_sidecar_is_session_idle (sidecar, handle);
}

/* A run message that the gateway has sent before it learned that the upstream is closed to it
 * arrives within the session time-out, or is refused as delayed. */
bool
az_sidecar_retire_session (struct az_sidecar *sidecar, uint32_t handle)
{
  const struct session *session = az_sidecar_get_session (sidecar, handle);
  int64_t closed_for_us;

  sidecar->retiring = handle;
  if (!session || session->is_reported_open || !az_sidecar_is_session_idle (sidecar, handle))
    return false;
  closed_for_us = az_now_us (sidecar->clock) - session->reported_closed_us;
  return session->reported_closed_us == 0
         || closed_for_us > sidecar->settings.session_timeout_ms * AZ_US_PER_MS;
}
