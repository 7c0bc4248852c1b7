#include "azurerock/log.h"
#include "gateway/program.h"
#include "platform/job.h"
#include <string.h>

static void
respond (struct az_gateway_program *program, uint32_t caller, int status, char *body)
{
  az_http_server_respond (program->jobs, caller, status, "application/json", body ? body : "",
                          body ? strlen (body) : 0);
  g_free (body);
}

static void
respond_retry_later (struct az_gateway_program *program, uint32_t caller, int64_t retry_after_ms)
{
  char seconds[24];

  /* The header has whole seconds. */
  g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT, (retry_after_ms + 999) / 1000);
  az_http_server_set_header (program->jobs, caller, "retry-after", seconds);
  respond (program, caller, 503, NULL);
}

void
az_gateway_program_answer (void *context, uint32_t caller, const struct az_job_answer *answer)
{
  struct az_gateway_program *program = context;

  switch (answer->outcome)
    {
    case AZ_JOB_COMPLETED:
      respond (program, caller, 200, platform_encode_job_state (true));
      break;
    case AZ_JOB_FAILED:
      respond (program, caller, 200, platform_encode_job_state (false));
      break;
    case AZ_JOB_NOT_RUN:
      respond_retry_later (program, caller, answer->retry_after_ms);
      break;
    case AZ_JOB_UNFINISHED:
      respond (program, caller, 504, NULL);
      break;
    }
}

static void
submit (struct az_gateway_program *program,
        const struct az_http_request *request,
        const struct az_route *route,
        const char *id)
{
  const char *deadline
      = az_http_server_header (program->jobs, request->handle, PLATFORM_DEADLINE_HEADER);
  int64_t wait_ms = deadline ? g_ascii_strtoll (deadline, NULL, 10) : route->timeout_ms;
  struct az_job_request job;

  if (!platform_decode_job (request->body, request->body_length, &job))
    {
      az_log (LOG_INFO, "event=refuse job=%s outcome=400 reason=malformed", id);
      respond (program, request->handle, 400, NULL);
      return;
    }
  if (job.unsupported_property)
    {
      az_log (LOG_INFO, "event=refuse job=%s outcome=503 reason=%s", id, job.unsupported_property);
      az_job_request_clear (&job);
      respond_retry_later (program, request->handle, 1000);
      return;
    }
  az_gateway_submit (program->gateway, request->handle, route, id, &job, wait_ms);
}

void
az_gateway_program_cancelled (void *context, uint32_t caller, enum az_cancel_outcome outcome)
{
  struct az_gateway_program *program = context;

  switch (outcome)
    {
    case AZ_CANCEL_DONE:
      respond (program, caller, 200, NULL);
      break;
    case AZ_CANCEL_NO_JOB:
      respond (program, caller, 410, NULL);
      break;
    case AZ_CANCEL_UNKNOWN:
      respond_retry_later (program, caller, 1000);
      break;
    }
}

static void
log_refusal (const struct az_gateway_program *program,
             const struct az_http_request *request,
             int status,
             const char *reason)
{
  g_autofree char *host = g_strescape (request->host, NULL);
  g_autofree char *path = g_strescape (request->path, NULL);

  az_log (LOG_INFO,
          "event=refuse method=%.8s host=\"%.64s\" path=\"%.96s\" outcome=%d reason=%s"
          " version=%" G_GUINT64_FORMAT " evidence_age_ms=%" G_GINT64_FORMAT,
          request->method, host, path, status, reason,
          az_gateway_catalog_version (program->gateway),
          az_gateway_catalog_age_ms (program->gateway));
}

static void
refuse_without_route (struct az_gateway_program *program, const struct az_http_request *request)
{
  if (az_gateway_is_catalog_outdated (program->gateway))
    {
      log_refusal (program, request, 503, "route-unknown");
      respond_retry_later (program, request->handle, 1000);
      return;
    }
  log_refusal (program, request, 404, "no-route");
  respond (program, request->handle, 404, NULL);
}

static void
on_request (void *context, const struct az_http_request *request)
{
  struct az_gateway_program *program = context;
  const struct az_catalog *catalog = az_gateway_catalog (program->gateway);
  const struct az_route *route;
  const char *id;

  if (!catalog)
    {
      log_refusal (program, request, 503, "no-configuration");
      respond_retry_later (program, request->handle, 1000);
      return;
    }
  route = az_catalog_find_route (catalog, request->host, request->path);
  if (!route)
    {
      refuse_without_route (program, request);
      return;
    }
  id = request->path + strlen (route->prefix);
  if (!strcmp (request->method, "GET") && !id[0])
    respond (program, request->handle, 200,
             platform_encode_pending_count (az_gateway_n_pending (program->gateway, route->name)));
  else if (!platform_is_job_id (id))
    respond (program, request->handle, 404, NULL);
  else if (!strcmp (request->method, "POST"))
    submit (program, request, route, id);
  else if (!strcmp (request->method, "DELETE"))
    az_gateway_cancel (program->gateway, request->handle, id);
  else
    respond (program, request->handle, 410, NULL);
}

static void
on_disconnect (void *context, uint32_t handle)
{
  struct az_gateway_program *program = context;

  az_gateway_caller_disconnected (program->gateway, handle);
}

bool
az_gateway_program_open_jobs (struct az_gateway_program *program, GError **error)
{
  const struct az_http_handlers handlers = { on_request, on_disconnect, program };

  program->jobs = az_http_server_create (program->loop, program->options->jobs_address,
                                         (size_t)program->options->body_max, &handlers, error);
  return program->jobs != NULL;
}
