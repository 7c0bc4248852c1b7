#include "agent/program.h"
#include "azurerock/log.h"

#define PROBE_INTERVAL_MS 1000

/* An unhealthy upstream is probed more often, so that its slots are granted again soon after it has
 * recovered. */
#define PROBE_INTERVAL_UNHEALTHY_MS 200
#define PROBE_TIMEOUT_MS 1000

static void
set_healthy (struct az_agent_program *program, bool is_healthy, const char *reason)
{
  if (program->is_healthy != is_healthy)
    az_log (LOG_NOTICE, "upstream %s: %s", is_healthy ? "answers" : "doesn't answer", reason);
  program->is_healthy = is_healthy;
  az_agent_core_set_upstream_healthy (program->core, is_healthy);
}

static void
on_interval (uv_timer_t *timer);

static void
on_response (void *context, const struct az_http_response *response)
{
  struct az_agent_program *program = context;
  bool is_healthy = response->result == AZ_HTTP_ANSWERED && response->status / 100 == 2;
  unsigned interval_ms = is_healthy ? PROBE_INTERVAL_MS : PROBE_INTERVAL_UNHEALTHY_MS;

  program->is_probing = false;
  if (program->is_stopped)
    return;
  set_healthy (program, is_healthy, response->error ? response->error : "health probe");
  uv_timer_start (&program->probe_timer, on_interval, interval_ms, 0);
}

static void
on_interval (uv_timer_t *timer)
{
  struct az_agent_program *program = timer->data;

  if (program->is_probing)
    return;
  program->is_probing = true;
  az_http_client_request (program->probe, "GET", "/healthz", NULL, 0, NULL, 0, PROBE_TIMEOUT_MS,
                          on_response, program);
}

void
az_agent_program_probe_now (struct az_agent_program *program)
{
  if (!program->is_stopped)
    on_interval (&program->probe_timer);
}

void
az_agent_program_open_probe (struct az_agent_program *program)
{
  program->probe = az_http_client_create (program->loop, program->options->upstream_address, 1);
  uv_timer_init (program->loop, &program->probe_timer);
  program->probe_timer.data = program;
  az_agent_core_set_upstream_healthy (program->core, false);
  on_interval (&program->probe_timer);
}

void
az_agent_program_close_probe (struct az_agent_program *program)
{
  az_http_client_destroy (program->probe);
  uv_close ((uv_handle_t *)&program->probe_timer, NULL);
}
