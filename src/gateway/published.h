#ifndef AZUREROCK_GATEWAY_PUBLISHED_H
#define AZUREROCK_GATEWAY_PUBLISHED_H

#include "gateway/state.h"

/* What operators have published, the configuration and the withdrawn domains: how recent the
 * gateway's copy is, and how it is passed on. */

/* evidence.c */

/** az_gateway_record_evidence - logs when the evidence that the configuration is the newest gets
 * too old, and when it is recent again */
void
az_gateway_record_evidence (struct az_gateway *gateway);

/* update_requests.c */

/** az_gateway_request_updates - while the store isn't reachable, requests the configuration and the
 * withdrawn domains from peers, and from sidecars if what is known is old */
void
az_gateway_request_updates (struct az_gateway *gateway);

/* updates.c */

/** az_gateway_send_updates - answers a peer that requested updates */
void
az_gateway_send_updates (struct az_gateway *gateway,
                         struct session *session,
                         const struct az_node_pulse *pulse);

/** az_gateway_relay_withdrawn - sends the withdrawn domains to the sidecars whose list is due */
void
az_gateway_relay_withdrawn (struct az_gateway *gateway);

/** az_gateway_send_withdrawn - sends the withdrawn domains if they are known */
void
az_gateway_send_withdrawn (struct az_gateway *gateway, struct session *session);
bool
az_gateway_is_withdrawn (const struct az_gateway *gateway, const char *domain);

#endif
