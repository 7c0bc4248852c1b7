#include "platform/executor.h"
#include "sidecar/program.h"
#include <string.h>

#define CONNECTIONS 24

/* The upstream is on the same machine and answers in about a millisecond. */
#define ORDER_TIMEOUT_MS 30

/* Beyond the time that the upstream itself lets a hold wait. */
#define HOLD_EXTRA_MS 50

/** struct order - a call whose answer is awaited */
struct order
{
  struct az_sidecar_program *program;
  uint64_t number; /* of the task or the hold */
};

/* The client of the present life's address. */
static struct az_http_client *
get_client (struct az_sidecar_program *program)
{
  const char *address = az_sidecar_upstream_address (program->sidecar);

  if (program->upstream && !strcmp (program->upstream_address, address))
    return program->upstream;
  az_http_client_destroy (program->upstream);
  g_free (program->upstream_address);
  program->upstream_address = g_strdup (address);
  program->upstream = az_http_client_create (program->loop, address, CONNECTIONS);
  return program->upstream;
}

/* Takes @body. */
static void
call (struct az_sidecar_program *program,
      const char *path,
      const char *instance,
      char *body,
      int64_t timeout_ms,
      uint64_t number,
      void (*done) (void *context, const struct az_http_response *response))
{
  const struct az_http_header headers[]
      = { { "content-type", "application/json" }, { PLATFORM_INSTANCE_HEADER, instance } };
  struct order *order = g_new0 (struct order, 1);

  order->program = program;
  order->number = number;
  az_http_client_request (get_client (program), "POST", path, headers, G_N_ELEMENTS (headers), body,
                          strlen (body), timeout_ms, done, order);
  g_free (body);
}

static void
start_done (void *context, const struct az_http_response *response)
{
  g_autofree struct order *order = context;
  struct az_upstream_answer answer = platform_decode_order (response);

  if (!order->program->is_closed)
    az_sidecar_start_answered (order->program->sidecar, (uint32_t)order->number, &answer);
}

void
az_sidecar_program_start (void *context, uint32_t task, const struct az_upstream_start *start)
{
  call (context, PLATFORM_EXECUTOR_START, start->instance, platform_encode_start (start),
        ORDER_TIMEOUT_MS, task, start_done);
}

static void
stop_done (void *context, const struct az_http_response *response)
{
  g_autofree struct order *order = context;
  struct az_upstream_answer answer = platform_decode_order (response);

  if (!order->program->is_closed)
    az_sidecar_stop_answered (order->program->sidecar, (uint32_t)order->number, &answer);
}

void
az_sidecar_program_stop (void *context, uint32_t task, const struct az_upstream_stop *stop)
{
  call (context, PLATFORM_EXECUTOR_STOP, stop->instance, platform_encode_stop (stop),
        ORDER_TIMEOUT_MS, task, stop_done);
}

static void
hold_done (void *context, const struct az_http_response *response)
{
  g_autofree struct order *order = context;
  struct az_upstream_lists lists;

  platform_decode_lists (response, &lists);
  if (!order->program->is_closed)
    az_sidecar_hold_answered (order->program->sidecar, order->number, &lists);
  az_upstream_lists_clear (&lists);
}

void
az_sidecar_program_hold (void *context, uint64_t number, const struct az_upstream_hold *hold)
{
  call (context, PLATFORM_EXECUTOR_HOLD, hold->instance, platform_encode_hold (hold),
        hold->wait_ms + HOLD_EXTRA_MS, number, hold_done);
}
