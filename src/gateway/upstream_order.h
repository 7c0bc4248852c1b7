#ifndef AZUREROCK_GATEWAY_UPSTREAM_ORDER_H
#define AZUREROCK_GATEWAY_UPSTREAM_ORDER_H

#include "gateway/state.h"

/** az_gateway_order_upstreams - lists the upstreams of a service, struct upstream *, by a hash of
 * their names
 *
 * The order is the same at all gateways. Closed upstreams are listed too, so that a choice by this
 * order doesn't move through all upstreams as they crash one after the other.
 */
GPtrArray *
az_gateway_order_upstreams (const struct az_gateway *gateway, const char *service);

#endif
