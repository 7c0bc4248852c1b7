#include "azurerock/log.h"
#include "sidecar/state.h"

/* A request without an answer is assumed not to be carried out later than this. The protocol states
 * no bound, only that it may take seconds. */
#define REQUEST_DELAY_MAX_MS 15000

void
az_sidecar_suspend_task (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  task->state = TASK_SUSPENDED;
  az_sidecar_reset_stop (task);
  task->acknowledged_at_hold = UINT64_MAX;
  /* A late start gets a new lease, and unanswered holds renew that of a start accepted before. */
  task->latest_end_us
      = sidecar->now_us + (REQUEST_DELAY_MAX_MS + ADOPTED_LEASE_MAX_MS) * AZ_US_PER_MS;
}

void
az_sidecar_transfer_task (const struct az_sidecar *sidecar, struct task *task)
{
  task->life = sidecar->life.number;
  task->acknowledged_at_hold = sidecar->hold.number;
}

void
az_sidecar_stop_late_start (struct az_sidecar *sidecar, uint32_t handle, uint32_t attempt)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  az_log (LOG_NOTICE,
          "event=late-start task=%s attempt=%u life=%" G_GUINT64_FORMAT " outcome=stopping",
          task->name, attempt, task->life);
  task->attempt = attempt;
  task->state = TASK_RUNNING;
  az_sidecar_reset_stop (task);
  task->latest_end_us = sidecar->now_us + ADOPTED_LEASE_MAX_MS * AZ_US_PER_MS;
  az_sidecar_cancel_task (sidecar, handle, sidecar->now_us);
}
