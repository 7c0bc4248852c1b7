#include "azurerock/log.h"
#include "dispatch/metrics_server.h"
#include "platform/registry.h"
#include "sidecar/program.h"
#include <string.h>

#define BODY_MAX 65536

static void
respond (struct az_sidecar_program *program, uint32_t request, int status)
{
  az_http_server_respond (program->registry, request, status, "application/json", "{}", 2);
}

static void
handle_heartbeat (struct az_sidecar_program *program,
                  const struct az_http_request *request,
                  const char *instance)
{
  struct az_upstream_announcement announcement;
  const char *invalid;

  if (!platform_decode_heartbeat (instance, request->body, request->body_length, &announcement,
                                  &invalid))
    {
      az_log (LOG_WARNING, "event=announcement-ignored instance=%s reason=invalid field=%s",
              instance, invalid);
      respond (program, request->handle, 400);
      return;
    }
  if (az_sidecar_upstream_announced (program->sidecar, &announcement))
    az_sidecar_program_write_record (program, &announcement);
  az_upstream_announcement_clear (&announcement);
  respond (program, request->handle, 200);
}

static void
on_request (void *context, const struct az_http_request *request)
{
  struct az_sidecar_program *program = context;
  const char *instance;

  switch (platform_registry_call (request->method, request->path, &instance))
    {
    case PLATFORM_REGISTRY_HEARTBEAT:
      handle_heartbeat (program, request, instance);
      break;
    case PLATFORM_REGISTRY_DEREGISTER:
      az_sidecar_upstream_left (program->sidecar, instance,
                                platform_decode_departure (request->body, request->body_length));
      respond (program, request->handle, 200);
      break;
    case PLATFORM_REGISTRY_UNKNOWN:
      respond (program, request->handle, 404);
      break;
    }
}

static void
on_client_disconnected (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

static void
on_metrics_request (void *context, const struct az_http_request *request)
{
  struct az_sidecar_program *program = context;

  if (!strcmp (request->path, "/metrics"))
    az_metrics_respond (program->metrics, request->handle, program->counters);
  else
    az_http_server_respond (program->metrics, request->handle, 404, "text/plain", "", 0);
}

bool
az_sidecar_program_open_registry (struct az_sidecar_program *program, GError **error)
{
  const struct az_http_handlers registry = { on_request, on_client_disconnected, program };
  const struct az_http_handlers metrics = { on_metrics_request, on_client_disconnected, program };

  program->registry = az_http_server_create (program->loop, program->options->registry_address,
                                             BODY_MAX, &registry, error);
  if (!program->registry || !program->options->metrics_address)
    return program->registry != NULL;
  program->metrics = az_http_server_create (program->loop, program->options->metrics_address, 0,
                                            &metrics, error);
  return program->metrics != NULL;
}
