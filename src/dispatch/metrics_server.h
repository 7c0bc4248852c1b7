#ifndef AZUREROCK_DISPATCH_METRICS_SERVER_H
#define AZUREROCK_DISPATCH_METRICS_SERVER_H

#include "azurerock/counters.h"
#include "azurerock/http_server.h"

/** az_metrics_respond - responds with @counters in the Prometheus text format */
void
az_metrics_respond (struct az_http_server *server, uint32_t request, struct az_counters *counters);

#endif
