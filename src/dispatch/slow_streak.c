#include "dispatch/slow_streak.h"
#include <math.h>

/* Weight of a task in the smoothed speed; a single task must not change it by much. */
#define SMOOTHING_WEIGHT 0.08

/* A sidecar doesn't know how many tasks a job has. They run on several upstreams. */
#define SHARE_IN_JOB 0.25

/* A streak is explained by long tasks unless the probability that tasks of that many jobs are all
 * at least as slow is below this. With tens of tasks a second, streaks begin too often for a larger
 * value. */
#define CHANCE_MIN 1e-8

/* Keeps a single task beyond the observed ones from deciding alone. */
#define TAIL_MIN 1e-4

void
az_slow_streak_init (struct az_slow_streak *streak)
{
  *streak = (struct az_slow_streak){ .normal = 1 };
}

void
az_slow_streak_extend (struct az_slow_streak *streak, uint64_t job, double speed)
{
  if (streak->n_tasks >= AZ_SLOW_STREAK_MAX)
    return;
  streak->jobs[streak->n_tasks] = job;
  streak->speeds[streak->n_tasks] = speed;
  streak->n_tasks++;
}

static void
record_task (struct az_slow_streak *streak, uint64_t job, double speed)
{
  az_run_ratio_record (&streak->ratio, job, streak->normal / speed, SHARE_IN_JOB);
  streak->normal *= pow (speed / streak->normal, SMOOTHING_WEIGHT);
}

void
az_slow_streak_end (struct az_slow_streak *streak, uint64_t job, double speed, bool was_slow)
{
  for (uint32_t i = 0; i < streak->n_tasks && !was_slow; i++)
    record_task (streak, streak->jobs[i], streak->speeds[i]);
  streak->n_tasks = 0;
  if (!was_slow)
    record_task (streak, job, speed);
}

/* The tasks of one job share the error of its estimate, so only the first of them counts. */
static bool
is_first_of_job (const struct az_slow_streak *streak, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (streak->jobs[i] == streak->jobs[index])
      return false;
  return true;
}

bool
az_slow_streak_is_chance (const struct az_slow_streak *streak)
{
  double chance = 1;

  if (streak->n_tasks >= AZ_SLOW_STREAK_MAX || !az_run_ratio_is_heavy (&streak->ratio))
    return false;
  for (uint32_t i = 0; i < streak->n_tasks; i++)
    if (is_first_of_job (streak, i))
      chance *= fmax (az_run_ratio_tail (&streak->ratio, streak->normal / streak->speeds[i]),
                      TAIL_MIN);
  return chance >= CHANCE_MIN;
}
