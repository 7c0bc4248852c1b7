#include "dispatch/refused_share.h"
#include <glib.h>
#include <math.h>

/* Bursts last a few seconds; a longer memory would still count their refusals after them. */
#define HALF_LIFE_S 2.0

/* Fewer jobs than this count as this many, so that the first refusal isn't taken for a share of 1.
 */
#define JOBS_MIN 20

static double
decay_factor (const struct az_refused_share *share, int64_t now_us)
{
  return exp2 (-(double)(now_us - share->updated_us) / 1e6 / HALF_LIFE_S);
}

static void
decay (struct az_refused_share *share, int64_t now_us)
{
  double factor = decay_factor (share, now_us);

  share->n_arrived *= factor;
  share->n_refused *= factor;
  share->updated_us = now_us;
}

void
az_refused_share_record_arrival (struct az_refused_share *share, int64_t now_us)
{
  decay (share, now_us);
  share->n_arrived++;
}

void
az_refused_share_record_refusal (struct az_refused_share *share, int64_t now_us)
{
  decay (share, now_us);
  share->n_refused++;
}

double
az_refused_share_measure (const struct az_refused_share *share, int64_t now_us)
{
  double factor = decay_factor (share, now_us);

  return MIN (share->n_refused * factor / MAX (share->n_arrived * factor, JOBS_MIN), 1);
}
