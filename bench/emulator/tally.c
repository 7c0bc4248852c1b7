#include "emulator/world.h"
#include <stdio.h>

#define WINDOW_US 2000000
#define LATE_VALUE_SHARE 0.2
#define REFUSED_SHARE_MIN 0.02

void
emu_metrics_init (struct emu_metrics *metrics, const struct emulator_scenario *scenario)
{
  guint n_windows = (guint)(scenario->duration_s * 1e6 / WINDOW_US) + 2;

  *metrics = (struct emu_metrics){ .duration_s = scenario->duration_s };
  metrics->window_offered_value = g_array_sized_new (FALSE, TRUE, sizeof (double), n_windows);
  metrics->window_served_value = g_array_sized_new (FALSE, TRUE, sizeof (double), n_windows);
  g_array_set_size (metrics->window_offered_value, n_windows);
  g_array_set_size (metrics->window_served_value, n_windows);
}

static guint
window_index (const struct emu_metrics *metrics, const struct emu_job *job)
{
  return MIN ((guint)(job->arrival_us / WINDOW_US), metrics->window_offered_value->len - 1);
}

void
emu_metrics_record_answer (struct emu_metrics *metrics,
                           struct emu_job *job,
                           enum az_job_outcome outcome,
                           int64_t answered_us)
{
  struct emulator_job_counts *row = &metrics->result.kinds[job->kind];
  struct emulator_gateway_counts *gateway = &metrics->result.gateways[job->gateway];
  double served = 0;

  job->is_answered = true;
  if (outcome == AZ_JOB_COMPLETED && answered_us <= job->objective_us)
    {
      row->in_time++;
      row->large_in_time += job->is_large;
      served = job->value;
    }
  else if (outcome == AZ_JOB_COMPLETED)
    {
      row->late++;
      gateway->late++;
      metrics->result.late_core_s += job->core_s;
      served = answered_us <= 3 * job->objective_us ? LATE_VALUE_SHARE * job->value : 0;
    }
  else if (outcome == AZ_JOB_NOT_RUN)
    {
      row->refused++;
      gateway->refused++;
      metrics->n_refused++;
      metrics->refusal_ms_sum += (double)answered_us / 1000;
    }
  else
    row->unfinished++;
  g_array_index (metrics->window_served_value, double, window_index (metrics, job)) += served;
}

static double
mean_of_two_worst_windows (const struct emu_metrics *metrics)
{
  double worst = 1;
  double second = 1;

  for (guint i = 0; i < metrics->window_offered_value->len; i++)
    {
      double offered = g_array_index (metrics->window_offered_value, double, i);
      double share
          = offered > 0 ? g_array_index (metrics->window_served_value, double, i) / offered : 1;

      if (share < worst)
        {
          second = worst;
          worst = share;
        }
      else if (share < second)
        second = share;
    }
  return (worst + second) / 2;
}

/* From the first window of arrivals that begins in the second half on. */
static double
second_half_goodput (const struct emu_metrics *metrics)
{
  double offered = 0;
  double served = 0;
  guint first = (guint)((ARRIVALS_START_US + metrics->duration_s * 1e6 / 2) / WINDOW_US) + 1;

  for (guint i = first; i < metrics->window_offered_value->len; i++)
    {
      offered += g_array_index (metrics->window_offered_value, double, i);
      served += g_array_index (metrics->window_served_value, double, i);
    }
  return offered > 0 ? served / offered : 1;
}

static double
refusal_factor (const struct emulator_result *result)
{
  double highest = REFUSED_SHARE_MIN;
  double lowest = 1;

  for (unsigned i = 0; i < EMULATOR_GATEWAYS_MAX; i++)
    {
      const struct emulator_gateway_counts *row = &result->gateways[i];
      double share = (double)row->refused / MAX (row->submitted, 1);

      if (row->submitted == 0)
        continue;
      highest = MAX (highest, share);
      lowest = MIN (lowest, MAX (share, REFUSED_SHARE_MIN));
    }
  return highest / lowest;
}

struct emulator_result
emu_metrics_finish (struct emu_metrics *metrics, const struct emu_load *load)
{
  struct emulator_result *result = &metrics->result;
  double offered = 0;
  double goodput = 0;

  for (guint i = 0; i < load->jobs->len; i++)
    {
      const struct emu_job *job = &g_array_index (load->jobs, struct emu_job, i);

      result->kinds[job->kind].submitted++;
      result->gateways[job->gateway].submitted++;
      result->kinds[job->kind].large_submitted += job->is_large;
      result->n_unanswered += !job->is_answered;
      g_array_index (metrics->window_offered_value, double, window_index (metrics, job))
          += job->value;
      offered += job->value;
    }
  for (guint i = 0; i < metrics->window_served_value->len; i++)
    goodput += g_array_index (metrics->window_served_value, double, i);
  result->goodput = offered > 0 ? goodput / offered : 1;
  result->second_half_goodput = second_half_goodput (metrics);
  result->refusal_factor = refusal_factor (result);
  result->worst_window_goodput = mean_of_two_worst_windows (metrics);
  result->mean_refusal_ms = metrics->n_refused ? metrics->refusal_ms_sum / metrics->n_refused : 0;
  g_array_unref (metrics->window_offered_value);
  g_array_unref (metrics->window_served_value);
  return *result;
}

static void
print_slow_shares (const struct emulator_scenario *scenario, const struct emulator_result *result)
{
  printf ("  reported as slow, by speed of hardware:");
  for (unsigned i = 0; i < scenario->n_upstream_speeds; i++)
    printf (" %.2f: %.3f", scenario->upstream_speeds[i], result->slow_shares[i]);
  printf ("\n");
}

static void
print_gateways (const struct emulator_scenario *scenario, const struct emulator_result *result)
{
  printf (
      "  sent %u  of these without room %.3f  sessions closed %u  refusals differ by a factor of "
      "%.2f\n",
      result->n_sent, (double)result->n_no_room / MAX (result->n_sent, 1),
      result->n_closed_sessions, result->refusal_factor);
  for (unsigned i = 0; i < scenario->n_gateways; i++)
    {
      const struct emulator_gateway_counts *row = &result->gateways[i];

      printf ("  gateway %2u  domain %u  cores %.2f  asked %6u  late %.3f  refused %.3f\n", i,
              i % scenario->n_domains, scenario->processor_shares[i], row->submitted,
              (double)row->late / MAX (row->submitted, 1),
              (double)row->refused / MAX (row->submitted, 1));
    }
}

void
emulator_print_result (const struct emulator_scenario *scenario,
                       const struct emulator_result *result)
{
  printf ("earned %.3f, worst windows %.3f, wasted %.0f core-s, refused after %.0f ms, %u runs\n",
          result->goodput, result->worst_window_goodput, result->wasted_core_s,
          result->mean_refusal_ms, result->n_runs);
  for (unsigned i = 0; i < EMULATOR_JOB_KINDS && scenario->kinds[i].name; i++)
    {
      const struct emulator_job_counts *row = &result->kinds[i];

      printf ("  %-8s asked %6u  in time %.3f  late %.3f  refused %.3f  unfinished %.3f  largest "
              "tenth in time %.3f\n",
              scenario->kinds[i].name, row->submitted,
              (double)row->in_time / MAX (row->submitted, 1),
              (double)row->late / MAX (row->submitted, 1),
              (double)row->refused / MAX (row->submitted, 1),
              (double)row->unfinished / MAX (row->submitted, 1),
              (double)row->large_in_time / MAX (row->large_submitted, 1));
    }
  if (result->n_sent > 0)
    print_slow_shares (scenario, result);
  if (result->n_sent > 0 && scenario->processor_shares[0] > 0)
    print_gateways (scenario, result);
}
