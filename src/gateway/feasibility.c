#include "gateway/state.h"
#include <string.h>

/* Each sidecar keeps sessions with all gateways if there are no more than this. Must equal
 * GATEWAYS_MAX in src/sidecar/links.c. */
#define FULL_MESH_GATEWAYS_MAX 12

/* After a start, or after the loss of all upstreams, sidecars are given this time to connect. */
#define RECONNECT_GRACE_MS 1500

static bool
can_run_step (const struct az_job_step *step, const struct upstream *upstream)
{
  return az_resources_fit (&step->need, &upstream->capacity)
         && (!step->required_label
             || g_ptr_array_find_with_equal_func (upstream->labels, step->required_label,
                                                  g_str_equal, NULL));
}

const char *
az_gateway_check_feasibility (struct az_gateway *gateway, const struct job *job, bool *is_permanent)
{
  bool any_open = false;

  *is_permanent = false;
  for (size_t i = 0; i < job->request.n_steps; i++)
    {
      bool is_known = false;
      bool fits = false;

      for (guint u = 0; u < gateway->upstreams->len; u++)
        {
          const struct upstream *upstream = gateway->upstreams->pdata[u];

          if (strcmp (upstream->service, job->queue->service) != 0)
            continue;
          is_known = true;
          any_open |= upstream->is_open;
          fits |= can_run_step (&job->request.steps[i], upstream);
        }
      if (is_known && !fits)
        {
          /* If there are more gateways, an upstream without a session with this one may fit. */
          *is_permanent = g_hash_table_size (gateway->members) < FULL_MESH_GATEWAYS_MAX;
          return "no upstream has the capacity or label that a task needs";
        }
    }
  if (any_open)
    gateway->last_open_us = gateway->now_us;
  if (gateway->now_us - gateway->last_open_us < RECONNECT_GRACE_MS * AZ_US_PER_MS)
    return NULL;
  return "no upstream is open";
}
