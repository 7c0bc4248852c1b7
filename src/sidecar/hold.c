#include "azurerock/log.h"
#include "sidecar/state.h"

/* How long the upstream delays the answer to a hold if no task ends. The time is shorter while
 * tasks run, so that progress is reported and the leases are renewed often. */
#define HOLD_WAIT_BUSY_MS 120
#define HOLD_WAIT_IDLE_MS 500
#define HOLD_RETRY_MS 40
#define HOLDS_WANTED_BUSY 2
#define HOLDS_IN_FLIGHT_MAX 10

/* Answers that the upstream sent together are expected to arrive within this time of each other. */
#define ANSWER_REORDER_MS 5

void
az_sidecar_raise_fence (struct az_sidecar *sidecar)
{
  sidecar->fence += sidecar->fence_step;
  sidecar->fence_step *= 2;
  az_log (LOG_NOTICE, "event=fence-raised fence=%" G_GUINT64_FORMAT, sidecar->fence);
}

void
az_sidecar_begin_fence (struct az_sidecar *sidecar)
{
  sidecar->fence = MAX (sidecar->fence + 1, (uint64_t)az_clock_wall_ms (sidecar->clock));
}

static int64_t
choose_wait_ms (const struct az_sidecar *sidecar)
{
  if (!sidecar->life.is_fenced || sidecar->hold.n_consecutive_failures > 0)
    return 0;
  return az_table_rows_count (sidecar->tasks) > 0 ? HOLD_WAIT_BUSY_MS : HOLD_WAIT_IDLE_MS;
}

void
az_sidecar_extend_leases (struct az_sidecar *sidecar, int64_t lease_end_clock_ms)
{
  int64_t latest_end_us = az_lease_latest_end_us (&sidecar->lease, lease_end_clock_ms)
                          + sidecar->settings.stop_ms * AZ_US_PER_MS;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == sidecar->life.number)
        task->latest_end_us = MAX (task->latest_end_us, latest_end_us);
    }
}

/* Tasks that are being stopped may end with their leases. */
static bool
has_tasks_to_keep (const struct az_sidecar *sidecar)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    if (!az_sidecar_get_task (sidecar, handle)->is_cancelled)
      return true;
  return false;
}

static void
send_hold (struct az_sidecar *sidecar, int64_t wait_ms)
{
  struct hold_state *hold = &sidecar->hold;
  /* While holds fail, leases aren't renewed, so that the tasks end at a known time. */
  bool renews = sidecar->lease.is_known && sidecar->life.is_fenced
                && hold->n_consecutive_failures == 0 && has_tasks_to_keep (sidecar);
  const struct sent_hold sent = { .number = ++hold->number, .sent_us = sidecar->now_us };
  struct az_upstream_hold call = {
    .instance = sidecar->life.instance,
    .fence = sidecar->fence,
    .last_processed_end = hold->last_processed_end,
    .wait_ms = wait_ms,
  };

  if (renews)
    call.lease_end_clock_ms = az_sidecar_next_lease_end (sidecar);
  if (call.lease_end_clock_ms > 0)
    az_sidecar_extend_leases (sidecar, call.lease_end_clock_ms);
  g_array_append_val (hold->in_flight, sent);
  sidecar->io.hold (sidecar->io.context, sent.number, &call);
}

/* Counts the holds that can still be answered. The upstream answers all waiting holds when a task
 * ends. After an answer that lists an ended task, a hold that was sent earlier and isn't answered
 * counts as lost. */
static guint
count_answerable (const struct az_sidecar *sidecar)
{
  const struct hold_state *hold = &sidecar->hold;
  guint n_answerable = 0;

  if (sidecar->now_us - hold->last_end_listed_us < ANSWER_REORDER_MS * AZ_US_PER_MS)
    return hold->in_flight->len;
  for (guint i = 0; i < hold->in_flight->len; i++)
    n_answerable
        += g_array_index (hold->in_flight, struct sent_hold, i).sent_us >= hold->last_end_listed_us;
  return n_answerable;
}

/* While tasks run, two holds wait at the upstream, so that if the answer to one is lost, the answer
 * to the other one still reports the next end of a task. */
void
az_sidecar_send_due_holds (struct az_sidecar *sidecar)
{
  struct hold_state *hold = &sidecar->hold;
  bool is_busy = az_table_rows_count (sidecar->tasks) > 0 && hold->n_consecutive_failures == 0;
  guint n_wanted = is_busy ? HOLDS_WANTED_BUSY : 1;
  guint n_answerable = count_answerable (sidecar);

  if (sidecar->life.number == 0 || sidecar->now_us < hold->next_send_us
      || (sidecar->life.has_left && az_table_rows_count (sidecar->tasks) == 0))
    return;
  for (; n_answerable < n_wanted && hold->in_flight->len < HOLDS_IN_FLIGHT_MAX; n_answerable++)
    send_hold (sidecar, choose_wait_ms (sidecar));
}

void
az_sidecar_send_immediate_hold (struct az_sidecar *sidecar)
{
  if (sidecar->life.number > 0 && sidecar->hold.in_flight->len < HOLDS_IN_FLIGHT_MAX)
    send_hold (sidecar, 0);
}

static void
handle_ended (struct az_sidecar *sidecar, const struct az_upstream_lists *lists)
{
  for (size_t i = 0; i < lists->n_ended; i++)
    {
      const struct az_upstream_ended *ended = &lists->ended[i];
      uint32_t handle = az_sidecar_find_task (sidecar, ended->task);
      const struct task *task = az_sidecar_get_task (sidecar, handle);

      sidecar->hold.last_processed_end = MAX (sidecar->hold.last_processed_end, ended->number);
      if (task && task->attempt == ended->attempt && task->life == sidecar->life.number)
        az_sidecar_end_task (sidecar, handle, ended->how);
    }
}

#define PROGRESS_FIRST_MS 100
#define PROGRESS_INTERVAL_MS 140

/* A task whose percentage hasn't changed for this time is reported as stalled. */
#define STALL_MS 250

/* Longest run time that is recorded for a slow task. A stalled task has no projected run time and
 * is recorded with this one. */
#define RECORDED_RUN_MAX_MS 10000

static void
record_if_slow (struct az_sidecar *sidecar, struct task *task, u_int projected_ms)
{
  int64_t run_us = (int64_t)MIN (projected_ms, RECORDED_RUN_MAX_MS) * AZ_US_PER_MS;
  double usual_us = (double)task->expected_us / az_speed_usual (&sidecar->life.speed);

  if (task->is_recorded_as_slow || task->expected_us == 0
      || (double)run_us < usual_us * AZ_SLOW_TASK_FACTOR)
    return;
  task->is_recorded_as_slow = true;
  az_speed_update (&sidecar->life.speed, az_sidecar_job_key (task), task->expected_us, run_us);
}

static void
report_progress (struct az_sidecar *sidecar, struct task *task)
{
  struct session *session = az_sidecar_get_session (sidecar, task->session);
  int64_t elapsed_us = sidecar->now_us - task->start_sent_us;
  struct az_task_progress progress = {
    .job = task->job,
    .step = task->step,
    .index = task->index,
    .elapsed_ms = (u_int)(elapsed_us / AZ_US_PER_MS),
    .projected_ms = UINT32_MAX,
  };

  if (!session || elapsed_us < PROGRESS_FIRST_MS * AZ_US_PER_MS
      || sidecar->now_us - task->progress_reported_us < PROGRESS_INTERVAL_MS * AZ_US_PER_MS)
    return;
  if (task->percent == 0 && elapsed_us < STALL_MS * AZ_US_PER_MS)
    return;
  if (task->percent > 0 && sidecar->now_us - task->percent_changed_us < STALL_MS * AZ_US_PER_MS)
    progress.projected_ms
        = (u_int)MIN (elapsed_us * 100 / task->percent / AZ_US_PER_MS, UINT32_MAX - 1);
  task->progress_reported_us = sidecar->now_us;
  record_if_slow (sidecar, task, progress.projected_ms);
  az_sidecar_queue_progress (session, &progress);
}

static void
handle_active (struct az_sidecar *sidecar, const struct az_upstream_lists *lists, uint64_t number)
{
  bool is_newest_answer = number > sidecar->hold.newest_answered;

  for (size_t i = 0; i < lists->n_active; i++)
    {
      const struct az_upstream_active *active = &lists->active[i];
      uint32_t handle = az_sidecar_find_task (sidecar, active->task);
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (!task)
        {
          /* An answer that arrives after a newer one may list tasks that have ended since. */
          if (is_newest_answer)
            az_sidecar_adopt_task (sidecar, active->task, active->attempt);
          continue;
        }
      if (task->life != sidecar->life.number)
        continue;
      if (task->state == TASK_SUSPENDED)
        az_sidecar_stop_late_start (sidecar, handle, active->attempt);
      if (task->attempt != active->attempt)
        continue;
      task->last_listed_hold = number;
      if (active->percent != task->percent)
        task->percent_changed_us = sidecar->now_us;
      task->percent = active->percent;
      report_progress (sidecar, task);
    }
}

/* Whether the hold proves that the task doesn't run: the answer doesn't list it, and its start or
 * stop was acknowledged, or its start request had expired, before the hold was sent. */
static bool
is_proven_ended_by (const struct task *task, const struct sent_hold *hold)
{
  if (task->last_listed_hold == hold->number)
    return false;
  if (task->acknowledged_at_hold != UINT64_MAX)
    return task->acknowledged_at_hold < hold->number;
  return task->state == TASK_UNCERTAIN && task->start_expires_us < hold->sent_us;
}

static void
handle_missing_tasks (struct az_sidecar *sidecar, const struct sent_hold *hold)
{
  uint32_t handle = az_table_rows_next (sidecar->tasks, 0);

  while (handle)
    {
      uint32_t next = az_table_rows_next (sidecar->tasks, handle);
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == sidecar->life.number && is_proven_ended_by (task, hold))
        az_sidecar_handle_missing_task (sidecar, handle);
      handle = next;
    }
}

static void
handle_lists (struct az_sidecar *sidecar,
              const struct sent_hold *hold,
              const struct az_upstream_lists *lists)
{
  az_lease_observe (&sidecar->lease, lists->answer.clock_ms, sidecar->now_us);
  handle_ended (sidecar, lists);
  if (lists->n_ended > 0)
    sidecar->hold.last_end_listed_us = sidecar->now_us;
  handle_active (sidecar, lists, hold->number);
  if (lists->n_unreadable == 0)
    handle_missing_tasks (sidecar, hold);
  sidecar->hold.newest_answered = MAX (sidecar->hold.newest_answered, hold->number);
  if (!sidecar->life.is_fenced && lists->n_active == 0 && lists->n_unreadable == 0)
    {
      sidecar->life.is_fenced = true;
      az_log (LOG_NOTICE, "event=upstream-open instance=%s fence=%" G_GUINT64_FORMAT,
              sidecar->life.instance, sidecar->fence);
    }
  if (lists->n_unreadable > 0)
    az_log (LOG_WARNING, "event=rows-ignored count=%zu reason=unreadable", lists->n_unreadable);
}

/* Returns false if the hold was not in flight. */
static bool
remove_in_flight (struct hold_state *hold, uint64_t number, struct sent_hold *sent)
{
  for (guint i = 0; i < hold->in_flight->len; i++)
    if (g_array_index (hold->in_flight, struct sent_hold, i).number == number)
      {
        *sent = g_array_index (hold->in_flight, struct sent_hold, i);
        g_array_remove_index (hold->in_flight, i);
        return true;
      }
  return false;
}

void
az_sidecar_hold_answered (struct az_sidecar *sidecar,
                          uint64_t number,
                          const struct az_upstream_lists *lists)
{
  struct hold_state *hold = &sidecar->hold;
  struct sent_hold sent;

  sidecar->now_us = az_now_us (sidecar->clock);
  az_sidecar_expire_task_sessions (sidecar);
  if (!remove_in_flight (hold, number, &sent))
    return;
  if (lists->answer.result == AZ_UPSTREAM_OTHER_INSTANCE)
    {
      az_sidecar_handle_other_instance (sidecar);
      return;
    }
  if (az_sidecar_shows_restart (sidecar, &lists->answer))
    {
      az_sidecar_handle_restart (sidecar, lists->answer.started_ms);
      return;
    }
  switch (lists->answer.result)
    {
    case AZ_UPSTREAM_OK:
      hold->n_consecutive_failures = 0;
      az_sidecar_clear_crash (sidecar);
      handle_lists (sidecar, &sent, lists);
      break;
    case AZ_UPSTREAM_FENCED:
      az_sidecar_raise_fence (sidecar);
      break;
    default:
      hold->n_consecutive_failures++;
      hold->next_send_us
          = sidecar->now_us + (hold->n_consecutive_failures > 1 ? HOLD_RETRY_MS * AZ_US_PER_MS : 0);
      if (hold->n_consecutive_failures <= 2)
        az_log (LOG_WARNING, "event=hold-failed instance=%s outcome=%s in_a_row=%u tasks=%u",
                sidecar->life.instance, az_upstream_result_name (lists->answer.result),
                hold->n_consecutive_failures, az_table_rows_count (sidecar->tasks));
      if (lists->answer.result == AZ_UPSTREAM_NOT_SENT)
        az_sidecar_detect_crash (sidecar, sent.sent_us);
      break;
    }
  az_sidecar_send_due_holds (sidecar);
}
