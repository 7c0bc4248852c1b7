#include "agent/state.h"
#include <string.h>

/* Error code in the result of a task that exceeded its timeout. */
static const char timeout_code[] = "task_timeout";

static void
log_start (struct az_agent_state *state, const struct az_agent_record *record)
{
  char task[16];
  char attempt[16];
  char entry[24];
  char revision[24];

  g_snprintf (task, sizeof task, "%u", record->id.task);
  g_snprintf (attempt, sizeof attempt, "%u", record->id.attempt);
  g_snprintf (entry, sizeof entry, "%" G_GUINT64_FORMAT, (guint64)record->origin);
  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, (guint64)state->view.revision);
  az_event_log_write (state->events, "start", "job", record->id.job, "task", task, "attempt",
                      attempt, "domain", state->settings.domain, "entry", entry, "revision",
                      revision, NULL);
}

static void
log_finish (struct az_agent_state *state, const struct az_attempt *id, az_status status)
{
  static const char *const names[] = { "ok", "failed", "unknown", "not_started" };
  char task[16];
  char attempt[16];

  g_snprintf (task, sizeof task, "%u", id->task);
  g_snprintf (attempt, sizeof attempt, "%u", id->attempt);
  az_event_log_write (state->events, "finish", "job", id->job, "task", task, "attempt", attempt,
                      "status", names[status], NULL);
}

static int64_t
shorter_timeout_ms (uint32_t a_ms, uint32_t b_ms)
{
  if (!a_ms || !b_ms)
    return MAX (a_ms, b_ms);
  return MIN (a_ms, b_ms);
}

static uint32_t
occupy_slot (struct az_agent_state *state,
             struct az_agent_record *record,
             const struct az_start_task *task)
{
  struct az_agent_running *running;
  void *row;
  uint32_t handle = az_table_rows_add (state->running, &row);

  running = row;
  running->record = record;
  running->started_at = az_agent_now (state);
  running->timeout_ms = shorter_timeout_ms (task->timeout_ms, state->view.task_timeout_ms);
  record->task = handle;
  return handle;
}

/** az_agent_task_start - starts a task that meets all start conditions */
void
az_agent_task_start (struct az_agent_state *state,
                     uint32_t entry,
                     const struct az_start *start,
                     const struct az_start_task *task)
{
  uint64_t origin = az_agent_entry_get (state, entry)->incarnation;
  struct az_agent_record *record = az_agent_record_add (state, origin, task);
  uint32_t handle = occupy_slot (state, record, task);
  const struct az_agent_running *running = az_table_rows_get (state->running, handle);
  struct az_agent_task request = {
    .handle = handle,
    .id = &record->id,
    .team = start->team,
    .service = start->service,
    .timeout_ms = running->timeout_ms,
    .payload = (const uint8_t *)task->payload.az_payload_val,
    .payload_length = task->payload.az_payload_len,
  };

  az_counters_add (state->counters, state->metrics.starts, 1);
  log_start (state, record);
  state->io.start (state->io.context, &request);
}

static void
report_not_started (struct az_agent_state *state, struct az_agent_record *record)
{
  uint32_t entry = az_agent_entry_by_incarnation (state, record->origin);

  az_agent_refuse (state, entry, &record->id, AZ_REFUSAL_UPSTREAM);
  az_agent_record_remove (state, record);
}

static void
report_result (struct az_agent_state *state,
               struct az_agent_record *record,
               bool timed_out,
               az_status status,
               const uint8_t *payload,
               size_t length)
{
  if (timed_out && status != AZ_STATUS_OK)
    {
      status = AZ_STATUS_FAILED;
      payload = (const uint8_t *)timeout_code;
      length = strlen (timeout_code);
    }
  az_agent_record_finish (state, record, status, payload, length);
  az_agent_results_queue (state, record);
}

void
az_agent_task_finished (struct az_agent_state *state,
                        uint32_t handle,
                        az_status status,
                        const uint8_t *payload,
                        size_t length)
{
  struct az_agent_running *running = az_table_rows_get (state->running, handle);
  struct az_agent_record *record;
  bool timed_out;
  uint64_t origin;

  if (!running)
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      return;
    }
  record = running->record;
  origin = record->origin;
  timed_out = running->timed_out;
  record->run_us = (uint32_t)az_time_diff_us (az_agent_now (state), running->started_at);
  record->task = 0;
  az_table_rows_remove (state->running, handle);
  log_finish (state, &record->id, status);
  if (status == AZ_STATUS_UNKNOWN && state->guards.unknown_is_not_started)
    status = AZ_STATUS_NOT_STARTED;
  if (status == AZ_STATUS_NOT_STARTED)
    report_not_started (state, record);
  else
    report_result (state, record, timed_out, status, payload, length);
  az_agent_grants_issue (state, az_agent_entry_by_incarnation (state, origin));
}

void
az_agent_tasks_cancel_job (struct az_agent_state *state, const char *job)
{
  az_agent_fence_job (state, job);
  for (uint32_t handle = az_table_rows_next (state->running, 0); handle;
       handle = az_table_rows_next (state->running, handle))
    {
      struct az_agent_running *running = az_table_rows_get (state->running, handle);

      if (running->cancelled || strcmp (running->record->id.job, job) != 0)
        continue;
      running->cancelled = true;
      state->io.cancel (state->io.context, handle);
    }
}

void
az_agent_tasks_tick (struct az_agent_state *state)
{
  struct timespec now = az_agent_now (state);

  for (uint32_t handle = az_table_rows_next (state->running, 0); handle;
       handle = az_table_rows_next (state->running, handle))
    {
      struct az_agent_running *running = az_table_rows_get (state->running, handle);
      int64_t run_ms = az_time_diff_ms (now, running->started_at);

      if (!running->timeout_ms || run_ms <= running->timeout_ms || running->cancelled)
        continue;
      running->timed_out = true;
      running->cancelled = true;
      az_counters_add (state->counters, state->metrics.timeouts, 1);
      state->io.cancel (state->io.context, handle);
    }
}
