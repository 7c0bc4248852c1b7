#ifndef AZUREROCK_BENCH_EMULATOR_IDEAL_H
#define AZUREROCK_BENCH_EMULATOR_IDEAL_H

#include "emulator/world.h"

/* Upstreams of the ideal queue: no delays, no failures, and the run times are known. */

struct emu_ideal_upstream;

/** struct emu_ideal_run - a task to start; its speed without interference stays what it was at its
 * start */
struct emu_ideal_run
{
  unsigned kind;
  double cpu_milli;
  double remaining_us; /* run time left at speed 1 */
  double speed;
  void *data; /* for the observer */
};

/** struct emu_ideal_observer - @task_ended is called with the data of each task that ends */
struct emu_ideal_observer
{
  void (*task_ended) (void *context, void *data);
  void *context;
};

struct emu_ideal_upstream *
emu_ideal_upstream_create (struct emu_events *events,
                           const struct emulator_scenario *scenario,
                           double cpu_milli,
                           const struct emu_ideal_observer *observer);
void
emu_ideal_upstream_destroy (struct emu_ideal_upstream *upstream);
bool
emu_ideal_upstream_has_room (const struct emu_ideal_upstream *upstream, double cpu_milli);

/** emu_ideal_upstream_factor - how many times slower a task of @kind would progress now */
double
emu_ideal_upstream_factor (const struct emu_ideal_upstream *upstream, unsigned kind);

/** emu_ideal_upstream_loss - core-seconds that the task and those that run here would lose to
 * interference with each other if no others started */
double
emu_ideal_upstream_loss (const struct emu_ideal_upstream *upstream,
                         const struct emu_ideal_run *task);
void
emu_ideal_upstream_start (struct emu_ideal_upstream *upstream, const struct emu_ideal_run *task);

/** emu_ideal_upstream_slowed_core_s - core time lost to interference so far */
double
emu_ideal_upstream_slowed_core_s (const struct emu_ideal_upstream *upstream);

#endif
