#include "azurerock/log.h"
#include "sidecar/interference.h"
#include "sidecar/state.h"
#include <string.h>

/* Consecutive failed holds after which the upstream counts as unreachable and no task is
 * started. */
#define UNREACHABLE_AFTER_FAILURES 2

/* An answer that states no birth time and whose clock is behind that of an earlier answer by more
 * than this comes from another incarnation: answers overtake each other by at most the time-out of
 * a request, which is shorter. */
#define ANSWER_DELAY_MAX_MS 1000

const char *
az_sidecar_closed_reason (const struct az_sidecar *sidecar)
{
  const struct withdrawal *withdrawal = &sidecar->withdrawal;

  if (sidecar->is_stopping)
    return "stopping";
  if (sidecar->life.number == 0 || sidecar->life.has_left)
    return "no-upstream";
  if (!sidecar->life.is_announced)
    return "upstream-not-announced";
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
  if (az_sidecar_is_stop_overdue (sidecar))
    return "stop-overdue";
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
  RESTARTED,           /* the former one has ended; the new one accepts requests to it */
  MOVED,               /* at another address: the former one runs until its leases have ended */
};

static void
release_capacity (struct az_sidecar *sidecar, struct task *task)
{
  az_resources_subtract (&sidecar->used, &task->need);
  task->need = (struct az_resources){ 0 };
}

static void
handle_former_task (struct az_sidecar *sidecar, uint32_t handle, enum replacement replacement)
{
  switch (replacement)
    {
    case REPLACED_BY_ANOTHER:
      az_sidecar_end_task (sidecar, handle, AZ_TASK_LOST);
      break;
    case RESTARTED:
      az_sidecar_suspend_task (sidecar, handle);
      break;
    case MOVED:
      release_capacity (sidecar, az_sidecar_get_task (sidecar, handle));
      break;
    }
}

/* Tasks of an incarnation before the former one, at another address, end with their leases. */
static void
end_former_incarnation (struct az_sidecar *sidecar, enum replacement replacement)
{
  uint32_t handle = az_table_rows_next (sidecar->tasks, 0);

  if (replacement != MOVED)
    az_sidecar_record_crash (sidecar);
  while (handle)
    {
      uint32_t next = az_table_rows_next (sidecar->tasks, handle);

      if (az_sidecar_get_task (sidecar, handle)->life == sidecar->life.number)
        handle_former_task (sidecar, handle, replacement);
      handle = next;
    }
}

static void
clear_life (struct life *life)
{
  g_free (life->instance);
  g_free (life->service);
  g_free (life->address);
  g_clear_pointer (&life->labels, g_ptr_array_unref);
}

static void
transfer_suspended_tasks (struct az_sidecar *sidecar, uint64_t former_life)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == former_life && task->state == TASK_SUSPENDED)
        az_sidecar_transfer_task (sidecar, task);
    }
}

static void
log_life (const struct az_sidecar *sidecar)
{
  const struct life *life = &sidecar->life;

  az_log (LOG_NOTICE,
          "event=upstream-life life=%" G_GUINT64_FORMAT
          " instance=%s service=%s address=%s born_ms=%" G_GINT64_FORMAT
          " cpu=%u fence=%" G_GUINT64_FORMAT " tasks=%u",
          life->number, life->instance, life->service, life->address, life->started_ms,
          life->capacity.cpu_milli, sidecar->fence, az_table_rows_count (sidecar->tasks));
}

/* Takes over @next, which replaces the present incarnation. A restarted upstream has lost the fence
 * and the attempts that it knew, and its clock starts again, so only a higher fence excludes
 * requests that were sent before. */
static void
begin_life (struct az_sidecar *sidecar, const struct life *next, enum replacement replacement)
{
  struct life *life = &sidecar->life;
  int64_t former_started_ms = MAX (life->started_ms, life->former_started_ms);
  uint64_t former_life = life->number;

  if (former_life > 0)
    {
      end_former_incarnation (sidecar, replacement);
      az_sidecar_begin_fence (sidecar);
    }
  clear_life (life);
  *life = *next;
  life->number = former_life + 1;
  life->announced_clock_ms = -1;
  if (replacement == RESTARTED)
    life->former_started_ms = former_started_ms;
  az_speed_init (&life->speed, sidecar->settings.relative_slowness);
  az_sidecar_reset_interference (sidecar);
  sidecar->lease.is_known = false;
  g_array_set_size (sidecar->hold.in_flight, 0);
  sidecar->hold = (struct hold_state){ .number = sidecar->hold.number + 1,
                                       .in_flight = sidecar->hold.in_flight };
  if (replacement == RESTARTED)
    transfer_suspended_tasks (sidecar, former_life);
  log_life (sidecar);
}

bool
az_sidecar_shows_restart (const struct az_sidecar *sidecar, const struct az_upstream_answer *answer)
{
  if (answer->result == AZ_UPSTREAM_OTHER_INSTANCE)
    return false;
  if (answer->started_ms > 0)
    return answer->started_ms != sidecar->life.started_ms;
  return sidecar->lease.is_known && answer->clock_ms >= 0
         && answer->clock_ms < sidecar->lease.clock_ms - ANSWER_DELAY_MAX_MS;
}

void
az_sidecar_handle_restart (struct az_sidecar *sidecar, int64_t started_ms)
{
  const struct life *life = &sidecar->life;
  const struct life next = {
    .instance = g_strdup (life->instance),
    .service = g_strdup (life->service),
    .address = g_strdup (life->address),
    .started_ms = started_ms,
    .capacity = life->capacity,
    .labels = g_ptr_array_new_with_free_func (g_free),
  };

  begin_life (sidecar, &next, RESTARTED);
  az_sidecar_send_due_holds (sidecar);
}

void
az_sidecar_handle_other_instance (struct az_sidecar *sidecar)
{
  if (!sidecar->life.has_left)
    az_log (LOG_NOTICE, "event=upstream-replaced former=%s tasks=%u", sidecar->life.instance,
            az_table_rows_count (sidecar->tasks));
  end_former_incarnation (sidecar, REPLACED_BY_ANOTHER);
  sidecar->life.has_left = true;
}

static enum replacement
compare_incarnations (const struct life *life, const struct az_upstream_announcement *announcement)
{
  if (!life->instance || !strcmp (life->instance, announcement->instance))
    return RESTARTED;
  return strcmp (life->address, announcement->address) != 0 ? MOVED : REPLACED_BY_ANOTHER;
}

/* Whether nothing is lost if an older announcement replaces the present incarnation. If that
 * answers after all, its next announcement replaces the older one. */
static bool
is_abandoned (const struct az_sidecar *sidecar)
{
  return sidecar->hold.n_consecutive_failures >= UNREACHABLE_AFTER_FAILURES
         && az_table_rows_count (sidecar->tasks) == 0;
}

/* Birth times come from the wall clock of the upstream's machine, which may have been set back, so
 * one that is lower than a former one doesn't show which incarnation is newer. */
static bool
is_newer_incarnation (const struct az_sidecar *sidecar,
                      const struct az_upstream_announcement *announcement)
{
  const struct life *life = &sidecar->life;

  if (life->number == 0)
    return true;
  if (!strcmp (life->instance, announcement->instance))
    return announcement->started_ms > MAX (life->started_ms, life->former_started_ms);
  return announcement->started_ms >= life->started_ms || life->has_left || is_abandoned (sidecar);
}

/* Only an answer can tell a restart after the clock was set back from a late announcement. */
static bool
may_be_restarted (const struct life *life, const struct az_upstream_announcement *announcement)
{
  return !strcmp (life->instance, announcement->instance)
         && announcement->started_ms != life->started_ms;
}

static void
update_labels (struct life *life, const GPtrArray *labels)
{
  if (az_sidecar_has_labels (life, labels))
    return;
  life->description++;
  g_ptr_array_set_size (life->labels, 0);
  for (guint i = 0; i < labels->len; i++)
    g_ptr_array_add (life->labels, g_strdup (labels->pdata[i]));
}

static void
update_service (struct life *life, const char *service)
{
  if (life->is_announced && !strcmp (life->service, service))
    return;
  life->description++;
  g_free (life->service);
  life->service = g_strdup (service);
}

static void
update_life (struct az_sidecar *sidecar, const struct az_upstream_announcement *announcement)
{
  struct life *life = &sidecar->life;

  update_service (life, announcement->service);
  update_labels (life, announcement->labels);
  life->is_announced = true;
  life->announced_us = sidecar->now_us;
  life->announced_clock_ms = MAX (life->announced_clock_ms, announcement->clock_ms);
  life->sequence = announcement->sequence;
  life->is_draining = announcement->is_draining;
  life->capacity = announcement->capacity;
}

void
az_sidecar_begin_announced_life (struct az_sidecar *sidecar,
                                 const struct az_upstream_announcement *announcement)
{
  const struct life next = {
    .instance = g_strdup (announcement->instance),
    .service = g_strdup (announcement->service),
    .address = g_strdup (announcement->address),
    .started_ms = announcement->started_ms,
    .capacity = announcement->capacity,
    .labels = g_ptr_array_new_with_free_func (g_free),
  };

  begin_life (sidecar, &next, compare_incarnations (&sidecar->life, announcement));
  update_life (sidecar, announcement);
  az_sidecar_send_due_holds (sidecar);
}

static void
log_ignored (const struct life *life,
             const struct az_upstream_announcement *announcement,
             const char *reason)
{
  az_log (LOG_INFO,
          "event=announcement-ignored instance=%s born_ms=%" G_GINT64_FORMAT
          " sequence=%" G_GUINT64_FORMAT
          " address=%s service=%s domain=%s clock_ms=%" G_GINT64_FORMAT " reason=%s present=%s",
          announcement->instance, announcement->started_ms, announcement->sequence,
          announcement->address, announcement->service, announcement->domain,
          announcement->clock_ms, reason, life->instance ? life->instance : "-");
}

bool
az_sidecar_names_present (const struct life *life,
                          const struct az_upstream_announcement *announcement)
{
  return life->number > 0 && !strcmp (life->instance, announcement->instance)
         && announcement->started_ms == life->started_ms;
}

static const char *
find_ignore_reason (const struct az_sidecar *sidecar,
                    const struct az_upstream_announcement *announcement)
{
  if (!az_sidecar_names_present (&sidecar->life, announcement))
    return "other-incarnation";
  return az_sidecar_find_contradiction (sidecar, announcement);
}

bool
az_sidecar_upstream_announced (struct az_sidecar *sidecar,
                               const struct az_upstream_announcement *announcement)
{
  const struct life *life = &sidecar->life;
  const char *reason;

  sidecar->now_us = az_now_us (sidecar->clock);
  /* The upstream runs on the same machine. */
  if (strcmp (announcement->domain, sidecar->settings.domain) != 0)
    {
      log_ignored (life, announcement, "other-domain");
      return false;
    }
  if (is_newer_incarnation (sidecar, announcement))
    {
      az_sidecar_set_candidate (sidecar, announcement);
      return false;
    }
  reason = find_ignore_reason (sidecar, announcement);
  if (reason)
    {
      log_ignored (life, announcement, reason);
      if (life->has_left && may_be_restarted (life, announcement))
        az_sidecar_send_immediate_hold (sidecar);
      return false;
    }
  az_sidecar_review_departure (sidecar, announcement);
  if (announcement->is_draining && !life->is_draining)
    az_log (LOG_NOTICE, "event=upstream-draining instance=%s", life->instance);
  update_life (sidecar, announcement);
  az_sidecar_send_due_holds (sidecar);
  return true;
}
