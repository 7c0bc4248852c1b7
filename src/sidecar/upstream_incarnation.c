#include "azurerock/log.h"
#include "sidecar/state.h"
#include <string.h>

/* Consecutive failed holds after which the upstream counts as unreachable and no task is
 * started. */
#define UNREACHABLE_AFTER_FAILURES 2

const char *
az_sidecar_closed_reason (const struct az_sidecar *sidecar)
{
  const struct withdrawal *withdrawal = &sidecar->withdrawal;

  if (sidecar->is_stopping)
    return "stopping";
  if (sidecar->life.number == 0 || sidecar->life.has_left)
    return "no-upstream";
  if (sidecar->life.is_draining)
    return "upstream-draining";
  if (withdrawal->confirmed_us == 0)
    return "withdrawals-unknown";
  if (withdrawal->is_withdrawn)
    return "domain-withdrawn";
  if (!sidecar->life.is_fenced || !sidecar->lease.is_known)
    return "upstream-not-fenced";
  if (sidecar->hold.n_consecutive_failures >= UNREACHABLE_AFTER_FAILURES)
    return "upstream-silent";
  return NULL;
}

bool
az_sidecar_is_open (const struct az_sidecar *sidecar)
{
  return !az_sidecar_closed_reason (sidecar);
}

const char *
az_sidecar_upstream_address (const struct az_sidecar *sidecar)
{
  return sidecar->life.address;
}

/* What a new incarnation means for the tasks of the former one. */
enum replacement
{
  REPLACED_BY_ANOTHER, /* the former one has ended; the new one refuses requests to its id */
  REPLACED_SAME_ID,    /* the former one has ended; the new one may carry out requests to it */
  MOVED,               /* at another address: the former one runs until its leases have ended */
};

static void
release_capacity (struct az_sidecar *sidecar, struct task *task)
{
  az_resources_subtract (&sidecar->used, &task->need);
  task->need = (struct az_resources){ 0 };
}

static void
end_former_incarnation (struct az_sidecar *sidecar, enum replacement replacement)
{
  uint32_t handle = az_table_rows_next (sidecar->tasks, 0);

  while (handle)
    {
      uint32_t next = az_table_rows_next (sidecar->tasks, handle);

      switch (replacement)
        {
        case REPLACED_BY_ANOTHER:
          az_sidecar_end_task (sidecar, handle, AZ_TASK_LOST);
          break;
        case REPLACED_SAME_ID:
          az_sidecar_lose_or_suspend_task (sidecar, handle);
          break;
        case MOVED:
          release_capacity (sidecar, az_sidecar_get_task (sidecar, handle));
          break;
        }
      handle = next;
    }
}

static void
transfer_suspended_tasks (struct az_sidecar *sidecar)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->state == TASK_SUSPENDED)
        az_sidecar_transfer_task (sidecar, task);
    }
}

void
az_sidecar_handle_replacement (struct az_sidecar *sidecar, bool has_same_id)
{
  if (sidecar->life.has_left)
    return;
  az_log (LOG_NOTICE, "event=upstream-replaced former=%s same_id=%s tasks=%u",
          sidecar->life.instance, has_same_id ? "yes" : "no", az_table_rows_count (sidecar->tasks));
  end_former_incarnation (sidecar, has_same_id ? REPLACED_SAME_ID : REPLACED_BY_ANOTHER);
  az_sidecar_begin_fence (sidecar);
  sidecar->lease.is_known = false;
  sidecar->life.is_fenced = false;
  sidecar->life.has_left = true;
}

static void
clear_incarnation (struct life *life)
{
  g_free (life->instance);
  g_free (life->service);
  g_free (life->address);
  g_clear_pointer (&life->labels, g_ptr_array_unref);
}

static enum replacement
compare_incarnations (const struct life *life, const struct az_upstream_announcement *announcement)
{
  if (!strcmp (life->instance, announcement->instance))
    return REPLACED_SAME_ID;
  return strcmp (life->address, announcement->address) != 0 ? MOVED : REPLACED_BY_ANOTHER;
}

/* A restarted upstream has lost the fence and the attempts that it knew, and its clock starts
 * again, so only a higher fence excludes requests that were sent before. */
static void
begin_incarnation (struct az_sidecar *sidecar, const struct az_upstream_announcement *announcement)
{
  struct life *life = &sidecar->life;

  if (life->number > 0)
    {
      end_former_incarnation (sidecar, compare_incarnations (life, announcement));
      az_sidecar_begin_fence (sidecar);
    }
  clear_incarnation (life);
  *life = (struct life){
    .number = life->number + 1,
    .instance = g_strdup (announcement->instance),
    .service = g_strdup (announcement->service),
    .address = g_strdup (announcement->address),
    .started_ms = announcement->started_ms,
    .labels = g_ptr_array_new_with_free_func (g_free),
  };
  az_speed_init (&life->speed);
  sidecar->lease.is_known = false;
  g_array_set_size (sidecar->hold.in_flight, 0);
  sidecar->hold = (struct hold_state){ .number = sidecar->hold.number + 1,
                                       .in_flight = sidecar->hold.in_flight };
  transfer_suspended_tasks (sidecar);
  az_log (LOG_NOTICE,
          "event=upstream-life life=%" G_GUINT64_FORMAT
          " instance=%s service=%s address=%s born_ms=%" G_GINT64_FORMAT
          " cpu=%u fence=%" G_GUINT64_FORMAT " tasks=%u",
          life->number, life->instance, life->service, life->address, life->started_ms,
          announcement->capacity.cpu_milli, sidecar->fence, az_table_rows_count (sidecar->tasks));
}

static bool
is_newer_incarnation (const struct life *life, const struct az_upstream_announcement *announcement)
{
  if (life->number == 0)
    return true;
  if (!strcmp (life->instance, announcement->instance))
    return announcement->started_ms > life->started_ms;
  return announcement->started_ms >= life->started_ms || life->has_left;
}

bool
az_sidecar_upstream_announced (struct az_sidecar *sidecar,
                               const struct az_upstream_announcement *announcement)
{
  struct life *life = &sidecar->life;

  sidecar->now_us = az_now_us (sidecar->clock);
  if (is_newer_incarnation (life, announcement))
    begin_incarnation (sidecar, announcement);
  else if (strcmp (life->instance, announcement->instance) != 0
           || announcement->started_ms != life->started_ms
           || announcement->sequence <= life->sequence)
    {
      az_log (LOG_INFO,
              "event=announcement-ignored instance=%s born_ms=%" G_GINT64_FORMAT
              " sequence=%" G_GUINT64_FORMAT " present=%s",
              announcement->instance, announcement->started_ms, announcement->sequence,
              life->instance);
      return false;
    }
  if (announcement->is_draining && !life->is_draining)
    az_log (LOG_NOTICE, "event=upstream-draining instance=%s", life->instance);
  life->sequence = announcement->sequence;
  life->is_draining = announcement->is_draining;
  life->capacity = announcement->capacity;
  g_ptr_array_set_size (life->labels, 0);
  for (guint i = 0; i < announcement->labels->len; i++)
    g_ptr_array_add (life->labels, g_strdup (announcement->labels->pdata[i]));
  az_sidecar_send_due_holds (sidecar);
  return true;
}

void
az_sidecar_upstream_left (struct az_sidecar *sidecar, const char *instance)
{
  if (sidecar->life.number == 0 || strcmp (sidecar->life.instance, instance) != 0)
    return;
  sidecar->life.has_left = true;
  az_log (LOG_NOTICE, "event=upstream-left instance=%s", instance);
}
