#include "azurerock/http_client.h"
#include "azurerock/http_limits.h"
#include "net_testing.h"
#include "testing.h"
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 4000

struct fixture
{
  uv_loop_t loop;
  struct az_http_client *client;
  int listener;
  char address[32];
  int done;
  enum az_http_result result;
  bool is_refused;
  int status;
  char body[64];
  char index[32];
};

static void
on_done (void *context, const struct az_http_response *response)
{
  struct fixture *fixture = context;

  fixture->done++;
  fixture->result = response->result;
  fixture->is_refused = response->is_refused;
  fixture->status = response->status;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)response->body_length,
              response->body);
  g_strlcpy (fixture->index, response->index ? response->index : "", sizeof fixture->index);
  assert_true (response->result == AZ_HTTP_ANSWERED || response->error);
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  uv_loop_init (&fixture->loop);
  fixture->listener = net_listen (fixture->address);
  fixture->client = az_http_client_create (&fixture->loop, fixture->address, 2);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_http_client_destroy (fixture->client);
  net_close_loop (&fixture->loop);
  close (fixture->listener);
  g_free (fixture);
  return 0;
}

static uint32_t
request (struct fixture *fixture, const char *body, int64_t timeout_ms)
{
  const struct az_http_header header = { "azurerock-job", "j1" };
  int before = fixture->done;
  uint32_t handle = az_http_client_request (fixture->client, "POST", "/v1/tasks?x=1", &header, 1,
                                            body, strlen (body), timeout_ms, on_done, fixture);

  assert_int_equal (fixture->done, before);
  return handle;
}

static void
expect_result (struct fixture *fixture, int done, enum az_http_result result)
{
  net_run_until (&fixture->loop, &fixture->done, done);
  assert_int_equal (fixture->done, done);
  assert_int_equal (fixture->result, result);
}

static const char *
accept_request (struct fixture *fixture, const char *body, int *server)
{
  *server = net_accept (&fixture->loop, fixture->listener);
  return net_read_until (&fixture->loop, *server, body);
}

/* Guards against a malformed request, and against opening a new connection for each request. */
static void
test_request_format_and_keep_alive (void **state)
{
  struct fixture *fixture = *state;
  char *expected = g_strdup_printf ("POST /v1/tasks?x=1 HTTP/1.1\r\nhost: %s\r\n"
                                    "content-length: 3\r\nazurerock-job: j1\r\n\r\none",
                                    fixture->address);
  int server;

  request (fixture, "one", TIMEOUT_MS);
  assert_string_equal (accept_request (fixture, "one", &server), expected);
  net_write (server, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Consul-Index: 77\r\n\r\nab");
  expect_result (fixture, 1, AZ_HTTP_ANSWERED);
  assert_int_equal (fixture->status, 201);
  assert_string_equal (fixture->body, "ab");
  assert_string_equal (fixture->index, "77");
  request (fixture, "two", TIMEOUT_MS);
  net_read_until (&fixture->loop, server, "two");
  net_write (server, "HTTP/1.1 204 No Content\r\n\r\n");
  expect_result (fixture, 2, AZ_HTTP_ANSWERED);
  assert_string_equal (fixture->body, "");
  g_free (expected);
  close (server);
}

/* Guards against reporting a request as lost when the connection was refused, so that the server
 * can't have received it. */
static void
test_refused_connection_is_not_sent (void **state)
{
  struct fixture *fixture = *state;

  close (fixture->listener);
  fixture->listener = -1;
  request (fixture, "one", TIMEOUT_MS);
  request (fixture, "two", TIMEOUT_MS);
  request (fixture, "three", TIMEOUT_MS);
  expect_result (fixture, 3, AZ_HTTP_NOT_SENT);
}

/* Guards against reporting a request as not sent when the server may have received it: the server
 * closes the connection at various points of its response. */
static void
test_cut_connection_is_lost (void **state)
{
  static const char *const partial_responses[]
      = { "", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalf" };
  struct fixture *fixture = *state;

  for (size_t i = 0; i < G_N_ELEMENTS (partial_responses); i++)
    {
      int server;

      request (fixture, "one", TIMEOUT_MS);
      accept_request (fixture, "one", &server);
      if (partial_responses[i][0])
        net_write (server, partial_responses[i]);
      close (server);
      expect_result (fixture, (int)i + 1, AZ_HTTP_LOST);
    }
}

/* Guards against taking a lack of free connections for a server that doesn't listen. */
static void
test_refused_connection_is_told_from_other_failures (void **state)
{
  struct fixture *fixture = *state;
  int servers[2];

  request (fixture, "one", TIMEOUT_MS);
  request (fixture, "two", TIMEOUT_MS);
  accept_request (fixture, "\r\n\r\n", &servers[0]);
  accept_request (fixture, "\r\n\r\n", &servers[1]);
  request (fixture, "three", 20);
  expect_result (fixture, 1, AZ_HTTP_NOT_SENT);
  assert_false (fixture->is_refused);
  close (fixture->listener);
  fixture->listener = -1;
  close (servers[0]);
  close (servers[1]);
  expect_result (fixture, 3, AZ_HTTP_LOST);
  assert_false (fixture->is_refused);
  request (fixture, "four", TIMEOUT_MS);
  expect_result (fixture, 4, AZ_HTTP_NOT_SENT);
  assert_true (fixture->is_refused);
}

/* Guards against requests that wait for their timeout, and connect again and again, because several
 * of them wait for a server that refuses all connections. */
static void
test_concurrent_requests_are_refused_at_once (void **state)
{
  struct fixture *fixture = *state;

  close (fixture->listener);
  fixture->listener = -1;
  for (int i = 0; i < 5; i++)
    request (fixture, "one", 300);
  expect_result (fixture, 5, AZ_HTTP_NOT_SENT);
  assert_true (fixture->is_refused);
}

/* Guards against reporting a request as not sent although it was written to an idle connection: the
 * server had closed the connection, and the client had not noticed yet. */
static void
test_idle_connection_closed_by_server (void **state)
{
  struct fixture *fixture = *state;
  int server;

  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &server);
  net_write (server, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  expect_result (fixture, 1, AZ_HTTP_ANSWERED);
  close (server);
  request (fixture, "two", TIMEOUT_MS);
  expect_result (fixture, 2, AZ_HTTP_LOST);
  request (fixture, "three", TIMEOUT_MS);
  accept_request (fixture, "three", &server);
  net_write (server, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  expect_result (fixture, 3, AZ_HTTP_ANSWERED);
  close (server);
  net_run_for (&fixture->loop, 20);
  request (fixture, "four", TIMEOUT_MS);
  accept_request (fixture, "four", &server);
  net_write (server, "HTTP/1.0 200 OK\r\n\r\nto the end");
  close (server);
  expect_result (fixture, 4, AZ_HTTP_ANSWERED);
  assert_string_equal (fixture->body, "to the end");
}

/* Guards against opening more connections than allowed, and against a wrong result for a request
 * that is cancelled: not sent if it waited for a connection, lost if it was written. */
static void
test_connection_limit (void **state)
{
  struct fixture *fixture = *state;
  uint32_t third;
  int first_server;
  int second_server;

  uint32_t first = request (fixture, "one", TIMEOUT_MS);
  request (fixture, "two", TIMEOUT_MS);
  third = request (fixture, "three", TIMEOUT_MS);
  accept_request (fixture, "\r\n\r\n", &first_server);
  accept_request (fixture, "\r\n\r\n", &second_server);
  az_http_client_cancel (fixture->client, third);
  assert_int_equal (fixture->done, 0);
  expect_result (fixture, 1, AZ_HTTP_NOT_SENT);
  az_http_client_cancel (fixture->client, first);
  expect_result (fixture, 2, AZ_HTTP_LOST);
  az_http_client_cancel (fixture->client, first);
  request (fixture, "four", 100);
  net_run_for (&fixture->loop, 20);
  assert_int_equal (fixture->done, 2);
  close (first_server);
  close (second_server);
  expect_result (fixture, 4, AZ_HTTP_LOST);
}

/* Guards against reporting a request as not sent although it was written before it timed out, and
 * against a request that waits for a connection beyond its timeout. */
static void
test_timeouts (void **state)
{
  struct fixture *fixture = *state;
  int server;

  request (fixture, "one", 60);
  request (fixture, "two", 60);
  accept_request (fixture, "\r\n\r\n", &server);
  request (fixture, "three", 30);
  expect_result (fixture, 1, AZ_HTTP_NOT_SENT);
  expect_result (fixture, 3, AZ_HTTP_LOST);
  close (server);
}

/* Guards against requests that time out one after the other on idle connections that have gone
 * silent. */
static void
test_dropped_idle_connection_is_not_reused (void **state)
{
  struct fixture *fixture = *state;
  int servers[2];

  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &servers[0]);
  net_write (servers[0], "HTTP/1.1 204 No Content\r\n\r\n");
  expect_result (fixture, 1, AZ_HTTP_ANSWERED);
  az_http_client_drop_idle (fixture->client);
  request (fixture, "two", TIMEOUT_MS);
  accept_request (fixture, "two", &servers[1]);
  net_write (servers[1], "HTTP/1.1 204 No Content\r\n\r\n");
  expect_result (fixture, 2, AZ_HTTP_ANSWERED);
  close (servers[0]);
  close (servers[1]);
}

/* Guards against misparsing a chunked response, with an informational response before it, that
 * arrives one byte at a time. */
static void
test_chunked_response_in_single_bytes (void **state)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                             "transfer-encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\na\r\n0123456789\r\n0\r\nx-trailer: 1\r\n\r\n";
  struct fixture *fixture = *state;
  int server;

  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &server);
  for (size_t i = 0; i < sizeof text - 1; i++)
    {
      char piece[2] = { text[i], '\0' };

      net_write (server, piece);
      net_run_for (&fixture->loop, 1);
    }
  expect_result (fixture, 1, AZ_HTTP_ANSWERED);
  assert_string_equal (fixture->body, "abc0123456789");
  request (fixture, "two", TIMEOUT_MS);
  net_read_until (&fixture->loop, server, "two");
  net_write (server, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
  expect_result (fixture, 2, AZ_HTTP_ANSWERED);
  close (server);
}

/* Guards against taking the response to one request for that of another: the length is ambiguous
 * or invalid, or bytes follow the response that would be read as the response to the next one. */
static void
test_ambiguous_responses (void **state)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
    "nonsense\r\n\r\n",
  };
  struct fixture *fixture = *state;
  int server;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      request (fixture, "one", TIMEOUT_MS);
      accept_request (fixture, "one", &server);
      net_write (server, texts[i]);
      expect_result (fixture, (int)i + 1, AZ_HTTP_LOST);
      close (server);
    }
  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &server);
  net_write (server, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n"
                     "content-length: 1\r\n\r\nb");
  expect_result (fixture, (int)G_N_ELEMENTS (texts) + 1, AZ_HTTP_ANSWERED);
  assert_string_equal (fixture->body, "a");
  assert_true (net_is_closed (&fixture->loop, server));
  close (server);
}

/* Guards against memory exhausted by responses whose length isn't announced, and against a later
 * request that fails because of them. */
static void
test_responses_over_the_memory (void **state)
{
  const struct az_http_limit_options limits = { .memory_mb = 1 };
  const struct az_http_limit_options defaults = { 0 };
  struct fixture *fixture = *state;
  char piece[10001] = "";
  int server;
  int n_pieces = 0;

  az_http_limits_set (&limits, NULL);
  memset (piece, 'x', sizeof piece - 1);
  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &server);
  for (net_write (server, "HTTP/1.1 200 OK\r\n\r\n"); fixture->done == 0; n_pieces++)
    {
      net_write (server, piece);
      net_run_for (&fixture->loop, 1);
    }
  assert_in_range (n_pieces, 100, 110);
  expect_result (fixture, 1, AZ_HTTP_LOST);
  close (server);
  request (fixture, "two", TIMEOUT_MS);
  accept_request (fixture, "two", &server);
  net_write (server, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
  expect_result (fixture, 2, AZ_HTTP_ANSWERED);
  close (server);
  az_http_limits_set (&defaults, NULL);
}

/* Guards against requests whose callback is not called when the client is destroyed, and against
 * use of the destroyed client. An address that is not numeric is also reported by the callback. */
static void
test_destroy_ends_requests (void **state)
{
  struct fixture *fixture = *state;
  int server;

  request (fixture, "one", TIMEOUT_MS);
  accept_request (fixture, "one", &server);
  az_http_client_destroy (fixture->client);
  assert_int_equal (fixture->done, 1);
  assert_int_equal (fixture->result, AZ_HTTP_LOST);
  fixture->client = az_http_client_create (&fixture->loop, "localhost:80", 1);
  request (fixture, "two", TIMEOUT_MS);
  expect_result (fixture, 2, AZ_HTTP_NOT_SENT);
  close (server);
}

/* Guards against sending a request long after its sender decided to, as after a pause. */
static void
test_request_that_waited_too_long_is_not_sent (void **state)
{
  struct fixture *fixture = *state;
  char byte;
  int server;

  az_http_client_limit_wait (fixture->client, 50);
  request (fixture, "one", TIMEOUT_MS);
  uv_sleep (100);
  expect_result (fixture, 1, AZ_HTTP_NOT_SENT);
  server = net_accept (&fixture->loop, fixture->listener);
  net_run_for (&fixture->loop, 20);
  assert_int_equal (recv (server, &byte, 1, MSG_DONTWAIT), -1);
  close (server);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_request_format_and_keep_alive),
    TEST (test_refused_connection_is_not_sent),
    TEST (test_cut_connection_is_lost),
    TEST (test_idle_connection_closed_by_server),
    TEST (test_connection_limit),
    TEST (test_refused_connection_is_told_from_other_failures),
    TEST (test_concurrent_requests_are_refused_at_once),
    TEST (test_timeouts),
    TEST (test_request_that_waited_too_long_is_not_sent),
    TEST (test_dropped_idle_connection_is_not_reused),
    TEST (test_chunked_response_in_single_bytes),
    TEST (test_ambiguous_responses),
    TEST (test_responses_over_the_memory),
    TEST (test_destroy_ends_requests),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
