#include "dispatch/session_times.h"
#include "sidecar/state.h"

/* Reserve for the drift between the clocks of gateway and sidecar and for the delay of messages
 * between them. */
#define ORPHAN_RESERVE_MS 30

/* A gateway runs the tasks of a lost session elsewhere after the orphan timeout. A caller whose
 * connection broke sends the job again no sooner than that. */
int64_t
az_sidecar_must_end_us (const struct az_sidecar *sidecar, int64_t asked_us)
{
  int64_t within_ms = AZ_ORPHAN_TIMEOUT_MS - ORPHAN_RESERVE_MS - sidecar->settings.stop_ms;

  return asked_us + within_ms * AZ_US_PER_MS;
}

/* Returns INT64_MAX if no cancelled task may still run. */
static int64_t
find_first_must_end_us (const struct az_sidecar *sidecar)
{
  int64_t first_us = INT64_MAX;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      const struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == sidecar->life.number)
        first_us = MIN (first_us, task->must_end_us);
    }
  return first_us;
}

int64_t
az_sidecar_next_lease_end (const struct az_sidecar *sidecar)
{
  const struct az_lease *lease = &sidecar->lease;
  int64_t now_clock_ms = az_lease_end_clock (lease, 0, sidecar->now_us);
  int64_t wanted_ms = now_clock_ms + sidecar->settings.lease_ms;
  int64_t must_end_us = find_first_must_end_us (sidecar);
  int64_t end_ms;

  if (must_end_us == INT64_MAX)
    return wanted_ms;
  end_ms = MIN (wanted_ms, az_lease_end_clock_before (lease, must_end_us));
  return end_ms > now_clock_ms ? end_ms : 0;
}

bool
az_sidecar_is_stop_overdue (const struct az_sidecar *sidecar)
{
  int64_t must_end_us = find_first_must_end_us (sidecar);

  return must_end_us != INT64_MAX
         && must_end_us - sidecar->now_us < sidecar->settings.lease_ms / 2 * AZ_US_PER_MS;
}
