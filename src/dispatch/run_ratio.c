#include "dispatch/run_ratio.h"
#include <glib.h>
#include <math.h>

/* Number of recent jobs that the distribution follows. */
#define MEMORY_JOBS 400

/* Bucket i, from 1 on, holds the ratios from 2^((i - 1) / 2) up to the next bucket; the last one is
 * open. */
#define BUCKETS_PER_OCTAVE 2

/* Estimates that are off by a spread of 0.4 make a task in a thousand take this multiple of its
 * expected time. */
#define LONG_RATIO 4
#define LONG_SHARE_MIN 0.01

/* A single job with a wrong estimate may have many tasks, so the tasks of this many jobs have to be
 * long. */
#define LONG_JOBS_MIN 3
#define TASKS_MIN 200

static double
position_of (double value)
{
  return value < 1 ? 0 : 1 + BUCKETS_PER_OCTAVE * log2 (value);
}

static void
decay (struct az_run_ratio *ratio, double factor)
{
  for (int i = 0; i < AZ_RUN_RATIO_BUCKETS; i++)
    ratio->weights[i] *= factor;
  ratio->total *= factor;
  ratio->n_long_jobs *= factor;
}

void
az_run_ratio_record (struct az_run_ratio *ratio, uint64_t job, double value, double weight)
{
  int bucket = (int)MIN (position_of (value), AZ_RUN_RATIO_BUCKETS - 1);

  decay (ratio, 1 - weight / MEMORY_JOBS);
  ratio->weights[bucket] += weight;
  ratio->total += weight;
  ratio->n_tasks = MIN (ratio->n_tasks + 1, TASKS_MIN);
  if (value < LONG_RATIO || (ratio->last_long_job == job && ratio->n_long_jobs > 0))
    return;
  ratio->n_long_jobs++;
  ratio->last_long_job = job;
}

double
az_run_ratio_tail (const struct az_run_ratio *ratio, double value)
{
  double position = MIN (position_of (value), AZ_RUN_RATIO_BUCKETS - 1);
  int bucket = (int)position;
  double sum = ratio->weights[bucket] * (1 - (position - bucket));

  if (ratio->total <= 0)
    return 0;
  for (int i = bucket + 1; i < AZ_RUN_RATIO_BUCKETS; i++)
    sum += ratio->weights[i];
  return MIN (sum / ratio->total, 1);
}

bool
az_run_ratio_is_known (const struct az_run_ratio *ratio)
{
  return ratio->n_tasks >= TASKS_MIN;
}

bool
az_run_ratio_is_heavy (const struct az_run_ratio *ratio)
{
  return az_run_ratio_is_known (ratio) && ratio->n_long_jobs >= LONG_JOBS_MIN
         && az_run_ratio_tail (ratio, LONG_RATIO) >= LONG_SHARE_MIN;
}
