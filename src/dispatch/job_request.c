#include "azurerock/job_request.h"
#include <glib.h>
#include <string.h>

void
az_job_request_clear (struct az_job_request *request)
{
  for (size_t i = 0; i < request->n_steps; i++)
    {
      g_free (request->steps[i].required_label);
      g_free (request->steps[i].preferred_label);
      g_free (request->steps[i].after);
    }
  g_free (request->steps);
  g_free (request->specification);
  memset (request, 0, sizeof *request);
}
