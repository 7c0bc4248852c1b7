#ifndef AZUREROCK_JOB_REQUEST_H
#define AZUREROCK_JOB_REQUEST_H

#include "azurerock/message.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * struct az_job_step - tasks of one kind
 * @need: resources that each task takes
 * @estimate_ms: caller's estimate of the run time of a task
 * @required_label: label that the upstream must have, or NULL
 * @preferred_label: tasks take longer on an upstream without this label; or NULL
 * @spread_max: maximum number of tasks of the step on one upstream instance; 0 for no limit
 * @after: indexes of earlier steps; the tasks start when those steps have ended
 */
struct az_job_step
{
  uint32_t n_tasks;
  struct az_resources need;
  uint32_t estimate_ms;
  char *required_label;
  char *preferred_label;
  uint32_t spread_max;
  uint32_t *after;
  size_t n_after;
};

/**
 * struct az_job_request - one job of a caller
 * @unsupported_property: requested property that isn't supported, or NULL; a string constant
 */
struct az_job_request
{
  char *specification;
  struct az_job_step *steps;
  size_t n_steps;
  const char *unsupported_property;
};

void
az_job_request_clear (struct az_job_request *request);

#endif
