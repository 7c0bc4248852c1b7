#include "azurerock/http_client.h"
#include "azurerock/http_server.h"
#include <stdio.h>
#include <stdlib.h>

/*
 * Measures the requests per second of the HTTP client and server in one process on one core. The
 * server answers 64 bytes at once, so the result is an upper bound for an agent.
 * Usage: http [requests] [connections]
 */
struct bench
{
  struct az_http_server *server;
  struct az_http_client *client;
  long remaining_requests;
  long answered;
  long n_failed;
  long n_requests;
};

static void
serve (void *context, const struct az_http_request *request)
{
  static const char body[64];
  struct bench *bench = context;

  az_http_server_respond (bench->server, request->handle, 200, "application/octet-stream", body,
                          sizeof body);
}

static void
ignore_disconnect (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

static void
answered (void *context, const struct az_http_response *response);

static void
send_next (struct bench *bench)
{
  static const char body[100];
  const struct az_http_header headers[] = { { "azurerock-job", "1796361241123-q7Jm2kd91x" },
                                            { "azurerock-task", "0" },
                                            { "azurerock-timeout-ms", "30000" } };

  if (bench->remaining_requests-- > 0)
    az_http_client_request (bench->client, "POST", "/v1/tasks", headers, 3, body, sizeof body,
                            30000, answered, bench);
}

static void
answered (void *context, const struct az_http_response *response)
{
  struct bench *bench = context;

  if (response->result != AZ_HTTP_ANSWERED || response->status != 200)
    bench->n_failed++;
  bench->answered++;
  send_next (bench);
}

int
main (int argc, char **argv)
{
  struct bench bench = { .n_requests = argc > 1 ? atol (argv[1]) : 200000 };
  unsigned connections = argc > 2 ? (unsigned)atoi (argv[2]) : 8;
  struct az_http_handlers handlers = { serve, ignore_disconnect, &bench };
  uint64_t start_ns;
  double seconds;
  uv_loop_t loop;

  uv_loop_init (&loop);
  bench.remaining_requests = bench.n_requests;
  bench.server = az_http_server_create (&loop, "127.0.0.1:0", 65536, &handlers, NULL);
  bench.client
      = az_http_client_create (&loop, az_http_server_local_address (bench.server), connections);
  start_ns = uv_hrtime ();
  for (unsigned i = 0; i < connections; i++)
    send_next (&bench);
  while (bench.answered < bench.n_requests)
    uv_run (&loop, UV_RUN_ONCE);
  seconds = (double)(uv_hrtime () - start_ns) / 1e9;
  printf ("%ld requests on %u connections: %.0f/s, %.1f us each, %ld failed\n", bench.n_requests,
          connections, (double)bench.n_requests / seconds, seconds / (double)bench.n_requests * 1e6,
          bench.n_failed);
  return bench.n_failed > 0;
}
