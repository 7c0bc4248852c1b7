#ifndef AZUREROCK_DISPATCH_EFFECT_MOMENTS_H
#define AZUREROCK_DISPATCH_EFFECT_MOMENTS_H

#include <stdint.h>

#define AZ_EFFECTS_MAX 8
#define AZ_EFFECT_STRATA 3

/** Standard deviation of the logarithm of a run time to which weights relate: an effect of weight w
 * has the standard error AZ_EFFECT_SPREAD / sqrt (w), whatever the spread of the observations. */
#define AZ_EFFECT_SPREAD 0.5

/** Largest factor for which a single ratio counts, so that long tasks don't decide. */
#define AZ_EFFECT_RATIO_MAX 4.0

/** struct az_effect_level - decayed mean of the recent observations of a stratum */
struct az_effect_level
{
  double weight;
  double x[AZ_EFFECTS_MAX];
  double y;
};

/**
 * struct az_effect_moments - decayed sums of a linear regression of y on several x
 *
 * Only observations of the same stratum are compared, and only with the dozen before them, so that
 * what changes slowly, as the speed of an upstream, has no influence. A zeroed structure knows
 * nothing.
 *
 * @n: number of comparisons that the sums contain
 */
struct az_effect_moments
{
  struct az_effect_level levels[AZ_EFFECT_STRATA];
  double xx[AZ_EFFECTS_MAX][AZ_EFFECTS_MAX];
  double xy[AZ_EFFECTS_MAX];
  double yy;
  double n;
  int64_t updated_us;
};

/** struct az_effect - change of y per unit of one x
 * @weight: 0 if nothing is known, or the effect can't be told from that of another x
 */
struct az_effect
{
  double weight;
  double value;
};

/** az_effect_moments_record - adds an observation; @y counts as at most a factor of 4 from the
 * level of its stratum, as a logarithm */
void
az_effect_moments_record (struct az_effect_moments *moments,
                          unsigned stratum,
                          const double x[AZ_EFFECTS_MAX],
                          double y,
                          int64_t now_us);

/** az_effect_moments_forget - removes what is known of one x */
void
az_effect_moments_forget (struct az_effect_moments *moments, unsigned index);

/** az_effect_moments_solve - estimates the effect of each x while the others stay the same */
void
az_effect_moments_solve (const struct az_effect_moments *moments,
                         int64_t now_us,
                         struct az_effect effects[AZ_EFFECTS_MAX]);

#endif
