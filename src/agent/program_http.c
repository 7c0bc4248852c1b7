#include "agent/program.h"
#include <string.h>

static void
respond_metrics (struct az_agent_program *program, uint32_t handle)
{
  GString *text = g_string_new (NULL);

  az_counters_format (program->counters, text);
  az_http_server_respond (program->http, handle, 200, "text/plain; version=0.0.4", text->str,
                          text->len);
  g_string_free (text, TRUE);
}

static void
on_request (void *context, const struct az_http_request *request)
{
  struct az_agent_program *program = context;
  bool is_ready = program->open_connections > 0 && program->is_healthy && !program->is_stopping;

  if (strcmp (request->method, "GET") != 0)
    az_http_server_respond (program->http, request->handle, 405, "text/plain", "", 0);
  else if (strcmp (request->path, "/metrics") == 0)
    respond_metrics (program, request->handle);
  else if (strcmp (request->path, "/healthz") == 0)
    az_http_server_respond (program->http, request->handle, is_ready ? 200 : 503, "text/plain", "",
                            0);
  else
    az_http_server_respond (program->http, request->handle, 404, "text/plain", "", 0);
}

static void
on_gone (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

bool
az_agent_program_open_http (struct az_agent_program *program, GError **error)
{
  const struct az_http_handlers handlers = { on_request, on_gone, program };

  if (!program->options->http_address)
    return true;
  program->http
      = az_http_server_create (program->loop, program->options->http_address, 0, &handlers, error);
  return program->http != NULL;
}
