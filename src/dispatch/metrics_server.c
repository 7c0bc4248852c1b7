#include "dispatch/metrics_server.h"

void
az_metrics_respond (struct az_http_server *server, uint32_t request, struct az_counters *counters)
{
  GString *text = g_string_new (NULL);

  az_counters_format (counters, text);
  az_http_server_respond (server, request, 200, "text/plain; version=0.0.4", text->str, text->len);
  g_string_free (text, TRUE);
}
