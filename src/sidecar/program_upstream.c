#include "platform/executor.h"
#include "sidecar/program.h"
#include <string.h>

#define CONNECTIONS_MAX 24

/* The upstream runs on the same machine and answers in about a millisecond. If an answer is lost,
 * the short timeout lets the sidecar repeat the request within the objective of the job. */
#define REQUEST_TIMEOUT_MS 30

/* The timeout of a hold is the time for which the upstream may delay the answer plus this margin.
 */
#define HOLD_TIMEOUT_MARGIN_MS 50

/** struct pending_call - a call to the upstream without an answer yet */
struct pending_call
{
  struct az_sidecar_program *program;
  uint64_t number; /* handle of the task or number of the hold */
};

static void
close_client (struct upstream_client *client)
{
  az_http_client_destroy (client->http);
  g_free (client->address);
  *client = (struct upstream_client){ 0 };
}

void
az_sidecar_program_close_upstream (struct az_sidecar_program *program)
{
  close_client (&program->upstream);
  close_client (&program->candidate);
}

static void
connect_client (struct az_sidecar_program *program,
                struct upstream_client *client,
                const char *address)
{
  if (client->http && !strcmp (client->address, address))
    return;
  close_client (client);
  client->address = g_strdup (address);
  client->http = az_http_client_create (program->loop, address, CONNECTIONS_MAX);
}

/* Frees @body. */
static void
send_call (struct az_sidecar_program *program,
           struct upstream_client *client,
           const char *path,
           const char *instance,
           char *body,
           int64_t timeout_ms,
           uint64_t number,
           void (*done) (void *context, const struct az_http_response *response))
{
  const struct az_http_header headers[]
      = { { "content-type", "application/json" }, { PLATFORM_INSTANCE_HEADER, instance } };
  struct pending_call *pending_call = g_new0 (struct pending_call, 1);

  pending_call->program = program;
  pending_call->number = number;
  az_http_client_request (client->http, "POST", path, headers, G_N_ELEMENTS (headers), body,
                          strlen (body), timeout_ms, done, pending_call);
  g_free (body);
}

/* Calls the present incarnation of the upstream. */
static void
call_upstream (struct az_sidecar_program *program,
               const char *path,
               const char *instance,
               char *body,
               int64_t timeout_ms,
               uint64_t number,
               void (*done) (void *context, const struct az_http_response *response))
{
  connect_client (program, &program->upstream, az_sidecar_upstream_address (program->sidecar));
  send_call (program, &program->upstream, path, instance, body, timeout_ms, number, done);
}

static void
on_start_done (void *context, const struct az_http_response *response)
{
  g_autofree struct pending_call *pending_call = context;
  struct az_upstream_answer answer = platform_decode_start_or_stop (response);

  if (!pending_call->program->is_closed)
    az_sidecar_start_answered (pending_call->program->sidecar, (uint32_t)pending_call->number,
                               &answer);
}

void
az_sidecar_program_start_task (void *context, uint32_t task, const struct az_upstream_start *start)
{
  call_upstream (context, PLATFORM_EXECUTOR_START, start->instance, platform_encode_start (start),
                 REQUEST_TIMEOUT_MS, task, on_start_done);
}

static void
on_stop_done (void *context, const struct az_http_response *response)
{
  g_autofree struct pending_call *pending_call = context;
  struct az_upstream_answer answer = platform_decode_start_or_stop (response);

  if (!pending_call->program->is_closed)
    az_sidecar_stop_answered (pending_call->program->sidecar, (uint32_t)pending_call->number,
                              &answer);
}

void
az_sidecar_program_stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop)
{
  call_upstream (context, PLATFORM_EXECUTOR_STOP, stop->instance, platform_encode_stop (stop),
                 REQUEST_TIMEOUT_MS, task, on_stop_done);
}

static void
on_hold_done (void *context, const struct az_http_response *response)
{
  g_autofree struct pending_call *pending_call = context;
  struct az_upstream_lists lists;

  platform_decode_task_lists (response, &lists);
  if (!pending_call->program->is_closed)
    az_sidecar_hold_answered (pending_call->program->sidecar, pending_call->number, &lists);
  az_upstream_lists_clear (&lists);
}

void
az_sidecar_program_send_hold (void *context, uint64_t number, const struct az_upstream_hold *hold)
{
  call_upstream (context, PLATFORM_EXECUTOR_HOLD, hold->instance, platform_encode_hold (hold),
                 hold->wait_ms + HOLD_TIMEOUT_MARGIN_MS, number, on_hold_done);
}

static void
on_probe_done (void *context, const struct az_http_response *response)
{
  g_autofree struct pending_call *pending_call = context;
  struct az_sidecar_program *program = pending_call->program;
  struct az_upstream_announcement confirmed;
  struct az_upstream_lists lists;

  platform_decode_task_lists (response, &lists);
  if (!program->is_closed
      && az_sidecar_probe_answered (program->sidecar, pending_call->number, &lists.answer,
                                    &confirmed))
    {
      az_sidecar_program_write_record (program, &confirmed);
      az_upstream_announcement_clear (&confirmed);
    }
  az_upstream_lists_clear (&lists);
}

void
az_sidecar_program_send_probe (void *context,
                               uint64_t number,
                               const struct az_upstream_probe *probe)
{
  struct az_sidecar_program *program = context;
  const struct az_upstream_hold hold = { .fence = probe->fence };

  connect_client (program, &program->candidate, probe->address);
  send_call (program, &program->candidate, PLATFORM_EXECUTOR_HOLD, probe->instance,
             platform_encode_hold (&hold), REQUEST_TIMEOUT_MS, number, on_probe_done);
}
