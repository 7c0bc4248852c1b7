#ifndef AZUREROCK_DISPATCH_TRAFFIC_H
#define AZUREROCK_DISPATCH_TRAFFIC_H

#include <stdint.h>

/**
 * struct az_traffic_job - what the arrival of a job adds to the traffic of its queue
 * @cores: cores that all its tasks need at the same time
 * @slack_s: time for which it may wait and still be in time
 */
struct az_traffic_job
{
  double work_core_s;
  double cores;
  double slack_s;
};

/** struct az_traffic - recent arrivals of a queue as exponentially decaying sums */
struct az_traffic
{
  double n_jobs;
  double work_core_s;
  double cores;
  double cores_squared;
  double slack_s;
  int64_t updated_us;
};

/**
 * struct az_traffic_rates - means of the recent arrivals
 * @offered_cores: core-seconds of work that arrive per second
 * @cores_per_s: cores that jobs arriving within a second need
 * @cores_squared_per_s: sum of the squares of the cores of jobs arriving within a second
 */
struct az_traffic_rates
{
  double jobs_per_s;
  double offered_cores;
  double cores_per_s;
  double cores_squared_per_s;
  double mean_slack_s;
};

void
az_traffic_record (struct az_traffic *traffic, int64_t now_us, const struct az_traffic_job *job);

/**
 * az_traffic_measure - computes the rates at @now_us
 * @since_us: when arrivals began to be recorded
 */
struct az_traffic_rates
az_traffic_measure (const struct az_traffic *traffic, int64_t now_us, int64_t since_us);

#endif
