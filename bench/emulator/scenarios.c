#include "emulator/emulator.h"
#include <string.h>

struct emulator_scenario
emulator_base_scenario (double load)
{
  return (struct emulator_scenario){
    .n_gateways = 3,
    .n_upstreams = 11,
    .n_domains = 3,
    .upstream_cores = 32,
    .mean_task_cores = 3.1,
    .duration_s = 20,
    .load = load,
    .upstream_speeds = { 1.0, 0.8, 1.25, 0.9, 1.1 },
    .n_upstream_speeds = 5,
    .cross_domain_delay_ms = 0.9,
    .rate_swing = 0.15,
    .kinds = {
      { "hold", 34.4 * 1.1, 60, 8, 32, 0, 0.0291 },
      { "release", 100 * 1.1, 200, 2, 8, 1, 0.01 },
      { "buy", 6.25 * 1.1, 900, 4, 16, 2, 0.16 },
    },
  };
}

struct emulator_scenario
emulator_large_scenario (double load)
{
  struct emulator_scenario scenario = emulator_base_scenario (load * 6);

  scenario.n_gateways = 12;
  scenario.n_upstreams = 68;
  return scenario;
}

struct emulator_scenario
emulator_small_upstreams_scenario (double load)
{
  struct emulator_scenario scenario = emulator_base_scenario (load * 0.9);

  scenario.n_gateways = 4;
  scenario.n_domains = 4;
  scenario.upstream_cores = 16;
  scenario.mean_task_cores = 1.6;
  scenario.cross_domain_delay_ms = 1.4;
  return scenario;
}

struct emulator_scenario
emulator_uneven_gateways_scenario (double load)
{
  /* The gateway with index i is in domain i % 4. Each domain has a quarter of the traffic. */
  static const double weights[] = { 0.08, 0.11, 0.12, 0.24, 0.08, 0.14, 0.13, 0.01, 0.09 };
  struct emulator_scenario scenario = emulator_base_scenario (load * 5.3);

  scenario.n_gateways = G_N_ELEMENTS (weights);
  memcpy (scenario.gateway_weights, weights, sizeof weights);
  scenario.n_upstreams = 58;
  scenario.n_domains = 4;
  scenario.cross_domain_delay_ms = 0.5;
  return scenario;
}

/* Rates of the kinds in the order of their priorities. */
static void
set_rates (struct emulator_scenario *scenario, double first, double second, double third)
{
  scenario->kinds[0].arrivals_per_s = first;
  scenario->kinds[1].arrivals_per_s = second;
  scenario->kinds[2].arrivals_per_s = third;
}

struct emulator_scenario
emulator_contention_scenario (double load)
{
  /* The gateway with index i is in domain i % 3. */
  static const double shares[] = { 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.12, 0.12, 0.12, 0.12 };
  static const double speeds[] = { 1.0, 1.0, 1.3 };
  struct emulator_scenario scenario = emulator_base_scenario (load);

  scenario.n_gateways = G_N_ELEMENTS (shares);
  memcpy (scenario.processor_shares, shares, sizeof shares);
  scenario.n_upstreams = 61;
  scenario.n_upstream_speeds = G_N_ELEMENTS (speeds);
  memcpy (scenario.upstream_speeds, speeds, sizeof speeds);
  scenario.mean_task_cores = 2.9;
  scenario.cross_domain_delay_ms = 1.4;
  scenario.delay_spread = 0.1;
  scenario.caller_delay_ms = 3;
  set_rates (&scenario, 206, 600, 37.5);
  return scenario;
}

struct emulator_scenario
emulator_interference_scenario (double load, double factor)
{
  struct emulator_scenario scenario = emulator_contention_scenario (load);

  scenario.duration_s = 60;
  scenario.kinds[3] = (struct emulator_job_kind){ "refund", 75, 300, 4, 16, 3, 0.08, 0, 0 };
  /* The second and third kind have most of the work, so that their tasks often meet. */
  scenario.interferences[scenario.n_interferences++]
      = (struct emulator_interference){ 1, 2, factor };
  return scenario;
}

struct emulator_scenario
emulator_uneven_scenario (double load)
{
  /* The gateway with index i is in domain i % 3. */
  static const double shares[] = { 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.3, 0.3, 0.3, 0.09, 0.09, 0.09 };
  static const double speeds[] = { 0.55, 1.2, 1.2, 1.2 };
  struct emulator_scenario scenario = emulator_base_scenario (load);

  scenario.n_gateways = G_N_ELEMENTS (shares);
  memcpy (scenario.processor_shares, shares, sizeof shares);
  scenario.n_upstreams = 67;
  scenario.n_upstream_speeds = G_N_ELEMENTS (speeds);
  memcpy (scenario.upstream_speeds, speeds, sizeof speeds);
  scenario.mean_task_cores = 3.2;
  scenario.delay_spread = 0.1;
  scenario.caller_delay_ms = 1;
  scenario.rate_swing = 0.5;
  set_rates (&scenario, 181, 529, 33);
  scenario.kinds[0].mean_run_ms = 51;
  scenario.kinds[1].mean_run_ms = 170;
  scenario.kinds[2].mean_run_ms = 760;
  for (unsigned i = 0; i < EMULATOR_JOB_KINDS; i++)
    {
      scenario.kinds[i].tail_share = 0.03;
      scenario.kinds[i].tail_factor = 7;
    }
  return scenario;
}
