#ifndef AZUREROCK_LOAD_WORKLOAD_H
#define AZUREROCK_LOAD_WORKLOAD_H

#include <glib.h>
#include <stdint.h>

/**
 * struct az_workload_settings - shape of a workload
 * @rate: mean job arrivals per second (Poisson); 0 for a closed loop, where arrivals are all 0
 * @duration_us: arrivals end here
 * @jobs_max: bound on the number of jobs, 0 for none
 * @tasks_min, @tasks_max: bounds of the job size
 * @mixed_sizes: 80% single tasks, 17% up to 10, 2.9% up to 100 and 0.1% up to @tasks_max, each
 *               share uniform; otherwise uniform between the bounds
 * @run_min_us, @run_max_us: task times, spread evenly over their logarithm
 * @long_percent: share of tasks that take @long_min_us to @long_max_us instead
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
  uint32_t first_task; /* index into runs_us */
  uint32_t n_tasks;
};

struct az_workload
{
  struct az_workload_job *jobs;
  uint32_t n_jobs;
  int64_t *runs_us; /* task times */
  uint32_t n_tasks;
};

/** az_workload_settings_init - the theatre's tasks: 50 ms to 1 s, 1% 2 s to 5 s, mixed sizes */
void
az_workload_settings_init (struct az_workload_settings *settings);

/** az_workload_mean_work_us - expected sum of task times of a job */
double
az_workload_mean_work_us (const struct az_workload_settings *settings);

/** az_workload_create - draws all jobs in advance, so that policies run the same arrivals */
struct az_workload *
az_workload_create (const struct az_workload_settings *settings, GRand *random);
void
az_workload_destroy (struct az_workload *workload);

#endif
