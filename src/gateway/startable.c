#include "gateway/capacity.h"

/* Cores that are free on upstreams where a task of the step fits. */
static double
count_fitting_cores (const struct az_candidates *candidates, const struct az_job_step *step)
{
  double cores = 0;

  for (guint i = 0; i < candidates->regular->len; i++)
    {
      const struct upstream *upstream = candidates->regular->pdata[i];

      if (az_resources_fit (&step->need, &upstream->free))
        cores += upstream->free.cpu_milli / 1000.0;
    }
  return cores;
}

double
az_gateway_startable_cores (const struct az_candidates *candidates,
                            const struct job *job,
                            double unprotected_cores)
{
  double cores = 0;

  if (unprotected_cores <= 0)
    return 0;
  for (size_t step = 0; step < job->request.n_steps; step++)
    if (job->steps[step].n_waiting > 0 && az_gateway_is_step_ready (job, step))
      cores = MAX (cores, count_fitting_cores (candidates, &job->request.steps[step]));
  return MIN (cores, unprotected_cores);
}
