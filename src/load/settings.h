#ifndef AZUREROCK_LOAD_SETTINGS_H
#define AZUREROCK_LOAD_SETTINGS_H

#include "azurerock/settings.h"
#include "load/workload.h"

/** struct az_load_settings - fields of the settings file; az_load_schema describes each */
struct az_load_settings
{
  GPtrArray *entries;
  GPtrArray *metrics;
  char *mode;
  char *team;
  char *service;
  char *output;
  char *event_log;
  char *instance;
  int64_t connections;
  int64_t rate_per_minute;
  int64_t load_percent;
  int64_t slots;
  int64_t concurrency;
  int64_t duration_ms;
  int64_t jobs;
  int64_t tasks_min;
  int64_t tasks_max;
  bool mixed_sizes;
  int64_t run_min_ms;
  int64_t run_max_ms;
  int64_t long_percent;
  int64_t long_min_ms;
  int64_t long_max_ms;
  int64_t burst_factor;
  int64_t burst_every_ms;
  int64_t burst_ms;
  int64_t deadline_ms;
  int64_t timeout_ms;
  int64_t cancel_percent;
  int64_t cancel_after_ms;
  int64_t resubmit_percent;
  int64_t resubmit_after_ms;
  int64_t lost_retries;
  int64_t seed;
  bool sample_busy;
  bool list_jobs;
};

extern const struct az_setting az_load_schema[];
extern const size_t az_load_schema_length;

/** az_load_settings_init - sets defaults: open loop, mixed job sizes, tasks of 50 ms to 1 s with 1%
 * of 2 s to 5 s */
void
az_load_settings_init (struct az_load_settings *settings);

/** az_load_settings_check - checks constraints between fields; @error names the offending field */
gboolean
az_load_settings_check (const struct az_load_settings *settings, GError **error);

/** az_load_settings_is_closed - whether a job is submitted when another one ends (closed loop) */
bool
az_load_settings_is_closed (const struct az_load_settings *settings);

void
az_load_settings_workload (const struct az_load_settings *settings,
                           struct az_workload_settings *workload);

/**
 * az_load_options - table with a command line option for each field of the schema
 *
 * Option values are only collected while the command line is parsed. Call az_load_options_apply()
 * after the settings file was read, so that they override it. The table is valid until the program
 * ends.
 */
const GOptionEntry *
az_load_options (void);
gboolean
az_load_options_apply (struct az_load_settings *settings, GError **error);

#endif
