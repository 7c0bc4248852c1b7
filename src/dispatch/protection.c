#include "dispatch/protection.h"
#include <glib.h>
#include <math.h>

/* Cores become free evenly over the slack, so on average half of them are free when a job of that
 * time arrives. */
#define FREED_SHARE 0.5

/* Scale of a logistic distribution relative to its standard deviation. */
#define LOGISTIC_SCALE 0.5513

double
az_protected_cores (const struct az_protected_demand *demand, double freed_cores_per_s)
{
  double needed = demand->cores_per_s * demand->slack_s;
  double deviation = sqrt (demand->cores_squared_per_s * demand->slack_s);
  double freed = freed_cores_per_s * demand->slack_s * FREED_SHARE;
  double quantile;

  if (demand->value_ratio <= 1 || demand->slack_s <= 0)
    return 0;
  quantile = LOGISTIC_SCALE * log (demand->value_ratio - 1);
  return MAX (needed - freed + quantile * deviation, 0);
}
