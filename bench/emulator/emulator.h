#ifndef AZUREROCK_BENCH_EMULATOR_H
#define AZUREROCK_BENCH_EMULATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Plays a load on the decision code of gateways and sidecars in virtual time: simulated upstream
 * instances, links and callers, no sockets. The same load can be played on one central queue that
 * knows the true run times, for comparison.
 */

#define EMULATOR_JOB_KINDS 3
#define EMULATOR_GATEWAYS_MAX 16

/** struct emulator_job_kind - one kind of jobs */
struct emulator_job_kind
{
  const char *name;
  double arrivals_per_s; /* over all gateways */
  double mean_run_ms;
  double mean_tasks;
  unsigned max_tasks;
  unsigned priority;
  double value; /* of a mean job */
};

enum emulator_fault_kind
{
  EMULATOR_SLOW,      /* tasks take factor times as long */
  EMULATOR_STALL,     /* tasks stand still */
  EMULATOR_FAIL,      /* a share of the tasks, factor, fails */
  EMULATOR_CRASH,     /* upstreams are down and lose their tasks */
  EMULATOR_WITHDRAW,  /* a failure domain takes no tasks */
  EMULATOR_BURST,     /* factor times the arrivals */
  EMULATOR_CALL_LOSS, /* a share of the orders, factor, gets no answer and comes too late */
};

/** struct emulator_fault - @first and @count choose upstreams, or @first a domain */
struct emulator_fault
{
  enum emulator_fault_kind kind;
  double from_s;
  double to_s;
  unsigned first;
  unsigned count;
  double factor;
};

struct emulator_scenario
{
  unsigned n_gateways;
  double gateway_weights[EMULATOR_GATEWAYS_MAX]; /* shares of the arrivals; all 0: equal */
  unsigned n_upstreams;
  unsigned n_domains;
  double upstream_cores;  /* of most upstreams; each third one has half as many again */
  double mean_task_cores; /* of a mean task */
  double duration_s;
  double load; /* scales the arrivals */
  double cross_domain_delay_ms;
  struct emulator_job_kind kinds[EMULATOR_JOB_KINDS];
  struct emulator_fault faults[8];
  unsigned n_faults;
};

struct emulator_job_counts
{
  unsigned submitted;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  unsigned unfinished;
  unsigned large_submitted; /* jobs with the tenth of most work */
  unsigned large_in_time;
};

/** struct emulator_result - shares are of the worth of what was asked */
struct emulator_result
{
  struct emulator_job_counts kinds[EMULATOR_JOB_KINDS];
  double goodput;              /* over the whole run */
  double worst_window_goodput; /* mean of the two worst windows of 2 s */
  double wasted_core_s;
  double mean_refusal_ms; /* mean time until a refusal */
  unsigned n_runs;
  unsigned n_overlapping_runs; /* runs of a task while another run of it went on */
  unsigned n_unanswered;
};

/** emulator_base_scenario - the theatre's kinds on eleven upstreams, at @load times its busy
 * traffic */
struct emulator_scenario
emulator_base_scenario (double load);

/** emulator_large_scenario - 68 upstreams and 12 gateways */
struct emulator_scenario
emulator_large_scenario (double load);

/** emulator_small_upstreams_scenario - the permit desk's kinds on eleven smaller upstreams in four
 * domains */
struct emulator_scenario
emulator_small_upstreams_scenario (double load);

/** emulator_uneven_gateways_scenario - 58 upstreams and 9 gateways in four domains, of which the
 * busiest gateway gets a quarter of the jobs */
struct emulator_scenario
emulator_uneven_gateways_scenario (double load);

/** emulator_run - plays the scenario; the same seed gives the same load */
struct emulator_result
emulator_run (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_run_ideal - the same load on one central queue without delays */
struct emulator_result
emulator_run_ideal (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_print_result - a table of the result */
void
emulator_print_result (const struct emulator_scenario *scenario,
                       const struct emulator_result *result);

#endif
