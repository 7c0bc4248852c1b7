#ifndef AZUREROCK_BENCH_EMULATOR_H
#define AZUREROCK_BENCH_EMULATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Runs a generated load on the decision code of gateways and sidecars in virtual time. Upstream
 * instances, links and callers are simulated; there are no sockets. For comparison, the same load
 * can be run on one central queue that knows the true run times.
 */

#define EMULATOR_JOB_KINDS 4
#define EMULATOR_GATEWAYS_MAX 16
#define EMULATOR_SPEEDS_MAX 5
#define EMULATOR_INTERFERENCES_MAX 4

/**
 * struct emulator_job_kind - a class of jobs; its run times and sizes vary around the means
 * @tail_share: share of the tasks that take @tail_factor times as long, of which the estimate of
 *   their job doesn't know; 0 for none
 */
struct emulator_job_kind
{
  const char *name;
  double arrivals_per_s; /* over all gateways */
  double mean_run_ms;
  double mean_tasks;
  unsigned max_tasks;
  unsigned priority;
  double value; /* value of a job with the mean amount of work */
  double tail_share;
  double tail_factor;
};

/**
 * struct emulator_interference - two kinds of jobs whose tasks slow each other down on one upstream
 * @factor: while a task of one kind runs, tasks of the other progress that many times slower,
 *   whatever the number of tasks; the factors of several pairs multiply
 */
struct emulator_interference
{
  unsigned first;
  unsigned second;
  double factor;
};

enum emulator_fault_kind
{
  EMULATOR_SLOW,           /* run times are multiplied by the factor */
  EMULATOR_STALL,          /* running tasks make no progress */
  EMULATOR_FAIL,           /* the factor is the share of tasks that fail */
  EMULATOR_CRASH,          /* the upstreams are down and have lost their tasks */
  EMULATOR_WITHDRAW,       /* a failure domain is withdrawn from service */
  EMULATOR_BURST,          /* the arrival rate is multiplied by the factor, of @count kinds of jobs
                            * from @first on, or of all if @count is 0 */
  EMULATOR_CALL_LOSS,      /* the factor is the share of calls to upstreams that are lost */
  EMULATOR_POWER_LOSS,     /* all gateways and sidecars lose power and their state */
  EMULATOR_CRASHING_JOBS,  /* the factor is the share of jobs of the kind @first that have a task
                            * which crashes its upstream shortly after its start */
  EMULATOR_RANDOM_CRASHES, /* upstreams crash by themselves; the factor is the rate per second */
};

/** struct emulator_fault - affects @count upstreams from @first on, the domain @first, or all */
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
  double gateway_weights[EMULATOR_GATEWAYS_MAX];  /* shares of the arrivals; all 0 means equal */
  double processor_shares[EMULATOR_GATEWAYS_MAX]; /* cores of a gateway; with 0 it handles events
                                                   * at once */
  unsigned n_upstreams;
  unsigned n_domains;
  double upstream_cores; /* cores of an upstream; every third one has 1.5 times as many */
  double upstream_speeds[EMULATOR_SPEEDS_MAX]; /* of the hardware, in turn */
  unsigned n_upstream_speeds;
  double mean_task_cores;
  double duration_s;
  double load; /* factor on all arrival rates */
  double cross_domain_delay_ms;
  bool fair_queue_shares;      /* the gateways divide cores equally among the kinds of jobs */
  double delay_spread;         /* part of a delay between processes by which it varies; with it, the
                                * numbers of sessions differ between processes */
  double caller_delay_ms;      /* one way, between callers and gateways */
  double rate_swing;           /* part of its mean by which the arrival rate goes up and down */
  bool share_demand;           /* gateways leave cores beyond their share to each other */
  bool refused_callers_return; /* once, in whole seconds, as Retry-After tells them */
  bool tail_aware_moves;       /* setting of the gateways */
  bool separate_queues;        /* settings separate_queues and report_interference */
  bool relative_slowness;      /* setting of sidecars and gateways */
  struct emulator_job_kind kinds[EMULATOR_JOB_KINDS]; /* up to the first without a name */
  struct emulator_interference interferences[EMULATOR_INTERFERENCES_MAX];
  unsigned n_interferences;
  struct emulator_fault faults[8];
  unsigned n_faults;
};

struct emulator_gateway_counts
{
  unsigned submitted;
  unsigned late;
  unsigned refused;
};

struct emulator_job_counts
{
  unsigned submitted;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  unsigned unfinished;
  unsigned large_submitted; /* jobs in the tenth of the kind that has the most work */
  unsigned large_in_time;
};

/** struct emulator_result - metrics of a run; goodput is the value of the jobs that were served as
 * a share of the value of all submitted jobs, and a late job has a reduced value */
struct emulator_result
{
  struct emulator_job_counts kinds[EMULATOR_JOB_KINDS];
  struct emulator_gateway_counts gateways[EMULATOR_GATEWAYS_MAX];
  double refusal_factor; /* between the gateways with the highest and the lowest share of refused
                          * jobs; shares below 2% count as 2% */
  double goodput;        /* over the whole run */
  double second_half_goodput;  /* of the jobs that arrive in the second half */
  double worst_window_goodput; /* mean of the two windows of 2 s with the lowest goodput */
  double wasted_core_s;
  double late_core_s;                      /* work of the jobs that were completed late */
  double slowed_core_s;                    /* core time lost to interference */
  double mean_refusal_ms;                  /* from arrival to refusal */
  double slow_shares[EMULATOR_SPEEDS_MAX]; /* share of the time in which upstreams of each speed of
                                            * hardware were reported as slow */
  unsigned n_runs;
  unsigned n_sent;             /* tasks sent to sidecars */
  unsigned n_no_room;          /* of these, refused by the sidecar for want of room */
  unsigned n_closed_sessions;  /* closed by a timeout; the emulator doesn't open them again */
  unsigned n_crashes;          /* of upstreams, caused by tasks or random */
  unsigned n_suspected;        /* times that a gateway suspected a queue */
  unsigned n_overlapping_runs; /* starts of a task that was still running */
  unsigned n_unanswered;       /* jobs without an answer at the end */
  unsigned n_returned;         /* refused jobs that were sent again */
  unsigned n_returned_in_time; /* of these, completed within the objective from their return on */
};

/** emulator_base_scenario - 11 upstreams and 3 gateways in 3 domains; @load multiplies all
 * arrival rates, and 1 stands for a busy system */
struct emulator_scenario
emulator_base_scenario (double load);

/** emulator_large_scenario - the same jobs at six times the rate on 68 upstreams and 12 gateways */
struct emulator_scenario
emulator_large_scenario (double load);

/** emulator_small_upstreams_scenario - jobs and upstreams of about half as many cores, in four
 * domains */
struct emulator_scenario
emulator_small_upstreams_scenario (double load);

/** emulator_uneven_gateways_scenario - 58 upstreams and 9 gateways in four domains; each domain
 * gets a quarter of the jobs, and one gateway nearly all of its domain */
struct emulator_scenario
emulator_uneven_gateways_scenario (double load);

/** emulator_contention_scenario - 61 upstreams and ten gateways in three domains; six gateways have
 * half a core, the others an eighth of it */
struct emulator_scenario
emulator_contention_scenario (double load);

/** emulator_uneven_scenario - 67 upstreams, of which every fourth has half the speed, and twelve
 * gateways of 0.5 to 0.09 cores in three domains; 3% of the tasks take seven times as long as
 * estimated */
struct emulator_scenario
emulator_uneven_scenario (double load);

/** emulator_interference_scenario - the gateways and upstreams of the contention scenario with a
 * fourth kind of jobs; the second and third kind slow each other down by @factor, and 1 stands for
 * none */
struct emulator_scenario
emulator_interference_scenario (double load, double factor);

/** emulator_run - runs the scenario; the same seed gives the same load */
struct emulator_result
emulator_run (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_run_ideal - runs the same load on one central queue without delays, which places a task
 * where it and the tasks that run there lose least to interference */
struct emulator_result
emulator_run_ideal (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_run_ideal_unaware - the same queue, but placing tasks as if there were no interference
 */
struct emulator_result
emulator_run_ideal_unaware (const struct emulator_scenario *scenario, uint32_t seed);

void
emulator_print_result (const struct emulator_scenario *scenario,
                       const struct emulator_result *result);

#endif
