#include "agent/state.h"

/* After the domain has returned to service or the upstream has become healthy again, at most half
 * of the slots are granted for this time, since the upstream may be cold. */
#define RAMP_MS 500

bool
az_agent_is_in_service (const struct az_agent_state *state)
{
  return state->has_view && state->view.in_service;
}

uint32_t
az_agent_capacity (const struct az_agent_state *state)
{
  if (!state->has_view || !state->view.slots)
    return state->settings.slots;
  return MIN (state->settings.slots, state->view.slots);
}

static void
begin_ramp (struct az_agent_state *state)
{
  state->ramp_ends_at = az_time_add_ms (az_agent_now (state), RAMP_MS);
}

static void
log_revision (struct az_agent_state *state)
{
  char revision[24];

  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, (guint64)state->view.revision);
  az_event_log_write (state->events, "revision", "revision", revision, "domain",
                      state->settings.domain, "in_service",
                      state->view.in_service ? "true" : "false", NULL);
}

void
az_agent_view_received (struct az_agent_state *state, const struct az_view *view)
{
  bool returned = state->has_view && !state->view.in_service && view->in_service;

  if (state->has_view && view->revision <= state->view.revision && !state->guards.accept_old_view)
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      return;
    }
  state->view = *view;
  state->has_view = true;
  log_revision (state);
  if (returned)
    begin_ramp (state);
  if (!view->in_service)
    az_agent_grants_revoke_all (state);
  az_agent_grants_issue (state, 0);
}

void
az_agent_upstream_set_healthy (struct az_agent_state *state, bool healthy)
{
  bool returned = state->is_upstream_unhealthy && healthy;

  state->is_upstream_unhealthy = !healthy;
  if (returned)
    begin_ramp (state);
  if (!healthy)
    az_agent_grants_revoke_all (state);
  az_agent_grants_issue (state, 0);
}
