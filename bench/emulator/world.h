#ifndef AZUREROCK_BENCH_EMULATOR_WORLD_H
#define AZUREROCK_BENCH_EMULATOR_WORLD_H

#include "azurerock/catalog.h"
#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/gateway.h"
#include "azurerock/sidecar.h"
#include "emulator/emulator.h"

/* Delay of an answer of an upstream to its sidecar. */
#define LOCAL_CALL_US 150

#define ARRIVALS_START_US 1500000

/** struct emu_job - a job of the load, with the true run times of its tasks */
struct emu_job
{
  unsigned kind;
  int64_t arrival_us;
  unsigned gateway;
  unsigned n_tasks;
  double cpu_milli;
  int64_t estimate_ms;
  int64_t *work_us; /* run time of each task at speed 1 */
  int64_t longest_work_us;
  int64_t objective_us; /* after the arrival */
  int64_t deadline_us;  /* after the arrival */
  double value;
  double core_s;
  bool is_large;
  bool crashes_upstream; /* its first task does */
  int64_t returned_us;   /* when its caller sent it again after a refusal, 0 if it didn't */
  bool is_submitted;
  bool is_answered;
};

/** struct emu_load - all jobs of a run by arrival time */
struct emu_load
{
  GArray *jobs; /* struct emu_job */
};

struct emu_load *
emu_load_create (const struct emulator_scenario *scenario, uint32_t seed);
void
emu_load_destroy (struct emu_load *load);
double
emu_upstream_cores (const struct emulator_scenario *scenario, unsigned upstream);

/** emu_upstream_speed - relative speed of the hardware when no fault affects it */
double
emu_upstream_speed (const struct emulator_scenario *scenario, unsigned upstream);

/* interference.c */

/** emu_interference_factor - how many times slower tasks of @kind progress while tasks of the set
 * of kinds @running run on the same upstream; bit n stands for kind n */
double
emu_interference_factor (const struct emulator_scenario *scenario, unsigned kind, unsigned running);

/* Metrics by windows of arrival time. */
struct emu_metrics
{
  double duration_s;
  struct emulator_result result;
  GArray *window_offered_value;
  GArray *window_served_value;
  double refusal_ms_sum;
  unsigned n_refused;
};

void
emu_metrics_init (struct emu_metrics *metrics, const struct emulator_scenario *scenario);

/** emu_metrics_record_answer - counts an answer @answered_us after the arrival of the job; a failed
 * job counts as unfinished */
void
emu_metrics_record_answer (struct emu_metrics *metrics,
                           struct emu_job *job,
                           enum az_job_outcome outcome,
                           int64_t answered_us);
struct emulator_result
emu_metrics_finish (struct emu_metrics *metrics, const struct emu_load *load);

/* Events in virtual time. */
struct emu_events;

struct emu_events *
emu_events_create (void);
void
emu_events_destroy (struct emu_events *events);
int64_t
emu_now_us (const struct emu_events *events);

/** emu_schedule - calls @callback at @time_us, then frees @data with g_free(); events of one time
 * run in the order in which they were added */
void
emu_schedule (struct emu_events *events,
              int64_t time_us,
              void (*callback) (void *context, void *data),
              void *context,
              void *data);

/** emu_run_next_event - returns false if no event is due until @until_us */
bool
emu_run_next_event (struct emu_events *events, int64_t until_us);

/* Simulated upstreams. */
struct emu_upstream;

/** struct emu_work - what a task does; @work_us is its run time at speed 1, and a task with @fails
 * ends as failed */
struct emu_work
{
  unsigned kind;
  double cpu_milli;
  int64_t work_us;
  bool fails;
};

/** struct emu_upstream_observer - @tasks_changed is called when a task has ended, so that waiting
 * holds are answered */
struct emu_upstream_observer
{
  void (*tasks_changed) (void *context, unsigned upstream);
  void *context;
};

struct emu_upstream *
emu_upstream_create (struct emu_events *events,
                     const struct emulator_scenario *scenario,
                     unsigned index,
                     const struct emu_upstream_observer *observer);
void
emu_upstream_destroy (struct emu_upstream *upstream);

enum az_upstream_result
emu_upstream_start (struct emu_upstream *upstream,
                    const struct az_upstream_start *start,
                    const struct emu_work *work);
void
emu_upstream_stop (struct emu_upstream *upstream, const struct az_upstream_stop *stop);

/** emu_upstream_list_tasks - fills the answer to a hold; forgets the task ends that the sidecar has
 * seen, which are those up to number @seen */
void
emu_upstream_list_tasks (struct emu_upstream *upstream,
                         uint64_t seen,
                         struct az_upstream_lists *lists);
bool
emu_upstream_has_new_ends (const struct emu_upstream *upstream, uint64_t seen);

/** emu_upstream_set_speed_factor - multiplies the speed of the hardware; 0 stalls all tasks */
void
emu_upstream_set_speed_factor (struct emu_upstream *upstream, double speed_factor);
void
emu_upstream_set_down (struct emu_upstream *upstream, bool is_down);
bool
emu_upstream_is_down (const struct emu_upstream *upstream);
bool
emu_upstream_is_running (const struct emu_upstream *upstream, const char *task);
double
emu_upstream_wasted_core_s (const struct emu_upstream *upstream);
double
emu_upstream_slowed_core_s (const struct emu_upstream *upstream);

#endif
