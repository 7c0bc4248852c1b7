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

#define EMULATOR_KINDS 3
#define EMULATOR_GATEWAYS_MAX 16

/** struct emulator_kind - one kind of jobs */
struct emulator_kind
{
  const char *name;
  double per_s; /* over all gateways */
  double mean_ms;
  double mean_tasks;
  unsigned max_tasks;
  unsigned priority;
  double worth; /* of a mean job */
};

enum emulator_trouble_kind
{
  EMULATOR_SLOW,       /* tasks take factor times as long */
  EMULATOR_STALL,      /* tasks stand still */
  EMULATOR_FAIL,       /* a share of the tasks, factor, fails */
  EMULATOR_CRASH,      /* upstreams are down and lose their tasks */
  EMULATOR_WITHDRAW,   /* a failure domain takes no tasks */
  EMULATOR_BURST,      /* factor times the arrivals */
  EMULATOR_UNANSWERED, /* a share of the orders, factor, gets no answer and comes too late */
};

/** struct emulator_trouble - @first and @count choose upstreams, or @first a domain */
struct emulator_trouble
{
  enum emulator_trouble_kind kind;
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
  double cores;      /* of most upstreams; each third one has half as many again */
  double task_cores; /* of a mean task */
  double length_s;
  double load; /* scales the arrivals */
  double cross_ms;
  struct emulator_kind kinds[EMULATOR_KINDS];
  struct emulator_trouble troubles[8];
  unsigned n_troubles;
};

struct emulator_outcome
{
  unsigned asked;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  unsigned unfinished;
  unsigned large_asked; /* jobs with the tenth of most work */
  unsigned large_in_time;
};

/** struct emulator_result - shares are of the worth of what was asked */
struct emulator_result
{
  struct emulator_outcome kinds[EMULATOR_KINDS];
  double earned;       /* over the whole run */
  double worst_window; /* mean of the two worst windows of 2 s */
  double wasted_core_s;
  double refused_held_ms; /* mean time until a refusal */
  unsigned n_runs;
  unsigned n_overlaps; /* runs of a task while another run of it went on */
  unsigned n_unanswered;
};

/** emulator_theatre - the theatre's kinds on eleven upstreams, at @load times its busy traffic */
struct emulator_scenario
emulator_theatre (double load);

/** emulator_theatre_grown - 68 upstreams and 12 gateways */
struct emulator_scenario
emulator_theatre_grown (double load);

/** emulator_permits - the permit desk's kinds on eleven smaller upstreams in four domains */
struct emulator_scenario
emulator_permits (double load);

/** emulator_swap_grown - 58 upstreams and 9 gateways in four domains, of which the busiest gateway
 * gets a quarter of the jobs */
struct emulator_scenario
emulator_swap_grown (double load);

/** emulator_play - plays the scenario; the same seed gives the same load */
struct emulator_result
emulator_play (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_play_ideal - the same load on one central queue without delays */
struct emulator_result
emulator_play_ideal (const struct emulator_scenario *scenario, uint32_t seed);

/** emulator_print - a table of the result */
void
emulator_print (const struct emulator_scenario *scenario, const struct emulator_result *result);

#endif
