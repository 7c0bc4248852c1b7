#include "azurerock/counters.h"
#include "azurerock/http_limits.h"
#include "azurerock/http_server.h"
#include "azurerock/log.h"
#include "net/http_pool.h"
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Sends requests in pieces, whole, chunked, pipelined or broken, over a few connections to a server
 * with low limits. Afterwards an ordinary request must be answered, and when all connections are
 * closed, no bytes may count as held. */

#define N_CLIENTS 6
#define CONNECTIONS_MAX 4 /* fewer than the clients, so that connections are closed for room */
#define BODY_MAX 65536
#define BUFFER_MB 1
#define N_PENDING 64
#define FILL_BYTES 4096
#define DEADLINE_MS 5000

struct input
{
  const uint8_t *data;
  size_t size;
};

static struct
{
  uv_loop_t loop;
  struct az_http_server *server;
  int clients[N_CLIENTS];
  uint32_t pending[N_PENDING]; /* requests without an answer */
  int n_pending;
  bool delays_answers;
  unsigned body_sum; /* reads each byte of a body, for AddressSanitizer */
} world;

static const char *const pieces[] = {
  "GET /jobs/x?y=z HTTP/1.1\r\n",
  "POST /jobs/ HTTP/1.1\r\n",
  "PUT * HTTP/1.0\r\n",
  "HEAD http://h.example/a%2f HTTP/1.1\r\n",
  "host: h.example\r\n",
  "content-length: 5\r\n",
  "content-length: 65536\r\n",
  "content-length: 65537\r\n",
  "content-length: 18446744073709551616\r\n",
  "content-length: -1\r\n",
  "transfer-encoding: chunked\r\n",
  "transfer-encoding: gzip, chunked\r\n",
  "expect: 100-continue\r\n",
  "connection: close\r\n",
  "connection: upgrade\r\nupgrade: h2c\r\nhttp2-settings: AAAA\r\n",
  " folded: line\r\n",
  "\r\n",
  "hello",
  "5\r\nhello\r\n",
  "1000\r\n",
  "ffffffffffffffff1\r\n",
  "0\r\n\r\n",
  "0\r\ntrailer: x\r\n\r\n",
  "GET / HTTP/1.1\r\nhost: h\r\n\r\n",
  "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello",
  "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 65536\r\n\r\n",
  "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 65537\r\n\r\n",
  "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n",
  "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 8192\r\n\r\n",
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
};

static uint8_t
take_byte (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->data++;
}

static void
answer (uint32_t handle)
{
  az_http_server_respond (world.server, handle, 200, "text/plain", "done\n", 5);
}

static void
answer_all (void)
{
  while (world.n_pending > 0)
    answer (world.pending[--world.n_pending]);
}

static void
on_request (void *context, const struct az_http_request *request)
{
  if (!request->method[0] || !request->path || !request->query || !request->host)
    g_error ("a request without method, path, query or host");
  if (request->body_length > BODY_MAX)
    g_error ("a body of %zu bytes", request->body_length);
  for (size_t i = 0; i < request->body_length; i++)
    world.body_sum += (unsigned char)request->body[i];
  az_http_server_header (world.server, request->handle, "host");
  if (world.delays_answers && world.n_pending < N_PENDING)
    world.pending[world.n_pending++] = request->handle;
  else
    answer (request->handle);
}

static void
on_disconnected (void *context, uint32_t handle)
{
  for (int i = 0; i < world.n_pending; i++)
    if (world.pending[i] == handle)
      {
        world.pending[i] = world.pending[--world.n_pending];
        return;
      }
}

static void
create_world (void)
{
  const struct az_http_limit_options limits = { .request_buffer_mb = BUFFER_MB,
                                                .connections_max = CONNECTIONS_MAX,
                                                .head_timeout_ms = 100,
                                                .body_timeout_ms = 100 };
  const struct az_http_handlers handlers = { on_request, on_disconnected, NULL };

  az_log_init ("fuzz", LOG_EMERG);
  uv_loop_init (&world.loop);
  az_http_limits_set (&limits, NULL);
  world.server = az_http_server_create (&world.loop, "127.0.0.1:0", BODY_MAX, &handlers, NULL);
  if (!world.server)
    g_error ("can't listen");
  for (int i = 0; i < N_CLIENTS; i++)
    world.clients[i] = -1;
}

static int
open_socket (void)
{
  /* A reset when the socket closes leaves no port in the state TIME_WAIT. */
  struct linger reset = { .l_onoff = 1 };
  int client = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (client < 0)
    g_error ("no socket: %s", g_strerror (errno));
  setsockopt (client, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  return client;
}

static int
connect_client (void)
{
  const char *colon = strrchr (az_http_server_local_address (world.server), ':');
  struct sockaddr_in target = { .sin_family = AF_INET };
  int client = open_socket ();

  target.sin_port = htons ((uint16_t)atoi (colon + 1));
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  while (connect (client, (struct sockaddr *)&target, sizeof target) < 0)
    {
      /* The alarm of libFuzzer interrupts system calls. */
      if (errno != EINTR)
        g_error ("can't connect: %s", g_strerror (errno));
      close (client);
      client = open_socket ();
    }
  return client;
}

static void
close_client (int index)
{
  if (world.clients[index] >= 0)
    close (world.clients[index]);
  world.clients[index] = -1;
}

static void
run_loop (int n_iterations)
{
  for (int i = 0; i < n_iterations; i++)
    uv_run (&world.loop, UV_RUN_NOWAIT);
}

/* What a full socket doesn't take is lost, as if the client had sent something else. */
static void
send_bytes (int index, const void *data, size_t length)
{
  if (world.clients[index] < 0)
    world.clients[index] = connect_client ();
  if (send (world.clients[index], data, length, MSG_DONTWAIT | MSG_NOSIGNAL) < (ssize_t)length)
    run_loop (1);
}

static void
send_fill (int index, uint8_t n_fills)
{
  static char fill[FILL_BYTES];

  memset (fill, 'x', sizeof fill);
  for (int i = 0; i < n_fills; i++)
    {
      send_bytes (index, fill, sizeof fill);
      run_loop (1);
    }
}

static void
send_input (int index, struct input *input)
{
  size_t length = take_byte (input);

  length = MIN (length, input->size);
  send_bytes (index, input->data, length);
  input->data += length;
  input->size -= length;
}

static void
read_answers (int index)
{
  char answers[4096];

  if (world.clients[index] >= 0)
    while (recv (world.clients[index], answers, sizeof answers, MSG_DONTWAIT) > 0)
      continue;
}

static void
play (struct input *input)
{
  uint8_t choice = take_byte (input);
  int index = (choice >> 4) % N_CLIENTS;

  switch (choice % 16)
    {
    case 0:
      run_loop (1);
      break;
    case 1:
      close_client (index);
      break;
    case 2:
      world.delays_answers = !world.delays_answers;
      break;
    case 3:
      answer_all ();
      break;
    case 4:
      read_answers (index);
      break;
    case 5:
      send_fill (index, take_byte (input) % 20);
      break;
    case 6:
      send_input (index, input);
      break;
    case 7:
      if (world.n_pending > 0)
        az_http_server_abort (world.server, world.pending[--world.n_pending]);
      break;
    default:
      {
        const char *piece = pieces[take_byte (input) % G_N_ELEMENTS (pieces)];

        send_bytes (index, piece, strlen (piece));
        break;
      }
    }
}

static bool
is_before (int64_t end_us)
{
  return g_get_monotonic_time () < end_us;
}

static void
check_ordinary_request (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
  int64_t end_us = g_get_monotonic_time () + (int64_t)DEADLINE_MS * 1000;
  char status[12];
  int client = connect_client ();
  ssize_t length = -1;

  send (client, request, strlen (request), MSG_NOSIGNAL);
  while (length < 0 && is_before (end_us))
    {
      run_loop (1);
      length = recv (client, status, sizeof status, MSG_DONTWAIT);
    }
  if (length < (ssize_t)sizeof status || memcmp (status, "HTTP/1.1 200", sizeof status) != 0)
    g_error ("an ordinary request wasn't answered");
  close (client);
}

static void
close_all (void)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)DEADLINE_MS * 1000;

  for (int i = 0; i < N_CLIENTS; i++)
    close_client (i);
  while (az_http_server_count_connections (world.server) > 0 && is_before (end_us))
    run_loop (1);
  if (az_http_server_count_connections (world.server) > 0)
    g_error ("a connection stays after its client has closed it");
  if (az_http_ledger_process ()->bytes > 0)
    g_error ("%zu bytes count as held without connections", az_http_ledger_process ()->bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct input input = { data, size };

  if (!world.server)
    create_world ();
  world.delays_answers = false;
  while (input.size > 0)
    play (&input);
  run_loop (2);
  world.delays_answers = false;
  answer_all ();
  check_ordinary_request ();
  close_all ();
  return 0;
}
