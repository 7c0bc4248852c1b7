#include "agent/program.h"
#include "azurerock/limits.h"
#include <assert.h>
#include <string.h>

/* The core cancels a task at its timeout. The HTTP timeout, which is later by this margin, only
 * covers requests that the core does not track. */
#define TIMEOUT_MARGIN_MS 1000

/* HTTP timeout of a task without a timeout of its own. */
#define TIMEOUT_DEFAULT_MS 3600000

/* The start conditions are checked before a request waits for a connection to the upstream. Their
 * evidence may be 2,500 ms old then, and nothing may start 3 s after a withdrawal. */
#define CONNECTION_WAIT_MAX_MS 300

static_assert (AZ_FRESHNESS_LIMIT_MS + CONNECTION_WAIT_MAX_MS < 3000,
               "tasks may start too late after a withdrawal");

#define STATUS_STOPPED_BY_GUARD 507

/** struct az_agent_run - a task and its HTTP request to the upstream, by their handles */
struct az_agent_run
{
  struct az_agent_program *program;
  uint32_t task;
  uint32_t request;
};

static void
report_failed (struct az_agent_run *run, const char *code)
{
  az_agent_core_task_finished (run->program->core, run->task, AZ_STATUS_FAILED,
                               (const uint8_t *)code, strlen (code));
}

static void
report_answer (struct az_agent_run *run, const struct az_http_response *response)
{
  char code[32];

  if (response->status == STATUS_STOPPED_BY_GUARD)
    report_failed (run, "stopped_by_guard");
  else if (response->status < 200 || response->status > 299)
    {
      g_snprintf (code, sizeof code, "upstream_status_%d", response->status);
      report_failed (run, code);
    }
  else if (response->body_length > AZ_MAX_PAYLOAD)
    report_failed (run, "result_too_large");
  else
    az_agent_core_task_finished (run->program->core, run->task, AZ_STATUS_OK,
                                 (const uint8_t *)response->body, response->body_length);
}

static void
on_response (void *context, const struct az_http_response *response)
{
  struct az_agent_run *run = context;
  struct az_agent_program *program = run->program;

  if (program->core)
    {
      if (response->result == AZ_HTTP_ANSWERED)
        report_answer (run, response);
      else
        az_agent_core_task_finished (
            program->core, run->task,
            response->result == AZ_HTTP_LOST ? AZ_STATUS_UNKNOWN : AZ_STATUS_NOT_STARTED, NULL, 0);
    }
  g_hash_table_remove (program->runs, GUINT_TO_POINTER (run->task));
  if (response->result != AZ_HTTP_ANSWERED)
    az_agent_program_probe_now (program);
}

void
az_agent_program_start_task (void *context, const struct az_agent_task *task)
{
  struct az_agent_program *program = context;
  struct az_agent_run *run = g_new0 (struct az_agent_run, 1);
  char index[16];
  char timeout[24];
  int64_t limit_ms = task->timeout_ms > 0 ? task->timeout_ms : TIMEOUT_DEFAULT_MS;
  const struct az_http_header headers[] = { { "azurerock-job", task->id->job },
                                            { "azurerock-task", index },
                                            { "azurerock-timeout-ms", timeout } };

  g_snprintf (index, sizeof index, "%u", task->id->task);
  g_snprintf (timeout, sizeof timeout, "%" G_GINT64_FORMAT, limit_ms);
  run->program = program;
  run->task = task->handle;
  g_hash_table_insert (program->runs, GUINT_TO_POINTER (task->handle), run);
  run->request = az_http_client_request (
      program->upstream, "POST", "/v1/tasks", headers, G_N_ELEMENTS (headers), task->payload,
      task->payload_length, limit_ms + TIMEOUT_MARGIN_MS, on_response, run);
}

void
az_agent_program_cancel_task (void *context, uint32_t task_handle)
{
  struct az_agent_program *program = context;
  const struct az_agent_run *run
      = g_hash_table_lookup (program->runs, GUINT_TO_POINTER (task_handle));

  if (run)
    az_http_client_cancel (program->upstream, run->request);
}

void
az_agent_program_open_upstream (struct az_agent_program *program)
{
  program->runs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  program->upstream = az_http_client_create (program->loop, program->options->upstream_address,
                                             (unsigned)program->options->connections);
  az_http_client_limit_wait (program->upstream, CONNECTION_WAIT_MAX_MS);
}

void
az_agent_program_close_upstream (struct az_agent_program *program)
{
  az_http_client_destroy (program->upstream);
  g_hash_table_unref (program->runs);
}
