#include "dispatch/effect_moments.h"
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#define HALF_LIFE_S 60.0

/* The level that an observation is compared with is the mean of about this many before it, so that
 * it follows the speed of the upstream. The speed in reports isn't used for this: it is the mean of
 * all kinds, so that where unaffected tasks run, those that are slowed down seem slower still. */
#define LEVEL_OBSERVATIONS 12.0
#define LEVEL_HALF_LIFE_S 10.0

/* Added to each sum of squares. Where two kinds are always present together, their effects can't be
 * told apart; this keeps the equations solvable. */
#define RIDGE 0.02

/* An effect whose variance is this many times that without the other kinds can't be told from
 * theirs and has no weight. Small weights would add up: over 60 upstreams, both of two kinds that
 * always run together counted as interfering. */
#define VARIANCE_INFLATION_MAX 10.0

/* The spread of few observations isn't known, so that many of AZ_EFFECT_SPREAD are assumed. */
#define ASSUMED_OBSERVATIONS 5.0

static double
decay_factor (int64_t elapsed_us, double half_life_s)
{
  return exp2 (-(double)MAX (elapsed_us, 0) / 1e6 / half_life_s);
}

static void
decay (struct az_effect_moments *moments, int64_t now_us)
{
  double sums = decay_factor (now_us - moments->updated_us, HALF_LIFE_S);
  double levels = decay_factor (now_us - moments->updated_us, LEVEL_HALF_LIFE_S);

  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    {
      for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
        moments->xx[i][j] *= sums;
      moments->xy[i] *= sums;
    }
  moments->yy *= sums;
  moments->n *= sums;
  for (unsigned i = 0; i < AZ_EFFECT_STRATA; i++)
    moments->levels[i].weight *= levels;
  moments->updated_us = now_us;
}

static double
clamp_ratio (double logarithm)
{
  return CLAMP (logarithm, -log (AZ_EFFECT_RATIO_MAX), log (AZ_EFFECT_RATIO_MAX));
}

/* An observation adds the square of its distance from the level, less the part that comes from the
 * error of the level itself. */
static void
add_products (struct az_effect_moments *moments,
              const double dx[AZ_EFFECTS_MAX],
              double dy,
              double factor)
{
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    {
      for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
        moments->xx[i][j] += factor * dx[i] * dx[j];
      moments->xy[i] += factor * dx[i] * dy;
    }
  moments->yy += factor * dy * dy;
  moments->n += factor;
}

void
az_effect_moments_record (struct az_effect_moments *moments,
                          unsigned stratum,
                          const double x[AZ_EFFECTS_MAX],
                          double y,
                          int64_t now_us)
{
  struct az_effect_level *level = &moments->levels[stratum];
  double dx[AZ_EFFECTS_MAX];
  double dy;

  decay (moments, now_us);
  if (level->weight <= 0)
    {
      *level = (struct az_effect_level){ .weight = 1, .y = clamp_ratio (y) };
      memcpy (level->x, x, sizeof level->x);
      return;
    }
  dy = clamp_ratio (y - level->y);
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    dx[i] = x[i] - level->x[i];
  add_products (moments, dx, dy, level->weight / (level->weight + 1));
  level->weight = MIN (level->weight + 1, LEVEL_OBSERVATIONS);
  level->y += dy / level->weight;
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    level->x[i] += dx[i] / level->weight;
}

void
az_effect_moments_forget (struct az_effect_moments *moments, unsigned index)
{
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    moments->xx[i][index] = moments->xx[index][i] = 0;
  moments->xy[index] = 0;
  for (unsigned i = 0; i < AZ_EFFECT_STRATA; i++)
    moments->levels[i].x[index] = 0;
}

/* Replaces the positive definite matrix by its inverse, by the method of Gauss and Jordan. */
static void
invert (double a[AZ_EFFECTS_MAX][AZ_EFFECTS_MAX])
{
  for (unsigned pivot = 0; pivot < AZ_EFFECTS_MAX; pivot++)
    {
      double scale = 1 / a[pivot][pivot];

      a[pivot][pivot] = 1;
      for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
        a[pivot][j] *= scale;
      for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
        {
          double factor = a[i][pivot];

          if (i == pivot)
            continue;
          a[i][pivot] = 0;
          for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
            a[i][j] -= factor * a[pivot][j];
        }
    }
}

/* Variance of the observations that the effects don't explain. */
static double
residual_variance (const struct az_effect_moments *moments,
                   double kept,
                   const struct az_effect effects[AZ_EFFECTS_MAX])
{
  double squares = kept * moments->yy;
  double n = kept * moments->n;

  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    {
      squares -= kept * moments->xy[i] * effects[i].value;
      n -= moments->xx[i][i] > 0;
    }
  return (MAX (squares, 0) + ASSUMED_OBSERVATIONS * AZ_EFFECT_SPREAD * AZ_EFFECT_SPREAD)
         / (MAX (n, 0) + ASSUMED_OBSERVATIONS);
}

static bool
is_separable (double moment, double inverse)
{
  return moment > 0 && moment * inverse <= VARIANCE_INFLATION_MAX;
}

void
az_effect_moments_solve (const struct az_effect_moments *moments,
                         int64_t now_us,
                         struct az_effect effects[AZ_EFFECTS_MAX])
{
  double kept = decay_factor (now_us - moments->updated_us, HALF_LIFE_S);
  double inverse[AZ_EFFECTS_MAX][AZ_EFFECTS_MAX];
  double variance;

  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
      inverse[i][j] = kept * moments->xx[i][j] + (i == j ? RIDGE : 0);
  invert (inverse);
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    {
      effects[i].value = 0;
      for (unsigned j = 0; j < AZ_EFFECTS_MAX; j++)
        effects[i].value += inverse[i][j] * kept * moments->xy[j];
    }
  variance = residual_variance (moments, kept, effects);
  for (unsigned i = 0; i < AZ_EFFECTS_MAX; i++)
    effects[i].weight = is_separable (kept * moments->xx[i][i], inverse[i][i])
                            ? AZ_EFFECT_SPREAD * AZ_EFFECT_SPREAD / (variance * inverse[i][i])
                            : 0;
}
