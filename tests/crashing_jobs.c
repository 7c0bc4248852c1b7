#include "crashing_jobs.h"

struct emulator_scenario
crashing_jobs_scenario (unsigned kind)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);

  scenario.faults[scenario.n_faults++] = (struct emulator_fault){
    EMULATOR_CRASHING_JOBS, CRASHES_FROM_S, CRASHES_TO_S, kind, 0, 0.1
  };
  return scenario;
}

double
crashing_jobs_served_share (const struct emulator_result *result, unsigned kind)
{
  return (double)result->kinds[kind].in_time / result->kinds[kind].submitted;
}
