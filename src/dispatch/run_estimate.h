#ifndef AZUREROCK_DISPATCH_RUN_ESTIMATE_H
#define AZUREROCK_DISPATCH_RUN_ESTIMATE_H

/**
 * struct az_run_estimate - relation between callers' estimates and run times, learned from tasks
 *
 * The logarithm of the run time is fitted as a linear function of the logarithm of the estimate.
 * Where estimates are unreliable the slope is below 1, which draws an estimate towards the usual
 * run time. The sums decay, so recent jobs count most. A zeroed structure takes estimates as they
 * are.
 */
struct az_run_estimate
{
  double weight;
  double sum_x;
  double sum_y;
  double sum_xx;
  double sum_xy;
};

/**
 * az_run_estimate_record - adds a task that was done
 * @run_ms: run time on an upstream of normal speed
 * @weight: share of the task in its job, since the tasks of a job share the error of its estimate
 */
void
az_run_estimate_record (struct az_run_estimate *estimate,
                        double estimate_ms,
                        double run_ms,
                        double weight);

/** az_run_estimate_expected_ms - expected run time of a task with that estimate */
double
az_run_estimate_expected_ms (const struct az_run_estimate *estimate, double estimate_ms);

#endif
