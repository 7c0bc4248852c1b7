#include "azurerock/log.h"
#include "emulator/emulator.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULTS_MAX 5

/* Leaves room to separate the kinds: the jobs ask for 45% of the capacity. */
#define INTERFERENCE_LOAD 0.7

/* Any other name selects the base scenario. */
static struct emulator_scenario
create_deployment_scenario (const char *name, double load)
{
  if (!g_strcmp0 (name, "grown"))
    return emulator_large_scenario (load);
  if (!g_strcmp0 (name, "permits"))
    return emulator_small_upstreams_scenario (load);
  if (!g_strcmp0 (name, "swap-grown"))
    return emulator_uneven_gateways_scenario (load);
  if (!g_strcmp0 (name, "contention"))
    return emulator_contention_scenario (load);
  if (!g_strcmp0 (name, "uneven"))
    return emulator_uneven_scenario (load);
  return emulator_base_scenario (load);
}

struct row
{
  const char *name;
  double load;
  double duration_s; /* 0 means that of the scenario */
  struct emulator_fault faults[FAULTS_MAX];
};

static struct emulator_scenario
create_scenario_with_faults (const struct row *row, const char *deployment)
{
  struct emulator_scenario scenario = create_deployment_scenario (deployment, row->load);

  while (scenario.n_faults < FAULTS_MAX && row->faults[scenario.n_faults].to_s > 0)
    {
      scenario.faults[scenario.n_faults] = row->faults[scenario.n_faults];
      scenario.n_faults++;
    }
  if (row->duration_s > 0)
    scenario.duration_s = row->duration_s;
  return scenario;
}

/* Share of the jobs of the worst-served kind, or of the largest tenth of a kind, that are in time.
 */
static double
worst_kind_share (const struct emulator_result *result)
{
  double worst = 1;

  for (unsigned i = 0; i < EMULATOR_JOB_KINDS; i++)
    {
      const struct emulator_job_counts *row = &result->kinds[i];

      if (row->submitted > 0)
        worst = MIN (worst, (double)row->in_time / row->submitted);
      if (row->large_submitted > 0)
        worst = MIN (worst, (double)row->large_in_time / row->large_submitted);
    }
  return worst;
}

static void
add_interference (struct emulator_result *mean,
                  const struct emulator_result *result,
                  unsigned count)
{
  mean->goodput += result->goodput / count;
  mean->second_half_goodput += result->second_half_goodput / count;
  mean->slowed_core_s += result->slowed_core_s / count;
}

/* Prints means of the processes and, in brackets, of the ideal queue with the factors and without
 * them. */
static void
run_interference (const char *name,
                  const struct emulator_scenario *scenario,
                  unsigned first,
                  unsigned count)
{
  struct emulator_result mean = { 0 };
  struct emulator_result ideal = { 0 };
  struct emulator_result unaware = { 0 };

  for (unsigned seed = first; seed < first + count; seed++)
    {
      struct emulator_result result = emulator_run (scenario, seed);
      struct emulator_result aware_result = emulator_run_ideal (scenario, seed);
      struct emulator_result unaware_result = emulator_run_ideal_unaware (scenario, seed);

      if (count == 1)
        {
          emulator_print_result (scenario, &result);
          emulator_print_result (scenario, &aware_result);
          emulator_print_result (scenario, &unaware_result);
        }
      add_interference (&mean, &result, count);
      add_interference (&ideal, &aware_result, count);
      add_interference (&unaware, &unaware_result, count);
      mean.wasted_core_s += result.wasted_core_s / count;
      mean.n_overlapping_runs += result.n_overlapping_runs;
      mean.n_unanswered += result.n_unanswered;
    }
  printf ("%-14s earned %.4f (%.4f, %.4f)  second half %.4f (%.4f, %.4f)  lost to interference "
          "%.0f core-s (%.0f, %.0f)  wasted %.0f core-s  overlapping runs %u  unanswered %u\n",
          name, mean.goodput, ideal.goodput, unaware.goodput, mean.second_half_goodput,
          ideal.second_half_goodput, unaware.second_half_goodput, mean.slowed_core_s,
          ideal.slowed_core_s, unaware.slowed_core_s, mean.wasted_core_s, mean.n_overlapping_runs,
          mean.n_unanswered);
}

static void
run_seeds (const char *name,
           const struct emulator_scenario *scenario,
           unsigned first,
           unsigned count)
{
  struct emulator_result mean = { 0 };
  double worst_kind = 0;
  double ideal = 0;
  double ideal_window = 0;

  for (unsigned seed = first; seed < first + count; seed++)
    {
      struct emulator_result result = emulator_run (scenario, seed);
      struct emulator_result best = emulator_run_ideal (scenario, seed);

      if (count == 1)
        {
          emulator_print_result (scenario, &result);
          emulator_print_result (scenario, &best);
        }
      mean.goodput += result.goodput / count;
      mean.mean_refusal_ms += result.mean_refusal_ms / count;
      worst_kind += worst_kind_share (&result) / count;
      mean.worst_window_goodput += result.worst_window_goodput / count;
      mean.wasted_core_s += result.wasted_core_s / count;
      mean.refusal_factor += result.refusal_factor / count;
      mean.n_sent += result.n_sent;
      mean.n_no_room += result.n_no_room;
      mean.n_returned += result.n_returned;
      mean.n_returned_in_time += result.n_returned_in_time;
      mean.n_overlapping_runs += result.n_overlapping_runs;
      mean.n_unanswered += result.n_unanswered;
      ideal += best.goodput / count;
      ideal_window += best.worst_window_goodput / count;
    }
  printf ("%-28s earned %.3f (ideal %.3f)  worst windows %.3f (ideal %.3f)  worst kind %.3f  "
          "refused after %.0f ms  overlapping runs %u  unanswered %u\n",
          name, mean.goodput, ideal, mean.worst_window_goodput, ideal_window, worst_kind,
          mean.mean_refusal_ms, mean.n_overlapping_runs, mean.n_unanswered);
  if (scenario->processor_shares[0] > 0)
    printf ("%-28s refusals differ by a factor of %.2f  sent tasks without room %.3f  wasted %.0f "
            "core-s\n",
            name, mean.refusal_factor, (double)mean.n_no_room / MAX (mean.n_sent, 1),
            mean.wasted_core_s);
  if (mean.n_returned > 0)
    printf ("%-28s returned %u  of these in time %.3f\n", name, mean.n_returned,
            (double)mean.n_returned_in_time / mean.n_returned);
}

static const struct row standard_rows[] = {
  { "quiet", 0.7, 0, { { 0 } } },
  { "busy", 1.0, 0, { { 0 } } },
  { "busy, burst of 1.3", 1.0, 0, { { EMULATOR_BURST, 5, 9, 0, 0, 1.3 } } },
  { "busy, burst of 1.8", 1.0, 0, { { EMULATOR_BURST, 5, 9, 0, 0, 1.8 } } },
  { "busy, a domain withdrawn", 1.0, 0, { { EMULATOR_WITHDRAW, 5, 15, 0, 0, 1 } } },
  { "busy, two slow", 1.0, 0, { { EMULATOR_SLOW, 5, 12, 3, 2, 6.5 } } },
  { "busy, one stands still", 1.0, 0, { { EMULATOR_STALL, 5, 11, 4, 1, 1 } } },
  { "busy, one fails all", 1.0, 0, { { EMULATOR_FAIL, 5, 11, 4, 1, 1 } } },
  { "busy, 5% unanswered", 1.0, 0, { { EMULATOR_CALL_LOSS, 5, 11, 0, 0, 0.05 } } },
  { "busy, five of eleven left",
    1.0,
    0,
    { { EMULATOR_WITHDRAW, 5, 15, 0, 0, 1 }, { EMULATOR_CRASH, 4, 15, 1, 3, 1 } } },
  { "busy, six of eleven left",
    1.0,
    0,
    { { EMULATOR_WITHDRAW, 2, 18, 0, 0, 1 }, { EMULATOR_CRASH, 2, 18, 1, 2, 1 } } },
  { "busy, seven of eleven left",
    1.0,
    0,
    { { EMULATOR_WITHDRAW, 2, 18, 0, 0, 1 }, { EMULATOR_CRASH, 2, 18, 1, 1, 1 } } },
  { "busy, four kinds of fault",
    0.9,
    0,
    { { EMULATOR_WITHDRAW, 3, 16, 0, 0, 1 },
      { EMULATOR_CRASH, 5, 14, 1, 1, 1 },
      { EMULATOR_SLOW, 6, 13, 3, 1, 6.5 },
      { EMULATOR_FAIL, 6, 13, 5, 1, 1 } } },
  { "busy, power loss", 1.0, 0, { { EMULATOR_POWER_LOSS, 8, 9.8, 0, 0, 1 } } },
  { "six left, power loss",
    0.9,
    0,
    { { EMULATOR_WITHDRAW, 2, 18, 0, 0, 1 },
      { EMULATOR_CRASH, 2, 18, 1, 2, 1 },
      { EMULATOR_POWER_LOSS, 8, 9.8, 0, 0, 1 } } },
  { "busy, two crash", 1.0, 0, { { EMULATOR_CRASH, 5, 9, 5, 2, 1 } } },
  { "busy, tasks that crash", 1.0, 0, { { EMULATOR_CRASHING_JOBS, 2, 20, 0, 0, 0.1 } } },
};

/* Rows of the deployments contention and uneven. */
static const struct row contention_rows[] = {
  { "usual", 1.0, 0, { { 0 } } },
  { "a domain withdrawn", 1.0, 0, { { EMULATOR_WITHDRAW, 1, 18, 2, 0, 1 } } },
  { "bursts, departure",
    1.0,
    26,
    { { EMULATOR_BURST, 4, 12, 2, 1, 2.5 },
      { EMULATOR_BURST, 6, 12, 0, 0, 1.6 },
      { EMULATOR_CRASH, 14, 60, 0, 12, 1 },
      { EMULATOR_BURST, 18, 24, 0, 1, 2.2 } } },
  { "withdrawn, bursts, departure",
    1.0,
    26,
    { { EMULATOR_WITHDRAW, 1, 21, 2, 0, 1 },
      { EMULATOR_BURST, 4, 12, 2, 1, 2.5 },
      { EMULATOR_BURST, 6, 12, 0, 0, 1.6 },
      { EMULATOR_CRASH, 14, 60, 0, 12, 1 },
      { EMULATOR_BURST, 18, 24, 0, 1, 2.2 } } },
};

struct interference_row
{
  const char *name;
  double factor;
};

static const struct interference_row interference_rows[] = {
  { "control", 1 },
  { "factor of 1.2", 1.2 },
  { "factor of 1.5", 1.5 },
  { "factor of 2.5", 2.5 },
};

static bool
has_contention (const char *deployment)
{
  return !strcmp (deployment, "contention") || !strcmp (deployment, "uneven");
}

/* Whether the word is among the arguments after the deployment, which name settings to switch on.
 */
static bool
has_word (int argc, char **argv, const char *word)
{
  for (int i = 4; i < argc; i++)
    if (!strcmp (argv[i], word))
      return true;
  return false;
}

static void
apply_words (struct emulator_scenario *scenario, int argc, char **argv)
{
  scenario->refused_callers_return = has_word (argc, argv, "return");
  scenario->share_demand = scenario->fair_queue_shares = has_word (argc, argv, "shares");
  scenario->separate_queues = has_word (argc, argv, "separate");
  scenario->relative_slowness = has_word (argc, argv, "relative-slowness");
  scenario->tail_aware_moves = has_word (argc, argv, "tail-aware");
}

static void
run_interference_rows (unsigned first, unsigned count, int argc, char **argv)
{
  for (size_t i = 0; i < G_N_ELEMENTS (interference_rows); i++)
    {
      struct emulator_scenario scenario
          = emulator_interference_scenario (INTERFERENCE_LOAD, interference_rows[i].factor);

      apply_words (&scenario, argc, argv);
      run_interference (interference_rows[i].name, &scenario, first, count);
    }
}

int
main (int argc, char **argv)
{
  unsigned first = argc > 1 ? (unsigned)atoi (argv[1]) : 1;
  unsigned count = argc > 2 ? (unsigned)atoi (argv[2]) : 5;
  const char *deployment = argc > 3 ? argv[3] : "theatre";
  const struct row *rows = has_contention (deployment) ? contention_rows : standard_rows;
  size_t n_rows
      = has_contention (deployment) ? G_N_ELEMENTS (contention_rows) : G_N_ELEMENTS (standard_rows);

  az_log_init ("dispatch_emulator", LOG_ERR);
  if (!strcmp (deployment, "interference"))
    {
      run_interference_rows (first, count, argc, argv);
      return 0;
    }
  for (size_t i = 0; i < n_rows; i++)
    {
      struct emulator_scenario scenario = create_scenario_with_faults (&rows[i], deployment);

      apply_words (&scenario, argc, argv);
      run_seeds (rows[i].name, &scenario, first, count);
    }
  return 0;
}
