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
  uint32_t drawn; /* index of its size and task times in the workload */
  uint32_t entry; /* that it was first sent to */
  uint32_t attempts;
  uint32_t in_flight; /* requests without an answer */
  int64_t sent_us;    /* since the start of the run */
  int64_t answered_us;
  int64_t lag_us; /* sent later than planned */
  enum az_load_outcome outcome;
  bool cancelled;
  bool replaced; /* the closed loop has sent the next job */
};

/** struct az_load - one run */
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
  GPtrArray *jobs; /* struct az_load_job in the order of submission */
  GQueue cancels;  /* jobs to cancel, in the order of their times */
  GQueue resubmits;
  uint32_t n_open; /* jobs without an outcome or with a request in flight */
  bool stopping;
  uv_timer_t arrival;
  uv_timer_t tick;
  int64_t next_sample_us;
  uint32_t n_reading; /* metrics being read */
  struct az_load_metrics *before;
  struct az_load_metrics *after;
  struct az_load_metrics *sample;
  GArray *busy;      /* int64_t: running tasks of each sample */
  GHashTable *codes; /* error code to count */
  uint64_t mismatches;
  uint64_t conflicts;
  uint64_t resubmitted;
  uint64_t cancelled;
  void (*done) (struct az_load *load);
};

/** az_load_create - draws the workload; run the loop after az_load_start() */
struct az_load *
az_load_create (const struct az_load_settings *settings, uv_loop_t *loop, GError **error);

/** az_load_start - reads the metrics and then sends jobs; @done is called when all is answered */
void
az_load_start (struct az_load *load, void (*done) (struct az_load *load));

/** az_load_stop - sends no more jobs; those in flight are awaited */
void
az_load_stop (struct az_load *load);

/** az_load_close - closes timers and connections so that the loop ends */
void
az_load_close (struct az_load *load);
void
az_load_destroy (struct az_load *load);

int64_t
az_load_now_us (const struct az_load *load);

/** az_load_job_submit - creates and sends the next job of the workload */
void
az_load_job_submit (struct az_load *load, int64_t planned_us);

/** az_load_job_resubmit - sends the same job through the next entry */
void
az_load_job_resubmit (struct az_load_job *job);
void
az_load_job_cancel (struct az_load_job *job);

/** az_load_job_ended - called when @job has an outcome and nothing in flight */
void
az_load_job_ended (struct az_load_job *job);

/** az_load_report - prints the figures and writes the JSON report if one is set */
bool
az_load_report (struct az_load *load);

#endif
