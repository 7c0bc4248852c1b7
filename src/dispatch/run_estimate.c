#include "dispatch/run_estimate.h"
#include <glib.h>
#include <math.h>

/* Number of recent jobs that the fit follows. */
#define MEMORY_JOBS 100

/* Until jobs have shown otherwise, estimates are taken as they are: these jobs with the slope 1 and
 * this spread of the logarithm count beside the recorded ones. */
#define PRIOR_JOBS 10.0
#define PRIOR_SPREAD 0.7

#define SLOPE_MAX 1.5

/* The slope holds for estimates within this many standard deviations of the mean. Beyond them
 * nothing was observed, so the slope is 1. */
#define OBSERVED_RANGE_SD 2.0

void
az_run_estimate_record (struct az_run_estimate *estimate,
                        double estimate_ms,
                        double run_ms,
                        double weight)
{
  double decay = 1 - weight / MEMORY_JOBS;
  double x = log (MAX (estimate_ms, 1));
  double y = log (MAX (run_ms, 0.5));

  estimate->weight = estimate->weight * decay + weight;
  estimate->sum_x = estimate->sum_x * decay + weight * x;
  estimate->sum_y = estimate->sum_y * decay + weight * y;
  estimate->sum_xx = estimate->sum_xx * decay + weight * x * x;
  estimate->sum_xy = estimate->sum_xy * decay + weight * x * y;
}

double
az_run_estimate_expected_ms (const struct az_run_estimate *estimate, double estimate_ms)
{
  double x = log (MAX (estimate_ms, 1));
  double n = estimate->weight;
  double prior = PRIOR_JOBS * PRIOR_SPREAD * PRIOR_SPREAD;
  double mean_x;
  double mean_y;
  double variance_sum;
  double covariance_sum;
  double range;
  double offset;
  double slope;

  if (n <= 0)
    return exp (x);
  mean_x = estimate->sum_x / n;
  mean_y = estimate->sum_y / n;
  variance_sum = MAX (estimate->sum_xx - n * mean_x * mean_x, 0);
  covariance_sum = estimate->sum_xy - n * mean_x * mean_y;
  slope = CLAMP ((covariance_sum + prior) / (variance_sum + prior), 0, SLOPE_MAX);
  range = OBSERVED_RANGE_SD * sqrt ((variance_sum + prior) / (n + PRIOR_JOBS));
  offset = CLAMP (x - mean_x, -range, range);
  return exp (x + (mean_y - mean_x) * n / (n + PRIOR_JOBS) + (slope - 1) * offset);
}
