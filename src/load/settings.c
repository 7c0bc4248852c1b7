#include "load/settings.h"
#include <string.h>

#define DAY_MS 86400000

#define FIELD(name) offsetof (struct az_load_settings, name)

const struct az_setting az_load_schema[] = {
  { "entries", AZ_SETTING_STRINGS, FIELD (entries), false, 0, 0,
    "HTTP addresses of entries, used in turn" },
  { "metrics", AZ_SETTING_STRINGS, FIELD (metrics), false, 0, 0,
    "HTTP addresses of entries and agents whose /metrics are read before and after" },
  { "mode", AZ_SETTING_STRING, FIELD (mode), false, 0, 0,
    "\"open\": Poisson arrivals; \"closed\": a job is sent when another one ends" },
  { "team", AZ_SETTING_STRING, FIELD (team), false, 0, 0, "team of the jobs" },
  { "service", AZ_SETTING_STRING, FIELD (service), false, 0, 0, "service of the jobs" },
  { "output", AZ_SETTING_STRING, FIELD (output), false, 0, 0, "file for the report in JSON" },
  { "event_log", AZ_SETTING_STRING, FIELD (event_log), false, 0, 0,
    "file for submit and answer events" },
  { "instance", AZ_SETTING_STRING, FIELD (instance), false, 0, 0, "name in the event log" },
  { "connections", AZ_SETTING_INTEGER, FIELD (connections), false, 1, 4096,
    "connections to each entry" },
  { "rate_per_minute", AZ_SETTING_INTEGER, FIELD (rate_per_minute), false, 0, 100000000,
    "job arrivals of the open loop; 0 derives them from load_percent" },
  { "load_percent", AZ_SETTING_INTEGER, FIELD (load_percent), false, 1, 1000,
    "work offered by the open loop, of what the slots can do" },
  { "slots", AZ_SETTING_INTEGER, FIELD (slots), false, 1, 1000000,
    "slots of all upstreams, for load_percent and the ideal queue" },
  { "concurrency", AZ_SETTING_INTEGER, FIELD (concurrency), false, 1, 100000,
    "jobs in flight of the closed loop" },
  { "duration_ms", AZ_SETTING_INTEGER, FIELD (duration_ms), false, 1, DAY_MS,
    "no job is sent after this time" },
  { "jobs", AZ_SETTING_INTEGER, FIELD (jobs), false, 0, 10000000,
    "no more jobs than this are sent; 0: no bound but the time" },
  { "tasks_min", AZ_SETTING_INTEGER, FIELD (tasks_min), false, 1, 4096, "smallest job" },
  { "tasks_max", AZ_SETTING_INTEGER, FIELD (tasks_max), false, 1, 4096, "largest job" },
  { "mixed_sizes", AZ_SETTING_BOOLEAN, FIELD (mixed_sizes), false, 0, 0,
    "80% single tasks and few large jobs, otherwise uniform sizes" },
  { "run_min_ms", AZ_SETTING_INTEGER, FIELD (run_min_ms), false, 0, 600000, "shortest task" },
  { "run_max_ms", AZ_SETTING_INTEGER, FIELD (run_max_ms), false, 0, 600000, "longest task" },
  { "long_percent", AZ_SETTING_INTEGER, FIELD (long_percent), false, 0, 100,
    "share of tasks with the times below instead" },
  { "long_min_ms", AZ_SETTING_INTEGER, FIELD (long_min_ms), false, 0, 600000,
    "shortest of the long tasks" },
  { "long_max_ms", AZ_SETTING_INTEGER, FIELD (long_max_ms), false, 0, 600000,
    "longest of the long tasks" },
  { "burst_factor", AZ_SETTING_INTEGER, FIELD (burst_factor), false, 1, 1000,
    "arrival rate in bursts, as a multiple of the mean; 1: none" },
  { "burst_every_ms", AZ_SETTING_INTEGER, FIELD (burst_every_ms), false, 1, DAY_MS,
    "period of bursts" },
  { "burst_ms", AZ_SETTING_INTEGER, FIELD (burst_ms), false, 1, DAY_MS, "length of bursts" },
  { "deadline_ms", AZ_SETTING_INTEGER, FIELD (deadline_ms), false, 0, DAY_MS,
    "deadline of jobs; 0: that of the policy" },
  { "timeout_ms", AZ_SETTING_INTEGER, FIELD (timeout_ms), false, 1, DAY_MS,
    "time after which an answer counts as lost" },
  { "cancel_percent", AZ_SETTING_INTEGER, FIELD (cancel_percent), false, 0, 100,
    "share of jobs that are cancelled" },
  { "cancel_after_ms", AZ_SETTING_INTEGER, FIELD (cancel_after_ms), false, 0, DAY_MS,
    "time from submission to cancellation" },
  { "resubmit_percent", AZ_SETTING_INTEGER, FIELD (resubmit_percent), false, 0, 100,
    "share of jobs that are sent a second time through another entry" },
  { "resubmit_after_ms", AZ_SETTING_INTEGER, FIELD (resubmit_after_ms), false, 0, DAY_MS,
    "time from submission to resubmission" },
  { "lost_retries", AZ_SETTING_INTEGER, FIELD (lost_retries), false, 0, 100,
    "resubmissions through another entry after a lost answer" },
  { "seed", AZ_SETTING_INTEGER, FIELD (seed), false, 0, G_MAXUINT32, "seed of all choices" },
  { "sample_busy", AZ_SETTING_BOOLEAN, FIELD (sample_busy), false, 0, 0,
    "read running tasks from the metrics addresses every 100 ms" },
  { "list_jobs", AZ_SETTING_BOOLEAN, FIELD (list_jobs), false, 0, 0,
    "write the time and the task times of every job into the report" },
};

const size_t az_load_schema_length = G_N_ELEMENTS (az_load_schema);

void
az_load_settings_init (struct az_load_settings *settings)
{
  *settings = (struct az_load_settings){
    .entries = g_ptr_array_new_with_free_func (g_free),
    .metrics = g_ptr_array_new_with_free_func (g_free),
    .mode = g_strdup ("open"),
    .team = g_strdup ("load"),
    .service = g_strdup ("sleep"),
    .instance = g_strdup ("load"),
    .connections = 256,
    .load_percent = 80,
    .slots = 88,
    .concurrency = 1,
    .duration_ms = 10000,
    .tasks_min = 1,
    .tasks_max = 1700,
    .mixed_sizes = true,
    .run_min_ms = 50,
    .run_max_ms = 1000,
    .long_percent = 1,
    .long_min_ms = 2000,
    .long_max_ms = 5000,
    .burst_factor = 1,
    .burst_every_ms = 25000,
    .burst_ms = 500,
    .timeout_ms = 60000,
    .cancel_after_ms = 100,
    .resubmit_after_ms = 100,
    .seed = 1,
  };
}

bool
az_load_settings_is_closed (const struct az_load_settings *settings)
{
  return strcmp (settings->mode, "closed") == 0;
}

static gboolean
set_error (GError **error, const char *message)
{
  g_set_error_literal (error, AZ_SETTINGS_ERROR, 0, message);
  return FALSE;
}

gboolean
az_load_settings_check (const struct az_load_settings *settings, GError **error)
{
  if (!settings->entries->len)
    return set_error (error, "entries: at least one address is needed");
  if (strcmp (settings->mode, "open") != 0 && !az_load_settings_is_closed (settings))
    return set_error (error, "mode: must be \"open\" or \"closed\"");
  if (settings->tasks_min > settings->tasks_max)
    return set_error (error, "tasks_min: must not be above tasks_max");
  if (settings->run_min_ms > settings->run_max_ms)
    return set_error (error, "run_min_ms: must not be above run_max_ms");
  if (settings->long_min_ms > settings->long_max_ms)
    return set_error (error, "long_min_ms: must not be above long_max_ms");
  if (settings->burst_factor > 1 && settings->burst_ms >= settings->burst_every_ms)
    return set_error (error, "burst_ms: must be below burst_every_ms");
  if (!az_load_settings_is_closed (settings) && !settings->rate_per_minute && !settings->run_max_ms)
    return set_error (
        error,
        "rate_per_minute: must be set if run_max_ms is 0, because the rate can't be derived from "
        "load_percent");
  return TRUE;
}

/* A closed loop that needs more jobs starts again with the first one. */
#define CLOSED_LOOP_JOBS_MAX 2000

void
az_load_settings_workload (const struct az_load_settings *settings,
                           struct az_workload_settings *workload)
{
  *workload = (struct az_workload_settings){
    .duration_us = settings->duration_ms * 1000,
    .jobs_max = (uint32_t)settings->jobs,
    .tasks_min = (uint32_t)settings->tasks_min,
    .tasks_max = (uint32_t)settings->tasks_max,
    .mixed_sizes = settings->mixed_sizes,
    .run_min_us = settings->run_min_ms * 1000,
    .run_max_us = settings->run_max_ms * 1000,
    .long_percent = (double)settings->long_percent,
    .long_min_us = settings->long_min_ms * 1000,
    .long_max_us = settings->long_max_ms * 1000,
    .burst_factor = (double)settings->burst_factor,
    .burst_every_us = settings->burst_every_ms * 1000,
    .burst_us = settings->burst_ms * 1000,
  };
  if (az_load_settings_is_closed (settings))
    workload->jobs_max = settings->jobs ? MIN ((uint32_t)settings->jobs, CLOSED_LOOP_JOBS_MAX)
                                        : CLOSED_LOOP_JOBS_MAX;
  else if (settings->rate_per_minute)
    workload->rate = (double)settings->rate_per_minute / 60;
  else
    workload->rate = (double)settings->load_percent / 100 * (double)settings->slots * 1e6
                     / az_workload_mean_work_us (workload);
}
