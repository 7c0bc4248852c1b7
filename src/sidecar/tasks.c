#include "azurerock/log.h"
#include "sidecar/interference.h"
#include "sidecar/state.h"
#include <string.h>

/* Limit of repeated starts of a task. Each has a higher attempt or fence than the one before, since
 * the upstream has seen a higher one or the attempt before was stopped. */
#define START_RETRIES_MAX 6

struct task *
az_sidecar_get_task (const struct az_sidecar *sidecar, uint32_t handle)
{
  struct task **row = az_table_rows_get (sidecar->tasks, handle);

  return row ? *row : NULL;
}

uint64_t
az_sidecar_job_key (const struct task *task)
{
  return task->job ^ ((uint64_t)task->session << 40);
}

uint32_t
az_sidecar_find_task (const struct az_sidecar *sidecar, const char *name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (sidecar->task_names, name));
}

static uint32_t
add_task (struct az_sidecar *sidecar, const char *name)
{
  struct task *task = g_new0 (struct task, 1);
  struct task **row;
  uint32_t handle = az_table_rows_add (sidecar->tasks, (void **)&row);

  *row = task;
  task->name = g_strdup (name);
  task->life = sidecar->life.number;
  task->acknowledged_at_hold = UINT64_MAX;
  task->must_end_us = INT64_MAX;
  g_hash_table_replace (sidecar->task_names, task->name, GUINT_TO_POINTER (handle));
  return handle;
}

static void
refuse_task (struct az_sidecar *sidecar,
             struct session *session,
             const struct az_node_run *run,
             const struct az_run_task *row,
             enum az_task_end how,
             const char *reason)
{
  const struct az_task_event event = {
    .job = run->job,
    .step = run->step,
    .index = row->index,
    .attempt = row->attempt,
    .how = how,
  };

  az_counters_add (sidecar->counters, sidecar->refusals_counter, 1);
  az_log (LOG_INFO, "event=refuse task=%s.%u attempt=%u reason=%s used_cpu=%u need_cpu=%u",
          run->name, row->index, row->attempt, reason, sidecar->used.cpu_milli,
          run->need.cpu_milli);
  az_sidecar_queue_event (sidecar, session, &event);
}

static void
send_start (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);
  const struct az_upstream_start start = {
    .instance = sidecar->life.instance,
    .task = task->name,
    .attempt = task->attempt,
    .specification = g_bytes_get_data (task->specification, NULL),
    .lease_end_clock_ms = az_sidecar_next_lease_end (sidecar),
    .fence = sidecar->fence,
  };

  task->state = TASK_STARTING;
  task->start_sent_us = task->percent_changed_us = sidecar->now_us;
  task->start_expires_us = az_lease_latest_end_us (&sidecar->lease, start.lease_end_clock_ms);
  az_sidecar_extend_leases (sidecar, start.lease_end_clock_ms);
  sidecar->io.start (sidecar->io.context, handle, &start);
}

static void
start_task (struct az_sidecar *sidecar,
            struct session *session,
            const struct az_node_run *run,
            const struct az_run_task *row,
            const char *name,
            GBytes *specification)
{
  uint32_t handle = add_task (sidecar, name);
  struct task *task = az_sidecar_get_task (sidecar, handle);

  task->session = session->handle;
  task->owner_gateway = g_strdup (session->gateway);
  task->job = run->job;
  task->queue = g_strdup (run->queue);
  task->job_id = g_strdup (run->job_id);
  task->step = run->step;
  task->index = row->index;
  task->attempt = task->ordered_attempt = row->attempt;
  task->need = run->need;
  task->expected_us = (int64_t)run->expected_ms * AZ_US_PER_MS;
  task->specification = g_bytes_ref (specification);
  session->n_tasks++;
  az_resources_add (&sidecar->used, &run->need);
  az_sidecar_observe_start (sidecar, task);
  az_counters_add (sidecar->counters, sidecar->starts_counter, 1);
  send_start (sidecar, handle);
}

/* A gateway that receives nothing for the session timeout treats its requests as lost and runs the
 * tasks elsewhere. A request that was delayed for longer, in the network or because this process
 * was paused, must not start them a second time. */
static bool
is_delayed (const struct az_sidecar *sidecar, const struct az_node_run *run)
{
  int64_t age_ms = sidecar->now_us / AZ_US_PER_MS - (int64_t)run->clock_ms;

  return age_ms > sidecar->settings.session_timeout_ms;
}

/* Returns a NUL-terminated copy. The pointer of an empty specification may be NULL. */
static GBytes *
copy_specification (const struct az_node_run *run)
{
  size_t length = run->specification.az_specification_len;
  char *text = g_malloc0 (length + 1);

  if (length > 0)
    memcpy (text, run->specification.az_specification_val, length);
  return g_bytes_new_take (text, length + 1);
}

/* The capacity may shrink while tasks run. */
static bool
is_over_capacity (const struct az_sidecar *sidecar)
{
  return !az_resources_fit (&sidecar->used, &sidecar->life.capacity);
}

void
az_sidecar_run_tasks (struct az_sidecar *sidecar,
                      struct session *session,
                      const struct az_node_run *run)
{
  g_autoptr (GBytes) specification = copy_specification (run);
  const char *closed
      = is_delayed (sidecar, run) ? "order-delayed" : az_sidecar_closed_reason (sidecar);

  for (u_int i = 0; i < run->tasks.tasks_len; i++)
    {
      const struct az_run_task *row = &run->tasks.tasks_val[i];
      struct az_resources free = az_sidecar_available_capacity (sidecar);
      char name[AZ_MAX_NAME + 16];

      g_snprintf (name, sizeof name, "%s.%u", run->name, row->index);
      if (closed)
        refuse_task (sidecar, session, run, row, AZ_TASK_CLOSED, closed);
      else if (az_speed_is_slow (sidecar->life.speed.value)
               && az_table_rows_count (sidecar->tasks) > 0)
        refuse_task (sidecar, session, run, row, AZ_TASK_CLOSED, "slow-upstream-is-probed");
      else if (az_sidecar_find_task (sidecar, name))
        refuse_task (sidecar, session, run, row, AZ_TASK_CLOSED, "earlier-run-present");
      else if (is_over_capacity (sidecar) || !az_resources_fit (&run->need, &free))
        refuse_task (sidecar, session, run, row, AZ_TASK_NO_ROOM, "no-room");
      else
        start_task (sidecar, session, run, row, name, specification);
    }
}

static void
send_stop (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);
  const struct az_upstream_stop stop = {
    .instance = sidecar->life.instance,
    .task = task->name,
    .attempt = task->attempt,
    .fence = sidecar->fence,
  };

  task->is_stop_in_flight = true;
  task->stopped_attempt = task->attempt;
  task->stopped_life = task->life;
  sidecar->io.stop (sidecar->io.context, handle, &stop);
}

void
az_sidecar_reset_stop (struct task *task)
{
  task->is_stop_requested = false;
  task->is_stop_acknowledged = false;
}

static void
request_stop (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  /* The first accepted hold decides on a suspended task; it is stopped only if it is listed. */
  if (task->is_stop_requested || task->state == TASK_SUSPENDED)
    return;
  task->is_stop_requested = true;
  if (task->life == sidecar->life.number && !task->is_stop_in_flight)
    send_stop (sidecar, handle);
}

void
az_sidecar_cancel_task (struct az_sidecar *sidecar, uint32_t handle, int64_t asked_us)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  task->is_cancelled = true;
  task->must_end_us = MIN (task->must_end_us, az_sidecar_must_end_us (sidecar, asked_us));
  request_stop (sidecar, handle);
}

void
az_sidecar_stop_tasks (struct az_sidecar *sidecar,
                       uint32_t session,
                       const struct az_node_stop *stop)
{
  /* A gateway that was paused for up to the session time-out sends the stop that much later than
   * its caller left. */
  int64_t earliest_reason_us
      = sidecar->now_us - sidecar->settings.session_timeout_ms * AZ_US_PER_MS;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);
      bool is_named = stop->indexes.indexes_len == 0;

      if (task->session != session || task->job != stop->job || task->step != stop->step)
        continue;
      for (u_int i = 0; i < stop->indexes.indexes_len && !is_named; i++)
        is_named = stop->indexes.indexes_val[i] == task->index;
      if (is_named)
        az_sidecar_cancel_task (sidecar, handle, earliest_reason_us);
    }
}

void
az_sidecar_adopt_task (struct az_sidecar *sidecar, const char *name, uint32_t attempt)
{
  uint32_t handle = add_task (sidecar, name);
  struct task *task = az_sidecar_get_task (sidecar, handle);

  task->attempt = attempt;
  task->latest_end_us = sidecar->now_us + ADOPTED_LEASE_MAX_MS * AZ_US_PER_MS;
  task->state = TASK_RUNNING;
  task->acknowledged_at_hold = sidecar->hold.number;
  az_log (LOG_NOTICE, "event=adopt task=%s attempt=%u life=%" G_GUINT64_FORMAT " outcome=stopping",
          name, attempt, task->life);
  az_sidecar_cancel_task (sidecar, handle, sidecar->now_us);
}

static void
record_end (struct az_sidecar *sidecar, const struct task *task, enum az_task_end how)
{
  struct life *life = &sidecar->life;

  if (task->life != life->number)
    return;
  if (how == AZ_TASK_DONE)
    life->n_done++;
  if (how == AZ_TASK_FAILED || how == AZ_TASK_LOST || how == AZ_TASK_UNHEALTHY)
    life->n_failed++;
  if (how == AZ_TASK_DONE && task->expected_us > 0 && !task->is_recorded_as_slow)
    az_speed_update (&life->speed, az_sidecar_job_key (task), task->expected_us,
                     sidecar->now_us - task->start_sent_us);
}

void
az_sidecar_end_task (struct az_sidecar *sidecar, uint32_t handle, enum az_task_end how)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);
  struct session *session = az_sidecar_get_session (sidecar, task->session);
  struct az_task_event event = {
    .job = task->job,
    .step = task->step,
    .index = task->index,
    .attempt = MAX (task->attempt, task->ordered_attempt),
    .run_ms = (u_int)az_round_ms (sidecar->now_us - task->start_sent_us),
  };

  if (how == AZ_TASK_LOST && task->has_upstream_crashed)
    how = AZ_TASK_CRASHED;
  event.how = how;
  az_sidecar_observe_end (sidecar, task, how);
  record_end (sidecar, task, how);
  if (how == AZ_TASK_DONE)
    az_histogram_observe (&sidecar->run_times_ms, event.run_ms);
  if (how == AZ_TASK_LOST || how == AZ_TASK_CRASHED)
    az_counters_add (sidecar->counters, sidecar->lost_counter, 1);
  if (how == AZ_TASK_STOPPED)
    az_counters_add (sidecar->counters, sidecar->stopped_counter, 1);
  if (how != AZ_TASK_DONE)
    az_log (LOG_INFO, "event=task-end task=%s attempt=%u how=%d run_ms=%u told=%s", task->name,
            task->attempt, (int)how, event.run_ms, session ? session->gateway : "nobody");
  az_resources_subtract (&sidecar->used, &task->need);
  if (session)
    {
      session->n_tasks--;
      az_sidecar_queue_event (sidecar, session, &event);
    }
  if (az_sidecar_find_task (sidecar, task->name) == handle)
    g_hash_table_remove (sidecar->task_names, task->name);
  az_table_rows_remove (sidecar->tasks, handle);
  if (task->specification)
    g_bytes_unref (task->specification);
  g_free (task->owner_gateway);
  g_free (task->queue);
  g_free (task->job_id);
  g_free (task->name);
  g_free (task);
}

/* After a pause of this process, answers of the upstream may be handled before the expired session
 * is closed. */
static bool
is_session_silent (const struct az_sidecar *sidecar, uint32_t handle)
{
  const struct session *session = az_sidecar_get_session (sidecar, handle);

  return !session
         || sidecar->now_us - session->last_sent_us
                > sidecar->settings.session_timeout_ms * AZ_US_PER_MS;
}

static void
retry_start (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  if (++task->n_retries > START_RETRIES_MAX || task->is_cancelled
      || task->life != sidecar->life.number || az_sidecar_closed_reason (sidecar) != NULL
      || is_session_silent (sidecar, task->session))
    {
      az_sidecar_end_task (sidecar, handle, AZ_TASK_CLOSED);
      return;
    }
  if (is_over_capacity (sidecar))
    {
      az_sidecar_end_task (sidecar, handle, AZ_TASK_NO_ROOM);
      return;
    }
  send_start (sidecar, handle);
}

/* Ends a task that doesn't run at present. A start request that was neither answered nor stopped
 * may still be carried out, unless the upstream knows a higher fence by then. */
static void
lose_task (struct az_sidecar *sidecar, uint32_t handle)
{
  const struct task *task = az_sidecar_get_task (sidecar, handle);
  bool may_start_late = (task->state == TASK_STARTING || task->state == TASK_UNCERTAIN)
                        && !task->is_stop_acknowledged && task->life == sidecar->life.number;

  if (may_start_late)
    az_sidecar_begin_fence (sidecar);
  az_sidecar_end_task (sidecar, handle, AZ_TASK_LOST);
}

void
az_sidecar_handle_missing_task (struct az_sidecar *sidecar, uint32_t handle)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  if (task->state != TASK_UNCERTAIN || !task->is_stop_acknowledged || task->is_cancelled)
    {
      if (task->is_stop_acknowledged)
        az_sidecar_end_task (sidecar, handle, AZ_TASK_STOPPED);
      else
        lose_task (sidecar, handle);
      return;
    }
  /* The attempt has never run, and the acknowledged stop prevents it from starting later. */
  task->attempt++;
  az_sidecar_reset_stop (task);
  task->acknowledged_at_hold = UINT64_MAX;
  retry_start (sidecar, handle);
}

void
az_sidecar_start_answered (struct az_sidecar *sidecar,
                           uint32_t handle,
                           const struct az_upstream_answer *answer)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  sidecar->now_us = az_now_us (sidecar->clock);
  if (!task || task->state != TASK_STARTING)
    return;
  if (task->life == sidecar->life.number && az_sidecar_shows_restart (sidecar, answer))
    {
      az_sidecar_handle_restart (sidecar, answer->started_ms);
      return;
    }
  if (answer->clock_ms >= 0 && task->life == sidecar->life.number)
    az_lease_observe (&sidecar->lease, answer->clock_ms, sidecar->now_us);
  if (answer->result != AZ_UPSTREAM_OK)
    az_log (LOG_INFO,
            "event=start task=%s attempt=%u outcome=%s life=%" G_GUINT64_FORMAT
            " fence=%" G_GUINT64_FORMAT,
            task->name, task->attempt, az_upstream_result_name (answer->result), task->life,
            sidecar->fence);
  switch (answer->result)
    {
    case AZ_UPSTREAM_OK:
      task->state = TASK_RUNNING;
      task->acknowledged_at_hold = sidecar->hold.number;
      break;
    case AZ_UPSTREAM_STALE_ATTEMPT:
      task->attempt += 1u << MIN (task->n_retries, 10);
      retry_start (sidecar, handle);
      break;
    case AZ_UPSTREAM_FENCED:
      az_sidecar_raise_fence (sidecar);
      retry_start (sidecar, handle);
      break;
    case AZ_UPSTREAM_NO_ROOM:
      az_sidecar_end_task (sidecar, handle, AZ_TASK_NO_ROOM);
      break;
    case AZ_UPSTREAM_UNHEALTHY:
      az_sidecar_end_task (sidecar, handle, AZ_TASK_UNHEALTHY);
      break;
    case AZ_UPSTREAM_LEASE_EXPIRED:
    case AZ_UPSTREAM_OTHER_INSTANCE:
    case AZ_UPSTREAM_INVALID:
    case AZ_UPSTREAM_NOT_SENT:
      az_sidecar_end_task (sidecar, handle, AZ_TASK_CLOSED);
      break;
    case AZ_UPSTREAM_UNANSWERED:
      /* Only a stop of the same attempt, or the end of the lease, proves that the attempt won't
       * run. */
      task->state = TASK_UNCERTAIN;
      request_stop (sidecar, handle);
      break;
    }
}

void
az_sidecar_stop_answered (struct az_sidecar *sidecar,
                          uint32_t handle,
                          const struct az_upstream_answer *answer)
{
  struct task *task = az_sidecar_get_task (sidecar, handle);

  sidecar->now_us = az_now_us (sidecar->clock);
  az_sidecar_expire_task_sessions (sidecar);
  if (!task)
    return;
  task->is_stop_in_flight = false;
  if (task->stopped_attempt != task->attempt || task->stopped_life != task->life)
    return;
  if (answer->result == AZ_UPSTREAM_OK)
    {
      task->is_stop_acknowledged = true;
      task->acknowledged_at_hold = sidecar->hold.number;
      /* If the start was never carried out, the upstream will list no end of the task, but the
       * answer to a hold will show that the task doesn't run. */
      if (task->state == TASK_UNCERTAIN)
        az_sidecar_send_immediate_hold (sidecar);
      return;
    }
  az_log (LOG_INFO, "event=stop task=%s attempt=%u outcome=%s", task->name, task->attempt,
          az_upstream_result_name (answer->result));
  if (answer->result == AZ_UPSTREAM_FENCED)
    az_sidecar_raise_fence (sidecar);
}

/* Repeats stop requests that failed, and ends as lost the tasks whose leases have expired. */
void
az_sidecar_expire_tasks (struct az_sidecar *sidecar)
{
  uint32_t handle = az_table_rows_next (sidecar->tasks, 0);

  while (handle)
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);
      uint32_t next = az_table_rows_next (sidecar->tasks, handle);
      bool is_current = task->life == sidecar->life.number;

      if (sidecar->now_us >= task->latest_end_us)
        lose_task (sidecar, handle);
      else if (task->is_stop_requested && !task->is_stop_in_flight && !task->is_stop_acknowledged
               && is_current)
        send_stop (sidecar, handle);
      handle = next;
    }
}

bool
az_sidecar_has_orphans (const struct az_sidecar *sidecar, const struct session *session)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      const struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->session != session->handle
          && (!task->owner_gateway || !g_strcmp0 (task->owner_gateway, session->gateway)))
        return true;
    }
  return false;
}
