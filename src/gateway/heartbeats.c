#include "gateway/capacity.h"
#include "gateway/sessions.h"
#include "gateway/state.h"

#define HEARTBEAT_BUSY_MS 100
#define HEARTBEAT_IDLE_MS 400

/* Heartbeat interval for sidecars outside the working set. */
#define HEARTBEAT_DORMANT_MS 2000

bool
az_gateway_has_tasks (const struct az_gateway *gateway, const struct session *session)
{
  const struct upstream *upstream = az_gateway_get_upstream (gateway, session->upstream);

  return upstream && upstream->n_tasks > 0;
}

bool
az_gateway_wants_reports (const struct az_gateway *gateway, const struct session *session)
{
  const struct upstream *upstream = az_gateway_get_upstream (gateway, session->upstream);

  return upstream && upstream->in_working_set;
}

static int64_t
heartbeat_interval_ms (const struct az_gateway *gateway, const struct session *session)
{
  if (session->peer_address)
    return az_gateway_demand_interval_ms (gateway);
  if (az_gateway_has_tasks (gateway, session))
    return HEARTBEAT_BUSY_MS;
  return az_gateway_wants_reports (gateway, session) ? HEARTBEAT_IDLE_MS : HEARTBEAT_DORMANT_MS;
}

void
az_gateway_send_heartbeat (struct az_gateway *gateway, struct session *session, bool wants_updates)
{
  struct az_message message = { .proc = AZ_NODE_PULSE };

  session->last_heartbeat_us = gateway->now_us;
  message.az_message_u.node_pulse = (struct az_node_pulse){
    .clock_ms = az_gateway_peer_clock_ms (gateway, session),
    .waiting_cpu_milli = az_gateway_stated_cpu_milli (gateway, session),
    .wants_reports = az_gateway_wants_reports (gateway, session),
    .wants_updates = wants_updates,
    .catalog_version = wants_updates ? az_gateway_catalog_version (gateway) : 0,
  };
  gateway->io.send (gateway->io.context, session->handle, &message);
}

void
az_gateway_send_heartbeats (struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;
      int64_t every_ms = heartbeat_interval_ms (gateway, session);

      if (gateway->now_us - session->last_heartbeat_us >= every_ms * AZ_US_PER_MS)
        az_gateway_send_heartbeat (gateway, session, false);
    }
}
