#include "agent/board.h"

/* A cold upstream gets at most half of its slots for this time after a return. */
#define RAMP_MS 500

bool
az_agent_in_service (const struct az_agent_board *board)
{
  return board->has_view && board->view.in_service;
}

uint32_t
az_agent_capacity (const struct az_agent_board *board)
{
  if (!board->has_view || !board->view.slots)
    return board->settings.slots;
  return MIN (board->settings.slots, board->view.slots);
}

static void
begin_ramp (struct az_agent_board *board)
{
  board->ramp_until = az_time_add_ms (az_agent_now (board), RAMP_MS);
}

static void
write_revision (struct az_agent_board *board)
{
  char revision[24];

  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, (guint64)board->view.revision);
  az_event_log_write (board->events, "revision", "revision", revision, "domain",
                      board->settings.domain, "in_service",
                      board->view.in_service ? "true" : "false", NULL);
}

void
az_agent_view_received (struct az_agent_board *board, const struct az_view *view)
{
  bool returned = board->has_view && !board->view.in_service && view->in_service;

  if (board->has_view && view->revision <= board->view.revision && !board->guards.accept_old_view)
    {
      az_counters_add (board->counters, board->metrics.late, 1);
      return;
    }
  board->view = *view;
  board->has_view = true;
  write_revision (board);
  if (returned)
    begin_ramp (board);
  if (!view->in_service)
    az_agent_grants_revoke_all (board);
  az_agent_grants_offer (board, 0);
}

void
az_agent_upstream_set_healthy (struct az_agent_board *board, bool healthy)
{
  bool returned = board->unhealthy && healthy;

  board->unhealthy = !healthy;
  if (returned)
    begin_ramp (board);
  if (!healthy)
    az_agent_grants_revoke_all (board);
  az_agent_grants_offer (board, 0);
}
