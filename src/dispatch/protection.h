#ifndef AZUREROCK_DISPATCH_PROTECTION_H
#define AZUREROCK_DISPATCH_PROTECTION_H

/**
 * struct az_protected_demand - demand of a more valuable kind of job, from all gateways
 * @cores_per_s: cores that jobs arriving within a second need
 * @cores_squared_per_s: sum of the squares of the cores of jobs arriving within a second
 * @slack_s: time within which such a job has to begin
 * @value_ratio: its value per work divided by that of the job that is to wait
 */
struct az_protected_demand
{
  double cores_per_s;
  double cores_squared_per_s;
  double slack_s;
  double value_ratio;
};

/**
 * az_protected_cores - free cores that less valuable jobs have to leave to the more valuable kind
 * @freed_cores_per_s: cores that become free per second
 *
 * For loads that exceed the capacity. Littlewood's rule: a less valuable job may begin unless the
 * probability that its cores are missing for a more valuable one exceeds the ratio of their values.
 * While the load is low, so much becomes free that nothing is protected.
 */
double
az_protected_cores (const struct az_protected_demand *demand, double freed_cores_per_s);

#endif
