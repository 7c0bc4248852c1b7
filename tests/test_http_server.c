#include "azurerock/http_server.h"
#include "net_testing.h"
#include "testing.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY 1000

struct fixture
{
  uv_loop_t loop;
  struct az_http_server *server;
  int requests;
  int n_disconnected;
  uint32_t handle;
  bool answer; /* respond at once with "METHOD path query body" */
};

static void
on_request (void *context, const struct az_http_request *request)
{
  struct fixture *fixture = context;
  char *text;

  fixture->requests++;
  fixture->handle = request->handle;
  if (!fixture->answer)
    return;
  text = g_strdup_printf ("%s %s %s %.*s\n", request->method, request->path, request->query,
                          (int)request->body_length, request->body);
  az_http_server_respond (fixture->server, request->handle, 200, "text/plain", text, strlen (text));
  g_free (text);
}

static void
on_disconnected (void *context, uint32_t handle)
{
  struct fixture *fixture = context;

  assert_int_equal (handle, fixture->handle);
  fixture->n_disconnected++;
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct az_http_handlers handlers = { on_request, on_disconnected, fixture };

  uv_loop_init (&fixture->loop);
  fixture->answer = true;
  fixture->server
      = az_http_server_create (&fixture->loop, "127.0.0.1:0", MAX_BODY, &handlers, NULL);
  assert_non_null (fixture->server);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_http_server_destroy (fixture->server);
  net_close_loop (&fixture->loop);
  g_free (fixture);
  return 0;
}

static int
connect_caller (struct fixture *fixture)
{
  return net_connect (az_http_server_local_address (fixture->server));
}

/* Guards against losing part of a request, and against closing the connection after one. */
static void
test_requests_on_one_connection (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  net_write (caller, "POST /a/b?x=1&y HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody");
  assert_non_null (
      strstr (net_read_until (&fixture->loop, caller, "body\n"), "POST /a/b x=1&y body\n"));
  net_write (caller, "GET /c HTTP/1.1\r\nhost: h\r\n\r\n");
  net_read_until (&fixture->loop, caller, "GET /c  \n");
  assert_int_equal (fixture->requests, 2);
  assert_int_equal (fixture->n_disconnected, 0);
  close (caller);
}

/* Guards against responses to pipelined requests in the wrong order. */
static void
test_pipelined_requests (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);
  const char *answers;

  net_write (caller, "GET /1 HTTP/1.1\r\nhost: h\r\n\r\nGET /2 HTTP/1.1\r\nhost: h\r\n\r\n"
                     "POST /3 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab");
  answers = net_read_until (&fixture->loop, caller, "POST /3  ab\n");
  assert_true (strstr (answers, "GET /1") < strstr (answers, "GET /2"));
  assert_int_equal (fixture->requests, 3);
  close (caller);
}

static void
expect_413 (struct fixture *fixture, const char *request)
{
  int caller = connect_caller (fixture);

  net_write (caller, request);
  net_read_until (&fixture->loop, caller, "413");
  assert_int_equal (fixture->requests, 0);
  close (caller);
}

/* Guards against buffering oversized bodies, with content-length or chunked encoding. */
static void
test_oversized_bodies (void **state)
{
  struct fixture *fixture = *state;
  char chunk[MAX_BODY + 200] = "";
  char body[MAX_BODY + 2];

  expect_413 (fixture, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1001\r\n\r\n");
  expect_413 (fixture, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999999999\r\n\r\n");
  memset (body, 'x', sizeof body);
  body[MAX_BODY + 1] = '\0';
  g_snprintf (
      chunk, sizeof chunk,
      "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n%s\r\n0\r\n\r\n",
      body);
  expect_413 (fixture, chunk);
}

/* Guards against keeping, or responding to, the request of a caller that disconnected. */
static void
test_caller_disconnects (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  fixture->answer = false;
  net_write (caller, "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n");
  net_run_until (&fixture->loop, &fixture->requests, 1);
  close (caller);
  net_run_until (&fixture->loop, &fixture->n_disconnected, 1);
  az_http_server_respond (fixture->server, fixture->handle, 200, "text/plain", "late", 4);
  net_run_for (&fixture->loop, 20);
  assert_int_equal (fixture->n_disconnected, 1);
}

/* Guards against keeping the request of a caller that disconnected before it was read. */
static void
test_caller_disconnects_before_request_is_read (void **state)
{
  struct fixture *fixture = *state;

  fixture->answer = false;
  for (int is_accepted = 0; is_accepted < 2; is_accepted++)
    {
      int caller = connect_caller (fixture);

      if (is_accepted)
        net_run_for (&fixture->loop, 50);
      net_write (caller, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
      close (caller);
      net_run_for (&fixture->loop, 100);
      assert_int_equal (fixture->n_disconnected, fixture->requests);
    }
}

/* Guards against calling the handler for a request whose body is incomplete when the caller
 * disconnects. */
static void
test_incomplete_request (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  net_write (caller, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nhalf");
  net_run_for (&fixture->loop, 20);
  close (caller);
  net_run_for (&fixture->loop, 20);
  assert_int_equal (fixture->requests, 0);
  assert_int_equal (fixture->n_disconnected, 0);
}

/* Guards against a failure when a response is written to a connection that the caller reset. */
static void
test_caller_resets_before_response (void **state)
{
  struct fixture *fixture = *state;
  struct linger reset = { 1, 0 };
  int caller = connect_caller (fixture);

  fixture->answer = false;
  net_write (caller, "GET /slow HTTP/1.1\r\nhost: h\r\n\r\n");
  net_run_until (&fixture->loop, &fixture->requests, 1);
  setsockopt (caller, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (caller);
  az_http_server_respond (fixture->server, fixture->handle, 200, "text/plain", "late", 4);
  net_run_for (&fixture->loop, 20);
  assert_int_equal (fixture->n_disconnected, 0);
}

/* Guards against a graceful stop that closes a connection with a request in progress, or that
 * leaves idle connections open. */
static void
test_graceful_stop (void **state)
{
  struct fixture *fixture = *state;
  int idle = connect_caller (fixture);
  int busy = connect_caller (fixture);

  net_write (idle, "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n");
  net_read_until (&fixture->loop, idle, "GET /1");
  fixture->answer = false;
  net_write (busy, "GET /2 HTTP/1.1\r\nhost: h\r\n\r\n");
  net_run_until (&fixture->loop, &fixture->requests, 2);
  az_http_server_stop_accepting (fixture->server);
  assert_true (net_is_closed (&fixture->loop, idle));
  assert_int_equal (connect_caller (fixture), -1);
  az_http_server_respond (fixture->server, fixture->handle, 200, "text/plain", "done\n", 5);
  net_read_until (&fixture->loop, busy, "done\n");
  assert_true (net_is_closed (&fixture->loop, busy));
  assert_int_equal (fixture->n_disconnected, 0);
  close (idle);
  close (busy);
}

static void
destroy_server (struct fixture *fixture)
{
  az_http_server_destroy (fixture->server);
  fixture->server = NULL;
}

/* Guards against requests that are read, and handed to the process, but never answered because they
 * arrived just before the server was destroyed. */
static void
test_request_arrives_before_destroy (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  net_write (caller, "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n");
  net_read_until (&fixture->loop, caller, "GET /1");
  net_write (caller, "GET /2 HTTP/1.1\r\nhost: h\r\n\r\n");
  destroy_server (fixture);
  net_read_until (&fixture->loop, caller, " 503 ");
  assert_true (net_is_closed (&fixture->loop, caller));
  assert_int_equal (fixture->requests, 1);
  close (caller);
}

/* More than the socket buffers of both sides hold together. */
#define LARGE_RESPONSE_BYTES (8 * 1024 * 1024)

static void
respond_large (struct fixture *fixture, int caller)
{
  char *text = g_malloc0 (LARGE_RESPONSE_BYTES);

  fixture->answer = false;
  net_write (caller, "GET /large HTTP/1.1\r\nhost: h\r\n\r\n");
  net_run_until (&fixture->loop, &fixture->requests, 1);
  az_http_server_respond (fixture->server, fixture->handle, 200, "text/plain", text,
                          LARGE_RESPONSE_BYTES);
  g_free (text);
}

/* Guards against responses cut off because the server was destroyed before they were written. */
static void
test_response_in_progress_at_destroy (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  respond_large (fixture, caller);
  destroy_server (fixture);
  assert_true (net_read_to_end (&fixture->loop, caller) > LARGE_RESPONSE_BYTES);
  close (caller);
}

/* Guards against a process that can't exit because a caller doesn't read its response. */
static void
test_caller_that_does_not_read_at_destroy (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);
  uint64_t destroyed_ms;

  respond_large (fixture, caller);
  destroyed_ms = uv_hrtime () / 1000000;
  destroy_server (fixture);
  while (uv_loop_alive (&fixture->loop))
    {
      assert_true (uv_hrtime () / 1000000 - destroyed_ms < 400);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  close (caller);
}

/* Guards against start-up errors that don't name the address. */
static void
test_address_in_use (void **state)
{
  struct fixture *fixture = *state;
  const char *address = az_http_server_local_address (fixture->server);
  struct az_http_handlers handlers = { on_request, on_disconnected, fixture };
  GError *error = NULL;

  assert_null (az_http_server_create (&fixture->loop, address, MAX_BODY, &handlers, &error));
  assert_non_null (strstr (error->message, address));
  g_clear_error (&error);
  assert_null (az_http_server_create (&fixture->loop, "host:80", MAX_BODY, &handlers, &error));
  g_clear_error (&error);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_requests_on_one_connection),
    TEST (test_pipelined_requests),
    TEST (test_oversized_bodies),
    TEST (test_caller_disconnects),
    TEST (test_caller_disconnects_before_request_is_read),
    TEST (test_incomplete_request),
    TEST (test_caller_resets_before_response),
    TEST (test_graceful_stop),
    TEST (test_request_arrives_before_destroy),
    TEST (test_response_in_progress_at_destroy),
    TEST (test_caller_that_does_not_read_at_destroy),
    TEST (test_address_in_use),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
