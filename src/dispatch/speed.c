#include "dispatch/speed.h"
#include <glib.h>
#include <math.h>

/* Run time estimates are off by some tens of percent, so a single task must not change the speed by
 * much. */
#define SMOOTHING_WEIGHT 0.08
#define SLOW_SMOOTHING_WEIGHT 0.5

#define SLOW_THRESHOLD 0.45

/* Only after slow tasks from this many jobs in a row may the speed fall below the threshold. Where
 * tasks are often long, more jobs may be needed. */
#define SLOW_JOBS_MIN 3

/* Below this speed, ordinary errors of estimates make tasks look slow compared with normal speed.
 * Normal hardware is seldom reported so low. */
#define REDUCED_THRESHOLD 0.65

void
az_speed_init (struct az_speed *speed, bool is_relative)
{
  *speed = (struct az_speed){ .value = 1, .is_relative = is_relative };
  az_slow_streak_init (&speed->streak);
}

bool
az_speed_is_slow (double value)
{
  return value < SLOW_THRESHOLD;
}

bool
az_speed_is_reduced (double value)
{
  return value < REDUCED_THRESHOLD && !az_speed_is_slow (value);
}

uint32_t
az_speed_percent (const struct az_speed *speed)
{
  return (uint32_t)lround (speed->value * 100);
}

/* Consecutive slow tasks of one job count once. */
static void
count_slow_job (struct az_speed *speed, uint64_t job, bool is_slow)
{
  if (!is_slow)
    speed->n_slow_jobs = 0;
  else if (speed->n_slow_jobs == 0 || speed->last_slow_job != job)
    speed->n_slow_jobs++;
  if (is_slow)
    speed->last_slow_job = job;
}

/* Averages ratios by their logarithms, so that twice as fast and half as fast cancel out. */
static double
average_logarithmically (double value, double sample, double weight)
{
  return value * pow (sample / value, weight);
}

double
az_speed_usual (const struct az_speed *speed)
{
  double usual = speed->is_relative ? az_usual_speed_get (&speed->usual) : 0;

  return usual > 0 ? usual : 1;
}

/* While the upstream is slow compared with a known usual speed, its tasks tell nothing about that
 * speed. Without a known one they do, since otherwise only the faster ones would be recorded. */
static void
record_usual (struct az_speed *speed, uint64_t job, double sample)
{
  bool is_known = az_usual_speed_get (&speed->usual) > 0;

  if (speed->is_relative && !(is_known && az_speed_is_slow (speed->value)))
    az_usual_speed_record (&speed->usual, job, sample);
}

/* Speed of an upstream that is slow. Gateways compare it with SLOW_THRESHOLD, so it has to reach
 * that as soon as the upstream is no longer slow compared with its usual speed. */
static double
recover (double value, double sample, double threshold)
{
  double recovered = value + SLOW_SMOOTHING_WEIGHT * (sample - value);

  return recovered < threshold ? recovered : MAX (recovered, SLOW_THRESHOLD);
}

void
az_speed_update (struct az_speed *speed, uint64_t job, int64_t expected_us, int64_t run_us)
{
  double sample = CLAMP ((double)expected_us / (double)MAX (run_us, 1), 0.05, 4);
  double threshold = SLOW_THRESHOLD * az_speed_usual (speed);
  bool is_sample_slow = sample < threshold;

  record_usual (speed, job, sample);
  count_slow_job (speed, job, is_sample_slow);
  if (is_sample_slow)
    az_slow_streak_extend (&speed->streak, job, sample);
  else
    az_slow_streak_end (&speed->streak, job, sample, az_speed_is_slow (speed->value));
  if (speed->n_slow_jobs >= SLOW_JOBS_MIN && !az_slow_streak_is_chance (&speed->streak))
    speed->value = MIN (speed->value, sample);
  else if (az_speed_is_slow (speed->value))
    speed->value = recover (speed->value, sample, threshold);
  else
    speed->value
        = MAX (average_logarithmically (speed->value, sample, SMOOTHING_WEIGHT), SLOW_THRESHOLD);
}
