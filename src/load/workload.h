#ifndef AZUREROCK_LOAD_WORKLOAD_H
#define AZUREROCK_LOAD_WORKLOAD_H

#include <glib.h>
#include <stdint.h>

/**
 * struct az_workload_settings - parameters of a generated workload
 * @rate: mean job arrivals per second (Poisson); 0 for a closed loop, where arrivals are all 0
 * @duration_us: time after which no job arrives
 * @jobs_max: limit on the number of jobs, 0 for none
 * @tasks_min, @tasks_max: bounds of the number of tasks of a job
 * @mixed_sizes: 80% of the jobs have a single task, 17% 2 to 10, 2.9% 11 to 100 and 0.1% 101 to
 *               @tasks_max, uniform within each class; otherwise uniform between the bounds
 * @run_min_us, @run_max_us: bounds of the run time of a task, log-uniformly distributed
 * @long_percent: share of tasks whose run time is @long_min_us to @long_max_us instead
 * @burst_factor: arrival rate during bursts, as a multiple of the mean; 1 for none
 * @burst_every_us, @burst_us: period and length of bursts
 */
struct az_workload_settings
{
  double rate;
  int64_t duration_us;
  uint32_t jobs_max;
  uint32_t tasks_min;
  uint32_t tasks_max;
  gboolean mixed_sizes;
  int64_t run_min_us;
  int64_t run_max_us;
  double long_percent;
  int64_t long_min_us;
  int64_t long_max_us;
  double burst_factor;
  int64_t burst_every_us;
  int64_t burst_us;
};

struct az_workload_job
{
  int64_t arrival_us;
  uint32_t first_task; /* index into run_times_us */
  uint32_t n_tasks;
};

struct az_workload
{
  struct az_workload_job *jobs;
  uint32_t n_jobs;
  int64_t *run_times_us; /* run time of each task, in order of the jobs */
  uint32_t n_tasks;
};

/** az_workload_settings_init - sets defaults: mixed job sizes, tasks of 50 ms to 1 s with 1% of 2 s
 * to 5 s */
void
az_workload_settings_init (struct az_workload_settings *settings);

/** az_workload_mean_work_us - expected sum of the run times of the tasks of a job */
double
az_workload_mean_work_us (const struct az_workload_settings *settings);

/** az_workload_create - generates all jobs in advance, so that different policies can be compared
 * on the same arrivals */
struct az_workload *
az_workload_create (const struct az_workload_settings *settings, GRand *random);
void
az_workload_destroy (struct az_workload *workload);

#endif
