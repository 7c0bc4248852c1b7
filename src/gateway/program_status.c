#include "dispatch/metrics_server.h"
#include "gateway/program.h"
#include <string.h>

static void
on_disconnect (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

static bool
is_ready (const struct az_gateway_program *program)
{
  return !program->is_stopping && az_gateway_can_place (program->gateway);
}

static void
on_ready_request (void *context, const struct az_http_request *request)
{
  struct az_gateway_program *program = context;

  az_http_server_respond (program->ready, request->handle, is_ready (program) ? 200 : 503,
                          "text/plain", "", 0);
}

static void
on_metrics_request (void *context, const struct az_http_request *request)
{
  struct az_gateway_program *program = context;

  if (!strcmp (request->path, "/metrics"))
    az_metrics_respond (program->metrics, request->handle, program->counters);
  else
    az_http_server_respond (program->metrics, request->handle, 404, "text/plain", "", 0);
}

bool
az_gateway_program_open_status (struct az_gateway_program *program, GError **error)
{
  const struct az_http_handlers ready = { on_ready_request, on_disconnect, program };
  const struct az_http_handlers metrics = { on_metrics_request, on_disconnect, program };

  program->ready
      = az_http_server_create (program->loop, program->options->ready_address, 0, &ready, error);
  if (!program->ready || !program->options->metrics_address)
    return program->ready != NULL;
  program->metrics = az_http_server_create (program->loop, program->options->metrics_address, 0,
                                            &metrics, error);
  return program->metrics != NULL;
}
