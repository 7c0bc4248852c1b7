#ifndef AZUREROCK_DISPATCH_SLOW_STREAK_H
#define AZUREROCK_DISPATCH_SLOW_STREAK_H

#include "dispatch/run_ratio.h"
#include <stdbool.h>
#include <stdint.h>

#define AZ_SLOW_STREAK_MAX 24

/**
 * struct az_slow_streak - consecutive slow tasks of an upstream, and how often its tasks are long
 * @normal: speed of the upstream while it isn't slow
 * @ratio: run times relative to the expected ones at that speed
 * @n_tasks: slow tasks since the last one that wasn't slow, at most %AZ_SLOW_STREAK_MAX
 * @speeds: their own speeds
 */
struct az_slow_streak
{
  double normal;
  struct az_run_ratio ratio;
  uint32_t n_tasks;
  uint64_t jobs[AZ_SLOW_STREAK_MAX];
  double speeds[AZ_SLOW_STREAK_MAX];
};

void
az_slow_streak_init (struct az_slow_streak *streak);

/** az_slow_streak_extend - adds a slow task */
void
az_slow_streak_extend (struct az_slow_streak *streak, uint64_t job, double speed);

/** az_slow_streak_end - adds a task that isn't slow, and ends the streak; its tasks were long,
 * unless
 * @was_slow says that the upstream counted as slow */
void
az_slow_streak_end (struct az_slow_streak *streak, uint64_t job, double speed, bool was_slow);

/** az_slow_streak_is_chance - whether the streak may consist of long tasks; false unless tasks here
 * are long more often than errors of estimates explain */
bool
az_slow_streak_is_chance (const struct az_slow_streak *streak);

#endif
