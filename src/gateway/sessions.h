#ifndef AZUREROCK_GATEWAY_SESSIONS_H
#define AZUREROCK_GATEWAY_SESSIONS_H

#include "gateway/state.h"

/* Sessions with sidecars and other gateways: their heartbeats, clocks and time-outs. */

/* peer_clock.c */

/** az_gateway_observe_peer_clock - call when the sidecar's report states its clock */
void
az_gateway_observe_peer_clock (const struct az_gateway *gateway,
                               struct session *session,
                               uint64_t clock_ms);

/** az_gateway_peer_clock_ms - returns a lower bound of the present time on the sidecar's clock, so
 * that the sidecar may take a message for older than it is but never for younger; 0 if it hasn't
 * reported yet */
uint64_t
az_gateway_peer_clock_ms (const struct az_gateway *gateway, const struct session *session);

/* sessions.c */
void
az_gateway_expire_sessions (struct az_gateway *gateway);

/* heartbeats.c */

/** az_gateway_has_tasks - whether tasks of this gateway run on the session's upstream */
bool
az_gateway_has_tasks (const struct az_gateway *gateway, const struct session *session);

/** az_gateway_wants_reports - whether the session's upstream belongs to the working set */
bool
az_gateway_wants_reports (const struct az_gateway *gateway, const struct session *session);

/** az_gateway_send_heartbeat - sends a heartbeat now; with @wants_updates, it also requests the
 * configuration and the withdrawn domains */
void
az_gateway_send_heartbeat (struct az_gateway *gateway, struct session *session, bool wants_updates);

/** az_gateway_send_heartbeats - sends the heartbeats that are due */
void
az_gateway_send_heartbeats (struct az_gateway *gateway);

/* members.c */
void
az_gateway_connect_members (struct az_gateway *gateway);
void
az_gateway_send_members (struct az_gateway *gateway, uint32_t session);
void
az_gateway_send_member (struct az_gateway *gateway, uint32_t session, const char *address);

#endif
