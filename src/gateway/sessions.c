#include "gateway/sessions.h"
#include "azurerock/log.h"
#include "dispatch/session_times.h"
#include "gateway/capacity.h"
#include "gateway/crashes.h"
#include "gateway/interference.h"
#include "gateway/moves.h"
#include "gateway/published.h"
#include "gateway/state.h"
#include <string.h>

void
az_gateway_session_opened (struct az_gateway *gateway, uint32_t handle, const char *outgoing)
{
  struct az_message hello = { .proc = AZ_NODE_HELLO };
  struct session *session = g_new0 (struct session, 1);

  gateway->now_us = az_now_us (gateway->clock);
  session->handle = handle;
  session->address = g_strdup (outgoing);
  session->last_received_us = gateway->now_us;
  g_hash_table_insert (gateway->sessions, GUINT_TO_POINTER (handle), session);
  hello.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = gateway->incarnation,
    .instance = (char *)gateway->settings.instance,
    .domain = (char *)gateway->settings.domain,
    .address = (char *)gateway->settings.address,
  };
  gateway->io.send (gateway->io.context, handle, &hello);
  az_gateway_send_members (gateway, handle);
  gateway->updates_requested_us = 0;
}

void
az_gateway_session_closed (struct az_gateway *gateway, uint32_t handle, const char *reason)
{
  struct session *session = az_gateway_get_session (gateway, handle);
  struct upstream *upstream;

  if (!session)
    return;
  gateway->now_us = az_now_us (gateway->clock);
  upstream = az_gateway_get_upstream (gateway, session->upstream);
  az_log (LOG_NOTICE, "event=session-lost peer=%s silent_ms=%" G_GINT64_FORMAT " reason=\"%s\"",
          session->instance ? session->instance : "-",
          (gateway->now_us - session->last_received_us) / AZ_US_PER_MS, reason);
  if (upstream && upstream->session == handle)
    {
      upstream->session = 0;
      az_gateway_record_openness (gateway, upstream, false);
      az_gateway_orphan_tasks (gateway, upstream, reason);
    }
  if (session->peer_address)
    az_gateway_record_lost_peer (gateway, session);
  g_hash_table_remove (gateway->sessions, GUINT_TO_POINTER (handle));
}

static void
handle_hello (struct az_gateway *gateway,
              struct session *session,
              const struct az_node_hello *hello)
{
  struct upstream *upstream;

  if (hello->incarnation == gateway->incarnation)
    {
      gateway->io.close (gateway->io.context, session->handle, "the peer is this gateway itself");
      return;
    }
  if (session->instance)
    {
      az_log (LOG_WARNING, "event=hello-ignored peer=%s claimed=%s", session->instance,
              hello->instance);
      return;
    }
  session->instance = g_strdup (hello->instance);
  az_log (LOG_NOTICE, "event=session-opened peer=%s domain=%s", hello->instance, hello->domain);
  if (hello->address[0])
    {
      session->peer_address = g_strdup (hello->address);
      az_gateway_add_member (gateway, hello->address);
      az_gateway_record_found_peer (gateway, hello->address);
      return;
    }
  /* A sidecar accepts no tasks before it knows which domains are withdrawn. */
  az_gateway_send_withdrawn (gateway, session);
  upstream = az_gateway_get_or_add_upstream (gateway, hello->instance, hello->domain);
  if (upstream->session && upstream->session != session->handle)
    {
      uint32_t former = upstream->session;

      az_gateway_session_closed (gateway, former, "replaced by a newer session");
      gateway->io.close (gateway->io.context, former, "replaced");
    }
  session->upstream = upstream->handle;
  upstream->session = session->handle;
  if (upstream->sidecar != hello->incarnation)
    {
      upstream->life = 0;
      upstream->is_described = false;
      az_gateway_forget_interference (upstream);
    }
  upstream->sidecar = hello->incarnation;
  upstream->in_working_set = true;
  upstream->n_runs_sent = 0;
  g_array_set_size (upstream->reservations, 0);
}

static void
handle_report (struct az_gateway *gateway,
               struct session *session,
               struct upstream *upstream,
               const struct az_node_report *report)
{
  az_gateway_observe_peer_clock (gateway, session, report->clock_ms);
  az_gateway_update_free_resources (upstream, report);
  az_gateway_update_health (gateway, upstream, report);
  gateway->needs_placing = true;
  for (u_int i = 0; i < report->events.events_len; i++)
    az_gateway_handle_task_event (gateway, upstream, &report->events.events_val[i]);
  for (u_int i = 0; i < report->progress.progress_len; i++)
    az_gateway_handle_progress (gateway, upstream, &report->progress.progress_val[i]);
}

static void
handle_withdrawn (struct az_gateway *gateway, const struct az_node_withdrawn *withdrawn)
{
  az_gateway_set_withdrawn (gateway, withdrawn->revision, withdrawn->age_ms,
                            (const char *const *)withdrawn->domains.domains_val,
                            withdrawn->domains.domains_len);
}

static void
handle_evidence (struct az_gateway *gateway, const struct az_node_evidence *evidence)
{
  az_gateway_confirm_catalog (gateway, evidence->catalog_version, evidence->age_ms);
}

static void
handle_members (struct az_gateway *gateway, const struct az_node_gateways *members)
{
  for (u_int i = 0; i < members->addresses.addresses_len; i++)
    az_gateway_add_member (gateway, members->addresses.addresses_val[i]);
}

void
az_gateway_received (struct az_gateway *gateway, uint32_t handle, const struct az_message *message)
{
  struct session *session = az_gateway_get_session (gateway, handle);
  struct upstream *upstream;

  if (!session)
    return;
  gateway->now_us = az_now_us (gateway->clock);
  session->last_received_us = gateway->now_us;
  upstream = az_gateway_get_upstream (gateway, session->upstream);
  switch (message->proc)
    {
    case AZ_NODE_HELLO:
      handle_hello (gateway, session, &message->az_message_u.node_hello);
      break;
    case AZ_NODE_GATEWAYS:
      handle_members (gateway, &message->az_message_u.node_gateways);
      break;
    case AZ_NODE_WITHDRAWN:
      handle_withdrawn (gateway, &message->az_message_u.node_withdrawn);
      break;
    case AZ_NODE_EVIDENCE:
      handle_evidence (gateway, &message->az_message_u.node_evidence);
      break;
    case AZ_NODE_PULSE:
      if (session->peer_address)
        az_gateway_record_peer_demand (gateway, session, &message->az_message_u.node_pulse);
      if (message->az_message_u.node_pulse.wants_updates)
        az_gateway_send_updates (gateway, session, &message->az_message_u.node_pulse);
      break;
    case AZ_NODE_UPSTREAM:
      if (upstream)
        az_gateway_handle_upstream (gateway, upstream, &message->az_message_u.node_upstream);
      break;
    case AZ_NODE_CRASH:
      if (upstream)
        az_gateway_handle_crash (gateway, upstream, &message->az_message_u.node_crash);
      break;
    case AZ_NODE_CANCEL:
      if (session->peer_address)
        az_gateway_handle_cancel (gateway, session, &message->az_message_u.node_cancel);
      break;
    case AZ_NODE_CANCELLED:
      az_gateway_handle_cancelled (gateway, handle, &message->az_message_u.node_cancelled);
      break;
    case AZ_NODE_REPORT:
      if (upstream)
        handle_report (gateway, session, upstream, &message->az_message_u.node_report);
      break;
    case AZ_NODE_INTERFERENCE:
      if (upstream)
        az_gateway_handle_interference (gateway, upstream,
                                        &message->az_message_u.node_interference);
      break;
    default:
      break;
    }
}

/* The stricter timeout of a session with tasks starts when its first task is sent: until then the
 * sidecar may send messages less often. */
static bool
is_timed_out (const struct az_gateway *gateway, const struct session *session)
{
  int64_t limit_ms = gateway->settings.session_timeout_ms;

  if (az_gateway_has_tasks (gateway, session))
    return gateway->now_us - MAX (session->last_received_us, session->busy_since_us)
           > limit_ms * AZ_US_PER_MS;
  limit_ms *= az_gateway_wants_reports (gateway, session) ? AZ_IDLE_SESSION_TIMEOUT_FACTOR
                                                          : AZ_DORMANT_SESSION_TIMEOUT_FACTOR;
  return gateway->now_us - session->last_received_us > limit_ms * AZ_US_PER_MS;
}

void
az_gateway_expire_sessions (struct az_gateway *gateway)
{
  g_autoptr (GList) sessions = g_hash_table_get_values (gateway->sessions);

  for (GList *link = sessions; link; link = link->next)
    {
      struct session *session = link->data;
      uint32_t handle = session->handle;

      if (!is_timed_out (gateway, session))
        continue;
      az_gateway_session_closed (gateway, handle, "silent");
      gateway->io.close (gateway->io.context, handle, "silent");
    }
}
