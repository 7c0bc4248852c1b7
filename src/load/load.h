#ifndef AZUREROCK_LOAD_LOAD_H
#define AZUREROCK_LOAD_LOAD_H

#include "azurerock/clock.h"
#include "azurerock/event_log.h"
#include "azurerock/http_client.h"
#include "load/metrics.h"
#include "load/request.h"
#include "load/settings.h"
#include <uv.h>

struct az_load;

struct az_load_job
{
  struct az_load *load;
  char id[AZ_LOAD_ID_SIZE];
  uint32_t workload_index; /* index into the jobs of the workload */
  uint32_t entry;          /* index of the entry that got the first submission */
  uint32_t attempts;
  uint32_t in_flight; /* HTTP requests that wait for an answer */
  int64_t sent_us;    /* first submission; like answered_us, counted from the start of the run */
  int64_t answered_us;
  int64_t send_lag_us; /* delay of the first submission after its planned time */
  enum az_load_outcome outcome;
  bool cancelled;
  bool has_successor; /* the closed loop has submitted the next job in its place */
};

/** struct az_load - one run of the load generator */
struct az_load
{
  const struct az_load_settings *settings;
  uv_loop_t *loop;
  const struct az_clock *clock;
  struct timespec started;
  GRand *random;
  struct az_workload *workload;
  struct az_http_client **clients; /* one for each entry */
  struct az_event_log *events;
  GPtrArray *jobs;    /* struct az_load_job in order of submission */
  GQueue to_cancel;   /* jobs to cancel, in order of submission */
  GQueue to_resubmit; /* jobs to submit again, in order of submission */
  uint32_t n_open;    /* jobs without an outcome or with requests in flight */
  bool stopping;
  uv_timer_t arrival;
  uv_timer_t tick;
  int64_t next_sample_us;
  uint32_t n_scrapes; /* requests for /metrics in flight */
  struct az_load_metrics *metrics_before;
  struct az_load_metrics *metrics_after;
  struct az_load_metrics *metrics_sample;
  GArray *busy;            /* int64_t: number of running tasks in each sample */
  GHashTable *error_codes; /* maps an error code to its number of answers */
  uint64_t mismatches;     /* answers that belong to another job or are incomplete */
  uint64_t conflicts;      /* answers that contradict the first answer to the job */
  uint64_t resubmitted;
  uint64_t cancelled;
  void (*done) (struct az_load *load);
};

/** az_load_create - generates the workload; call az_load_start() next, then run @loop */
struct az_load *
az_load_create (const struct az_load_settings *settings, uv_loop_t *loop, GError **error);

/** az_load_start - reads the metrics and then submits jobs; @done is called once each job has ended
 * and the metrics were read again */
void
az_load_start (struct az_load *load, void (*done) (struct az_load *load));

/** az_load_stop - submits no new jobs; jobs in flight still run to their end */
void
az_load_stop (struct az_load *load);

/** az_load_close - closes timers and connections so that the loop ends */
void
az_load_close (struct az_load *load);
void
az_load_destroy (struct az_load *load);

int64_t
az_load_now_us (const struct az_load *load);

/** az_load_job_submit - creates the next job of the workload and sends it to the next entry */
void
az_load_job_submit (struct az_load *load, int64_t planned_us);

/** az_load_job_resubmit - submits @job again, with the same id, through another entry */
void
az_load_job_resubmit (struct az_load_job *job);
void
az_load_job_cancel (struct az_load_job *job);

/** az_load_job_finish - call when @job has an outcome and no request is in flight; a closed loop
 * then submits its next job */
void
az_load_job_finish (struct az_load_job *job);

/**
 * az_load_report - prints a summary and writes the JSON report if the settings name a file
 *
 * Return: false if there were mismatches or conflicts, or if the file could not be written.
 */
bool
az_load_report (struct az_load *load);

#endif
