#include "emulator/world.h"
#include <stdio.h>

#define WINDOW_US 2000000
#define LATE_SHARE 0.2

void
emu_tally_init (struct emu_tally *tally, const struct emulator_scenario *scenario)
{
  guint n_windows = (guint)(scenario->length_s * 1e6 / WINDOW_US) + 2;

  *tally = (struct emu_tally){ 0 };
  tally->window_owed = g_array_sized_new (FALSE, TRUE, sizeof (double), n_windows);
  tally->window_earned = g_array_sized_new (FALSE, TRUE, sizeof (double), n_windows);
  g_array_set_size (tally->window_owed, n_windows);
  g_array_set_size (tally->window_earned, n_windows);
}

static guint
window_of (const struct emu_tally *tally, const struct emu_job *job)
{
  return MIN ((guint)(job->arrives_us / WINDOW_US), tally->window_owed->len - 1);
}

void
emu_tally_count (struct emu_tally *tally,
                 struct emu_job *job,
                 enum az_job_outcome outcome,
                 int64_t answered_us)
{
  struct emulator_outcome *row = &tally->result.kinds[job->kind];
  double earned = 0;

  job->is_answered = true;
  if (outcome == AZ_JOB_COMPLETED && answered_us <= job->objective_us)
    {
      row->in_time++;
      row->large_in_time += job->is_large;
      earned = job->worth;
    }
  else if (outcome == AZ_JOB_COMPLETED)
    {
      row->late++;
      earned = answered_us <= 3 * job->objective_us ? LATE_SHARE * job->worth : 0;
    }
  else if (outcome == AZ_JOB_NOT_RUN)
    {
      row->refused++;
      tally->n_refused++;
      tally->refused_ms += (double)answered_us / 1000;
    }
  else
    row->unfinished++;
  g_array_index (tally->window_earned, double, window_of (tally, job)) += earned;
}

static double
mean_of_two_worst (const struct emu_tally *tally)
{
  double worst = 1;
  double second = 1;

  for (guint i = 0; i < tally->window_owed->len; i++)
    {
      double owed = g_array_index (tally->window_owed, double, i);
      double share = owed > 0 ? g_array_index (tally->window_earned, double, i) / owed : 1;

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

struct emulator_result
emu_tally_finish (struct emu_tally *tally, const struct emu_load *load)
{
  struct emulator_result *result = &tally->result;
  double owed = 0;
  double earned = 0;

  for (guint i = 0; i < load->jobs->len; i++)
    {
      const struct emu_job *job = &g_array_index (load->jobs, struct emu_job, i);

      result->kinds[job->kind].asked++;
      result->kinds[job->kind].large_asked += job->is_large;
      result->n_unanswered += !job->is_answered;
      g_array_index (tally->window_owed, double, window_of (tally, job)) += job->worth;
      owed += job->worth;
    }
  for (guint i = 0; i < tally->window_earned->len; i++)
    earned += g_array_index (tally->window_earned, double, i);
  result->earned = owed > 0 ? earned / owed : 1;
  result->worst_window = mean_of_two_worst (tally);
  result->refused_held_ms = tally->n_refused ? tally->refused_ms / tally->n_refused : 0;
  g_array_unref (tally->window_owed);
  g_array_unref (tally->window_earned);
  return *result;
}

void
emulator_print (const struct emulator_scenario *scenario, const struct emulator_result *result)
{
  printf ("earned %.3f, worst windows %.3f, wasted %.0f core-s, refused after %.0f ms, %u runs\n",
          result->earned, result->worst_window, result->wasted_core_s, result->refused_held_ms,
          result->n_runs);
  for (unsigned i = 0; i < EMULATOR_KINDS; i++)
    {
      const struct emulator_outcome *row = &result->kinds[i];

      printf ("  %-8s asked %6u  in time %.3f  late %.3f  refused %.3f  unfinished %.3f  largest "
              "tenth in time %.3f\n",
              scenario->kinds[i].name, row->asked, (double)row->in_time / MAX (row->asked, 1),
              (double)row->late / MAX (row->asked, 1), (double)row->refused / MAX (row->asked, 1),
              (double)row->unfinished / MAX (row->asked, 1),
              (double)row->large_in_time / MAX (row->large_asked, 1));
    }
}
