#include "dispatch/interference_decision.h"
#include "dispatch/effect_moments.h"
#include <glib.h>
#include <math.h>

#define BEGIN_FACTOR 1.1
#define BEGIN_ERRORS 3

#define END_FACTOR 1.05
#define END_ERRORS 1

/* A pair that has begun to count does so for at least this time. */
#define COUNT_MIN_US 10000000

/* Without evidence, the error of the estimate is larger than any effect. */
#define ERROR_MAX 1e3

void
az_effect_sum_add (struct az_effect_sum *sum, double effect, double weight)
{
  sum->n++;
  sum->weight += weight;
  sum->effect += weight * effect;
  sum->squared_effect += weight * effect * effect;
}

/* If the effects at the upstreams differ by more than their errors, there is a cause of error that
 * these don't include, so that the error of the mean is larger by as much. */
static double
standard_error (const struct az_effect_sum *sum, double mean)
{
  double squares
      = (sum->squared_effect - sum->weight * mean * mean) / (AZ_EFFECT_SPREAD * AZ_EFFECT_SPREAD);
  double dispersion = sum->n > 1 ? MAX (squares / (sum->n - 1), 1) : 1;

  return AZ_EFFECT_SPREAD * sqrt (dispersion / sum->weight);
}

bool
az_interference_decide (struct az_interference_decision *decision,
                        const struct az_effect_sum *sum,
                        int64_t now_us)
{
  bool was_interfering = decision->is_interfering;
  double mean = sum->weight > 0 ? sum->effect / sum->weight : 0;

  decision->factor = exp (mean);
  decision->standard_error = sum->weight > 0 ? standard_error (sum, mean) : ERROR_MAX;
  if (!was_interfering)
    {
      decision->is_interfering
          = decision->factor >= BEGIN_FACTOR && mean >= BEGIN_ERRORS * decision->standard_error;
      decision->began_us = now_us;
    }
  else if (now_us - decision->began_us >= COUNT_MIN_US)
    decision->is_interfering
        = decision->factor >= END_FACTOR && mean >= END_ERRORS * decision->standard_error;
  return decision->is_interfering != was_interfering;
}
