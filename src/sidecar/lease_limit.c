#include "azurerock/log.h"
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

/* Returns the cancelled task that must end first, or NULL if none may still run. */
static const struct task *
find_first_to_end (const struct az_sidecar *sidecar)
{
  const struct task *first = NULL;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      const struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == sidecar->life.number && task->must_end_us != INT64_MAX
          && (!first || task->must_end_us < first->must_end_us))
        first = task;
    }
  return first;
}

int64_t
az_sidecar_next_lease_end (const struct az_sidecar *sidecar)
{
  const struct az_lease *lease = &sidecar->lease;
  int64_t now_clock_ms = az_lease_end_clock (lease, 0, sidecar->now_us);
  int64_t wanted_ms = now_clock_ms + sidecar->settings.lease_ms;
  const struct task *first = find_first_to_end (sidecar);
  int64_t end_ms;

  if (!first)
    return wanted_ms;
  end_ms = MIN (wanted_ms, az_lease_end_clock_before (lease, first->must_end_us));
  return end_ms > now_clock_ms ? end_ms : 0;
}

/* Returns NULL if no stop is overdue. */
static const struct task *
find_overdue_stop (const struct az_sidecar *sidecar)
{
  const struct task *first = find_first_to_end (sidecar);
  int64_t reserve_us = sidecar->settings.lease_ms / 2 * AZ_US_PER_MS;

  return first && first->must_end_us - sidecar->now_us < reserve_us ? first : NULL;
}

bool
az_sidecar_is_stop_overdue (const struct az_sidecar *sidecar)
{
  return find_overdue_stop (sidecar) != NULL;
}

void
az_sidecar_record_overdue_stop (struct az_sidecar *sidecar)
{
  const struct task *task = find_overdue_stop (sidecar);
  bool was_overdue = sidecar->has_overdue_stop;

  sidecar->has_overdue_stop = task != NULL;
  if (!task || was_overdue)
    return;
  az_counters_add (sidecar->counters, sidecar->overdue_counter, 1);
  az_log (LOG_WARNING,
          "event=stop-overdue task=%s attempt=%u acknowledged=%s ends_in_ms=%" G_GINT64_FORMAT
          " tasks=%u",
          task->name, task->attempt, task->is_stop_acknowledged ? "yes" : "no",
          (task->must_end_us - sidecar->now_us) / AZ_US_PER_MS,
          az_table_rows_count (sidecar->tasks));
}
