#include "azurerock/log.h"
#include "sidecar/interference.h"
#include "sidecar/state.h"

/* First step by which the fence is raised if a former process of this sidecar used a higher one,
 * which happens if the clock has been set back since. A higher fence always comes from such a
 * process and may be exceeded, because only the sidecar on the same machine calls the upstream. The
 * step doubles, so that a few requests are enough to exceed that fence. */
#define FENCE_FIRST_STEP 10000

static void
free_session (gpointer value)
{
  struct session *session = value;

  g_array_unref (session->events);
  g_array_unref (session->progress);
  g_free (session->gateway);
  g_free (session);
}

struct az_sidecar *
az_sidecar_create (const struct az_sidecar_settings *settings,
                   uint64_t incarnation,
                   const struct az_clock *clock,
                   const struct az_sidecar_io *io,
                   struct az_counters *counters)
{
  struct az_sidecar *sidecar = g_new0 (struct az_sidecar, 1);

  sidecar->settings = *settings;
  sidecar->incarnation = incarnation;
  sidecar->clock = clock;
  sidecar->io = *io;
  sidecar->counters = counters;
  sidecar->starts_counter = az_counters_register (counters, "azurerock_sidecar_starts_total",
                                                  "Tasks that were ordered to start");
  sidecar->refusals_counter
      = az_counters_register (counters, "azurerock_sidecar_refusals_total",
                              "Tasks refused for want of room or a closed upstream");
  sidecar->lost_counter = az_counters_register (counters, "azurerock_sidecar_lost_total",
                                                "Tasks whose end was not seen at the upstream");
  sidecar->stopped_counter = az_counters_register (counters, "azurerock_sidecar_stopped_total",
                                                   "Tasks that were stopped");
  sidecar->crashes_counter = az_counters_register (counters, "azurerock_sidecar_crashes_total",
                                                   "Crashes of the upstream");
  sidecar->overdue_counter
      = az_counters_register (counters, "azurerock_sidecar_overdue_stops_total",
                              "Times that nothing was started since a stop wasn't confirmed");
  az_histogram_init (&sidecar->run_times_ms, counters, "azurerock_sidecar_run_ms",
                     "Time from the order to start a task to its end as done");
  az_speed_init (&sidecar->life.speed, settings->relative_slowness);
  sidecar->hold.in_flight = g_array_new (FALSE, FALSE, sizeof (struct sent_hold));
  sidecar->now_us = az_now_us (clock);
  az_sidecar_open_interference (sidecar);
  sidecar->sessions = g_hash_table_new_full (NULL, NULL, NULL, free_session);
  sidecar->tasks = az_table_rows_create (sizeof (struct task *));
  sidecar->task_names = g_hash_table_new (g_str_hash, g_str_equal);
  /* The time is above the fences of all former processes, unless the clock has been set back. */
  sidecar->fence = (uint64_t)az_clock_wall_ms (clock);
  sidecar->fence_step = FENCE_FIRST_STEP;
  return sidecar;
}

void
az_sidecar_destroy (struct az_sidecar *sidecar)
{
  uint32_t handle;

  if (!sidecar)
    return;
  while ((handle = az_table_rows_next (sidecar->tasks, 0)))
    az_sidecar_end_task (sidecar, handle, AZ_TASK_LOST);
  az_sidecar_close_interference (sidecar);
  g_hash_table_unref (sidecar->sessions);
  g_hash_table_unref (sidecar->task_names);
  g_array_unref (sidecar->hold.in_flight);
  az_table_rows_destroy (sidecar->tasks);
  az_sidecar_drop_candidate (sidecar);
  g_free (sidecar->life.instance);
  g_free (sidecar->life.service);
  g_free (sidecar->life.address);
  if (sidecar->life.labels)
    g_ptr_array_unref (sidecar->life.labels);
  g_free (sidecar);
}

void
az_sidecar_tick (struct az_sidecar *sidecar)
{
  sidecar->now_us = az_now_us (sidecar->clock);
  az_sidecar_expire_sessions (sidecar);
  az_sidecar_expire_tasks (sidecar);
  az_sidecar_record_overdue_stop (sidecar);
  az_sidecar_probe_candidate (sidecar);
  az_sidecar_send_due_holds (sidecar);
  az_sidecar_send_interference (sidecar);
}

void
az_sidecar_stop (struct az_sidecar *sidecar)
{
  sidecar->is_stopping = true;
  az_log (LOG_NOTICE, "event=stopping tasks=%u", az_table_rows_count (sidecar->tasks));
}

void
az_sidecar_cancel_all (struct az_sidecar *sidecar)
{
  uint32_t handle = 0;

  while ((handle = az_table_rows_next (sidecar->tasks, handle)))
    az_sidecar_cancel_task (sidecar, handle, az_now_us (sidecar->clock));
}

bool
az_sidecar_is_idle (const struct az_sidecar *sidecar)
{
  return az_table_rows_count (sidecar->tasks) == 0;
}
