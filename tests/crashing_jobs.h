#ifndef AZUREROCK_TESTS_CRASHING_JOBS_H
#define AZUREROCK_TESTS_CRASHING_JOBS_H

#include "emulator/emulator.h"

/* From 2 s on a tenth of the jobs of one kind crash their upstreams, which are down for 3.3 s. */
#define CRASHES_FROM_S 2
#define CRASHES_TO_S 20
#define DOWN_S 3.3

/* A kind that has less than half of the starts. */
#define HOLD_KIND 0
#define RELEASE_KIND 1
#define BUY_KIND 2

/** crashing_jobs_scenario - the base scenario, in which jobs of @kind crash their upstreams */
struct emulator_scenario
crashing_jobs_scenario (unsigned kind);

/** crashing_jobs_served_share - share of the jobs of @kind that were in time */
double
crashing_jobs_served_share (const struct emulator_result *result, unsigned kind);

#endif
