#ifndef AZUREROCK_JOB_REQUEST_H
#define AZUREROCK_JOB_REQUEST_H

#include "azurerock/message.h"
#include <stdbool.h>
#include <stdint.h>

/** struct az_job_step - tasks of one kind; they start when the steps in @after have ended */
struct az_job_step
{
  uint32_t n_tasks;
  struct az_resources need;
  uint32_t estimate_ms;
  char *required_label;  /* or NULL */
  char *preferred_label; /* tasks take longer elsewhere; or NULL */
  uint32_t spread_max;   /* most tasks of the step on one upstream instance; 0: any number */
  uint32_t *after;
  size_t n_after;
};

/** struct az_job_request - one job of a caller */
struct az_job_request
{
  char *specification;
  struct az_job_step *steps;
  size_t n_steps;
  const char *unsupported; /* the property that isn't served, or NULL; string constant */
};

void
az_job_request_clear (struct az_job_request *request);

#endif
