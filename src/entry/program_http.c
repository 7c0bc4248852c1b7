#include "azurerock/limits.h"
#include "entry/program.h"
#include <string.h>

static void
respond_metrics (struct az_entry_program *program, uint32_t handle)
{
  GString *text = g_string_new (NULL);

  az_counters_format (program->counters, text);
  az_http_server_respond (program->http, handle, 200, "text/plain; version=0.0.4", text->str,
                          text->len);
  g_string_free (text, TRUE);
}

static void
respond_health (struct az_entry_program *program, uint32_t handle)
{
  bool is_ready = !program->is_stopping && az_entry_core_is_ready (program->core);

  az_entry_program_respond_json (program, handle, is_ready ? 200 : 503,
                                 json_pack ("{s:b}", "ready", is_ready));
}

static void
on_request (void *context, const struct az_http_request *request)
{
  struct az_entry_program *program = context;
  bool is_get = strcmp (request->method, "GET") == 0;

  if (az_entry_program_handle_jobs (program, request))
    return;
  if (is_get && strcmp (request->path, "/healthz") == 0)
    respond_health (program, request->handle);
  else if (is_get && strcmp (request->path, "/metrics") == 0)
    respond_metrics (program, request->handle);
  else if (is_get && strcmp (request->path, "/v1/status") == 0)
    az_entry_program_respond_json (program, request->handle, 200,
                                   az_entry_core_status (program->core));
  else
    az_entry_program_respond_error (program, request->handle, 404, NULL, "unknown_path",
                                    "no such path and method");
}

static void
on_disconnected (void *context, uint32_t handle)
{
  struct az_entry_program *program = context;

  g_hash_table_remove (program->job_ids, GUINT_TO_POINTER (handle));
  az_entry_core_discard_request (program->core, handle);
}

bool
az_entry_program_open_http (struct az_entry_program *program, GError **error)
{
  const struct az_http_handlers handlers = { on_request, on_disconnected, program };

  program->job_ids = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  program->http = az_http_server_create (program->loop, program->options->http_address,
                                         AZ_REQUEST_BODY_MAX, &handlers, error);
  return program->http != NULL;
}

void
az_entry_program_close_http (struct az_entry_program *program)
{
  az_http_server_destroy (program->http);
  g_hash_table_unref (program->job_ids);
}
