#include "dispatch/traffic.h"
#include <glib.h>
#include <math.h>

#define HALF_LIFE_S 10.0

/* A shorter time since the first arrival counts as this long, so that one job isn't taken for a
 * high rate. */
#define AGE_MIN_S 1.0

static double
decay_factor (int64_t from_us, int64_t to_us)
{
  return exp2 (-(double)(to_us - from_us) / 1e6 / HALF_LIFE_S);
}

void
az_traffic_record (struct az_traffic *traffic, int64_t now_us, const struct az_traffic_job *job)
{
  double decay = decay_factor (traffic->updated_us, now_us);

  traffic->n_jobs = traffic->n_jobs * decay + 1;
  traffic->work_core_s = traffic->work_core_s * decay + job->work_core_s;
  traffic->cores = traffic->cores * decay + job->cores;
  traffic->cores_squared = traffic->cores_squared * decay + job->cores * job->cores;
  traffic->slack_s = traffic->slack_s * decay + job->slack_s;
  traffic->updated_us = now_us;
}

struct az_traffic_rates
az_traffic_measure (const struct az_traffic *traffic, int64_t now_us, int64_t since_us)
{
  double age_s = MAX ((double)(now_us - since_us) / 1e6, AGE_MIN_S);
  /* A constant rate leads to a sum of the rate times this time. */
  double covered_s = HALF_LIFE_S / M_LN2 * (1 - exp2 (-age_s / HALF_LIFE_S));
  double scale = decay_factor (traffic->updated_us, now_us) / covered_s;

  if (traffic->n_jobs <= 0)
    return (struct az_traffic_rates){ 0 };
  return (struct az_traffic_rates){
    .jobs_per_s = traffic->n_jobs * scale,
    .offered_cores = traffic->work_core_s * scale,
    .cores_per_s = traffic->cores * scale,
    .cores_squared_per_s = traffic->cores_squared * scale,
    .mean_slack_s = traffic->slack_s / traffic->n_jobs,
  };
}
