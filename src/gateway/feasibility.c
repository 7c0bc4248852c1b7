#include "dispatch/session_times.h"
#include "gateway/state.h"
#include <string.h>

/* After a start, or after the loss of all upstreams, sidecars are given this time to connect. */
#define RECONNECT_GRACE_MS 1500

/* struct fit - upstreams of a service that can run a step: now, or at their largest capacity */
struct fit
{
  bool is_known;
  bool is_possible;
  bool is_possible_later;
};

static bool
has_label (const struct upstream *upstream, const char *label)
{
  return !label || g_ptr_array_find_with_equal_func (upstream->labels, label, g_str_equal, NULL);
}

bool
az_gateway_can_run_step (const struct az_job_step *step, const struct upstream *upstream)
{
  return has_label (upstream, step->required_label)
         && az_resources_fit (&step->need, &upstream->capacity);
}

static struct fit
find_fit (const struct az_gateway *gateway, const char *service, const struct az_job_step *step)
{
  struct fit fit = { 0 };

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      /* A connected upstream that isn't described yet may be of any kind. */
      if (upstream->session && !upstream->is_described)
        fit.is_possible_later = true;
      if (strcmp (upstream->service, service) != 0)
        continue;
      fit.is_known = true;
      if (!has_label (upstream, step->required_label))
        continue;
      fit.is_possible |= az_resources_fit (&step->need, &upstream->capacity);
      fit.is_possible_later |= az_resources_fit (&step->need, &upstream->largest_capacity);
    }
  return fit;
}

static bool
is_any_open (const struct az_gateway *gateway, const char *service)
{
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      if (upstream->is_open && !strcmp (upstream->service, service))
        return true;
    }
  return false;
}

const char *
az_gateway_find_unfit_reason (const struct az_gateway *gateway,
                              const struct job *job,
                              bool *is_permanent)
{
  *is_permanent = false;
  for (size_t i = 0; i < job->request.n_steps; i++)
    {
      struct fit fit = find_fit (gateway, job->queue->service, &job->request.steps[i]);

      if (!fit.is_known || fit.is_possible)
        continue;
      if (fit.is_possible_later)
        return "no upstream is known to have at present the capacity or label that a task needs";
      /* If there are more gateways, an upstream without a session with this one may fit, as may
       * one whose sidecar hasn't connected yet. */
      *is_permanent = g_hash_table_size (gateway->members) < AZ_SIDECAR_GATEWAYS_MAX
                      && gateway->now_us - gateway->started_us >= RECONNECT_GRACE_MS * AZ_US_PER_MS;
      return "no upstream has the capacity or label that a task needs";
    }
  return NULL;
}

const char *
az_gateway_check_feasibility (struct az_gateway *gateway, const struct job *job, bool *is_permanent)
{
  const char *reason = az_gateway_find_unfit_reason (gateway, job, is_permanent);

  if (reason)
    return reason;
  if (is_any_open (gateway, job->queue->service))
    gateway->last_open_us = gateway->now_us;
  if (gateway->now_us - gateway->last_open_us < RECONNECT_GRACE_MS * AZ_US_PER_MS)
    return NULL;
  return "no upstream is open";
}
