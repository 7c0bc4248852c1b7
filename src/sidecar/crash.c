#include "azurerock/log.h"
#include "sidecar/state.h"

/* A connection to a port without a listener is refused at once. A hold that finds no free
 * connection to a silent upstream isn't sent either, but fails only at its time-out of at least
 * 50 ms. */
#define REFUSED_WITHIN_MS 25

/* A task whose start wasn't acknowledged may never have started. One whose stop was acknowledged,
 * or whose lease has ended, may have ended before the crash. */
static bool
was_running (const struct az_sidecar *sidecar, const struct task *task)
{
  return task->state == TASK_RUNNING && !task->is_stop_acknowledged
         && sidecar->now_us < task->latest_end_us;
}

/* Prefers tasks that have certainly run. */
static bool
started_after (const struct az_sidecar *sidecar, const struct task *task, const struct task *other)
{
  bool is_running = was_running (sidecar, task);

  if (!other || is_running != was_running (sidecar, other))
    return !other || is_running;
  return task->start_sent_us > other->start_sent_us;
}

/* Returns NULL if the incarnation runs no task of a known job. */
static const struct task *
find_last_started (const struct az_sidecar *sidecar)
{
  const struct task *last = NULL;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      const struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life == sidecar->life.number && task->job_id && started_after (sidecar, task, last))
        last = task;
    }
  return last;
}

/* A task counts as crashed only if it has certainly run: its job may be answered as failed only if
 * the crashes occurred under the task. Returns the number of tasks of the incarnation. */
static uint32_t
mark_tasks (struct az_sidecar *sidecar, bool has_crashed)
{
  uint32_t n_tasks = 0;
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    {
      struct task *task = az_sidecar_get_task (sidecar, handle);

      if (task->life != sidecar->life.number)
        continue;
      task->has_upstream_crashed = has_crashed && was_running (sidecar, task);
      n_tasks++;
    }
  return n_tasks;
}

static void
send_crash (struct az_sidecar *sidecar, const struct task *last_started)
{
  struct az_message message = { .proc = AZ_NODE_CRASH };
  bool was_last_running = last_started && was_running (sidecar, last_started);
  GHashTableIter iterator;
  gpointer value;

  message.az_message_u.node_crash = (struct az_node_crash){
    .queue = last_started ? last_started->queue : (char *)"",
    .job_id = was_last_running ? last_started->job_id : (char *)"",
    .step = last_started ? last_started->step : 0,
    .index = last_started ? last_started->index : 0,
  };
  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct session *session = value;

      sidecar->io.send (sidecar->io.context, session->handle, &message);
    }
}

void
az_sidecar_record_crash (struct az_sidecar *sidecar)
{
  struct life *life = &sidecar->life;
  const struct task *last_started;
  uint32_t n_tasks;

  if (!life->is_fenced || life->has_left || life->is_draining || life->has_crashed)
    return;
  life->has_crashed = true;
  last_started = find_last_started (sidecar);
  n_tasks = mark_tasks (sidecar, true);
  az_counters_add (sidecar->counters, sidecar->crashes_counter, 1);
  az_log (LOG_WARNING, "event=upstream-crashed instance=%s tasks=%u queue=%s last_started=%s",
          life->instance, n_tasks, last_started ? last_started->queue : "-",
          last_started ? last_started->name : "-");
  send_crash (sidecar, last_started);
}

void
az_sidecar_detect_crash (struct az_sidecar *sidecar, int64_t hold_sent_us)
{
  if (sidecar->now_us - hold_sent_us <= REFUSED_WITHIN_MS * AZ_US_PER_MS)
    az_sidecar_record_crash (sidecar);
}

void
az_sidecar_clear_crash (struct az_sidecar *sidecar)
{
  if (!sidecar->life.has_crashed)
    return;
  sidecar->life.has_crashed = false;
  mark_tasks (sidecar, false);
}
