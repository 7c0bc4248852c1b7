#ifndef AZUREROCK_DISPATCH_METRICS_SERVER_H
#define AZUREROCK_DISPATCH_METRICS_SERVER_H

#include "azurerock/counters.h"
#include "azurerock/http_server.h"

/** az_metrics_respond - answers with the text form of @counters */
void
az_metrics_respond (struct az_http_server *server, uint32_t request, struct az_counters *counters);

#endif
