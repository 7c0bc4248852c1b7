#include "azurerock/http_limits.h"
#include "azurerock/http_server.h"
#include "net_testing.h"
#include "testing.h"
#include <string.h>
#include <unistd.h>

#define MAX_BODY 262144
#define CONNECTIONS_MAX 4
#define TIMEOUT_MS 400
#define PAUSE_MS 1500
#define PIECE_BYTES 8192

/* More than the system buffers for a connection. */
static char answer_text[8 << 20] = "done\n";

struct fixture
{
  uv_loop_t loop;
  struct az_http_server *server;
  struct az_counters *counters;
  int n_requests;
  uint32_t handles[16];
  size_t last_body_length;
  size_t answer_length;
  bool answer;
};

static void
on_request (void *context, const struct az_http_request *request)
{
  struct fixture *fixture = context;

  fixture->handles[fixture->n_requests++ % 16] = request->handle;
  fixture->last_body_length = request->body_length;
  if (fixture->answer)
    az_http_server_respond (fixture->server, request->handle, 200, "text/plain", answer_text,
                            fixture->answer_length);
}

static void
on_disconnected (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

static int
setup (void **state)
{
  const struct az_http_limit_options limits = { .request_buffer_mb = 1,
                                                .connections_max = CONNECTIONS_MAX,
                                                .head_timeout_ms = TIMEOUT_MS,
                                                .body_timeout_ms = 2 * TIMEOUT_MS };
  struct fixture *fixture = g_new0 (struct fixture, 1);
  const struct az_http_handlers handlers = { on_request, on_disconnected, fixture };

  uv_loop_init (&fixture->loop);
  fixture->answer = true;
  fixture->answer_length = 5;
  fixture->counters = az_counters_create ();
  az_http_limits_set (&limits, fixture->counters);
  fixture->server
      = az_http_server_create (&fixture->loop, "127.0.0.1:0", MAX_BODY, &handlers, NULL);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_http_server_destroy (fixture->server);
  net_close_loop (&fixture->loop);
  az_http_limits_clear_counters ();
  az_counters_destroy (fixture->counters);
  g_free (fixture);
  return 0;
}

static int
connect_caller (struct fixture *fixture)
{
  int caller = net_connect (az_http_server_local_address (fixture->server));

  net_run_for (&fixture->loop, 2);
  return caller;
}

static void
write_body (struct fixture *fixture, int caller, size_t length)
{
  static char piece[PIECE_BYTES + 1];

  memset (piece, 'x', PIECE_BYTES);
  for (; length > 0; length -= MIN (length, PIECE_BYTES))
    {
      net_write (caller, piece + PIECE_BYTES - MIN (length, PIECE_BYTES));
      net_run_for (&fixture->loop, 1);
    }
}

/* Sends the head and the first @length bytes of a body of MAX_BODY bytes. */
static int
begin_request (struct fixture *fixture, size_t length)
{
  int caller = connect_caller (fixture);

  net_write (caller, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 262144\r\n\r\n");
  write_body (fixture, caller, length);
  return caller;
}

static uint64_t
count (struct fixture *fixture, const char *cause)
{
  g_autofree char *name = g_strdup_printf ("azurerock_http_limited_total{cause=\"%s\"}", cause);

  return az_counters_get (fixture->counters,
                          az_counters_register (fixture->counters, name, "help"));
}

/* Guards against closing clients inside the limits while there is room. */
static void
test_clients_inside_the_limits_are_served (void **state)
{
  struct fixture *fixture = *state;
  int callers[3];

  for (int i = 0; i < 3; i++)
    callers[i] = begin_request (fixture, MAX_BODY - 1);
  for (int i = 0; i < 3; i++)
    {
      net_write (callers[i], "x");
      net_read_until (&fixture->loop, callers[i], "done\n");
      assert_int_equal (fixture->last_body_length, MAX_BODY);
      close (callers[i]);
    }
  assert_int_equal (count (fixture, "memory"), 0);
}

/* Guards against closing the connection of a request in progress to save memory, and against
 * unfinished requests that go on although the memory is used up. */
static void
test_request_in_progress_is_not_cut (void **state)
{
  struct fixture *fixture = *state;
  int callers[CONNECTIONS_MAX];
  int unfinished;

  fixture->answer = false;
  for (int i = 0; i < 3; i++)
    callers[i] = begin_request (fixture, MAX_BODY);
  assert_int_equal (fixture->n_requests, 3);
  unfinished = begin_request (fixture, MAX_BODY / 2);
  assert_int_equal (count (fixture, "memory"), 0);
  az_http_server_respond (fixture->server, fixture->handles[0], 200, "text/plain", "done\n", 5);
  net_read_until (&fixture->loop, callers[0], "done\n");
  net_write (callers[0], "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 262144\r\n\r\n");
  write_body (fixture, callers[0], MAX_BODY);
  net_run_for (&fixture->loop, 10);
  write_body (fixture, unfinished, MAX_BODY / 2 - 1);
  net_run_for (&fixture->loop, 10);
  assert_int_equal (count (fixture, "memory"), 1);
  assert_true (net_is_closed (&fixture->loop, unfinished));
  for (int i = 1; i < 4; i++)
    az_http_server_respond (fixture->server, fixture->handles[i], 200, "text/plain", "done\n", 5);
  for (int i = 0; i < 3; i++)
    {
      net_read_until (&fixture->loop, callers[i], "done\n");
      close (callers[i]);
    }
  close (unfinished);
}

/* Guards against a new caller shut out by idle connections, and against closing more of them than
 * needed. */
static void
test_idle_connection_gives_room (void **state)
{
  struct fixture *fixture = *state;
  int callers[CONNECTIONS_MAX + 1];

  for (int i = 0; i <= CONNECTIONS_MAX; i++)
    {
      callers[i] = connect_caller (fixture);
      net_write (callers[i], "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
      net_read_until (&fixture->loop, callers[i], "done\n");
      net_run_for (&fixture->loop, 5);
    }
  assert_true (net_is_closed (&fixture->loop, callers[0]));
  for (int i = 1; i <= CONNECTIONS_MAX; i++)
    {
      net_write (callers[i], "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
      net_read_until (&fixture->loop, callers[i], "done\n");
    }
  assert_int_equal (count (fixture, "connections"), 1);
  for (int i = 0; i <= CONNECTIONS_MAX; i++)
    close (callers[i]);
}

/* Guards against refusing a caller, or closing a request in progress, when all connections have
 * one: the caller waits until one ends. */
static void
test_full_listener_pauses (void **state)
{
  struct fixture *fixture = *state;
  int callers[CONNECTIONS_MAX + 1];

  fixture->answer = false;
  for (int i = 0; i <= CONNECTIONS_MAX; i++)
    {
      callers[i] = connect_caller (fixture);
      net_write (callers[i], "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
      net_run_for (&fixture->loop, 5);
    }
  assert_int_equal (fixture->n_requests, CONNECTIONS_MAX);
  assert_int_equal (count (fixture, "full"), 1);
  fixture->answer = true;
  az_http_server_respond (fixture->server, fixture->handles[0], 200, "text/plain", "done\n", 5);
  net_read_until (&fixture->loop, callers[0], "done\n");
  net_read_until (&fixture->loop, callers[CONNECTIONS_MAX], "done\n");
  assert_int_equal (count (fixture, "connections"), 0);
  for (int i = 0; i <= CONNECTIONS_MAX; i++)
    close (callers[i]);
}

/* Guards against callers closed unserved when more connect in one iteration of the loop than there
 * is room for: none is closed before its request was read. */
static void
test_burst_is_served (void **state)
{
  struct fixture *fixture = *state;
  int callers[5 * CONNECTIONS_MAX];

  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      callers[i] = net_connect (az_http_server_local_address (fixture->server));
      net_write (callers[i], "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    }
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      net_read_until (&fixture->loop, callers[i], "done\n");
      close (callers[i]);
    }
  assert_int_equal (fixture->n_requests, G_N_ELEMENTS (callers));
}

/* Guards against memory exhausted by answers that callers don't read, and against a caller that
 * isn't served meanwhile. */
static void
test_unread_answers (void **state)
{
  struct fixture *fixture = *state;
  int callers[CONNECTIONS_MAX];

  fixture->answer_length = sizeof answer_text;
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      callers[i] = connect_caller (fixture);
      net_write (callers[i], "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
      net_run_for (&fixture->loop, 10);
    }
  assert_int_equal (fixture->n_requests, CONNECTIONS_MAX);
  assert_int_equal (count (fixture, "memory"), CONNECTIONS_MAX);
  fixture->answer_length = 5;
  close (callers[0]);
  callers[0] = connect_caller (fixture);
  net_write (callers[0], "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  net_read_until (&fixture->loop, callers[0], "done\n");
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (callers[i]);
}

/* Guards against later requests of a connection without time limits, and a request after "100
 * Continue" without them: libh2o sets its read callback again. */
static void
test_time_limits_apply_to_later_reads (void **state)
{
  struct fixture *fixture = *state;
  int second = connect_caller (fixture);
  int continued = connect_caller (fixture);

  net_write (second, "GET / HTTP/1.1\r\nhost: h\r\n\r\n");
  net_read_until (&fixture->loop, second, "done\n");
  net_run_for (&fixture->loop, 5);
  net_write (second, "GET / HTTP");
  net_write (continued, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
                        "expect: 100-continue\r\n\r\n");
  net_read_until (&fixture->loop, continued, "100 Continue");
  net_write (continued, "ab");
  net_run_for (&fixture->loop, TIMEOUT_MS / 2);
  assert_int_equal (count (fixture, "head-timeout"), 0);
  net_run_for (&fixture->loop, TIMEOUT_MS);
  assert_true (net_is_closed (&fixture->loop, second));
  assert_int_equal (count (fixture, "head-timeout"), 1);
  assert_int_equal (count (fixture, "body-timeout"), 0);
  net_run_for (&fixture->loop, TIMEOUT_MS);
  assert_true (net_is_closed (&fixture->loop, continued));
  assert_int_equal (count (fixture, "body-timeout"), 1);
  assert_int_equal (fixture->n_requests, 1);
  close (second);
  close (continued);
}

/* Guards against closing the connection of a caller whose request arrived while the process was
 * paused. */
static void
test_time_limits_allow_for_a_pause (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  net_write (caller, "GET / HTTP/1.1\r\nhost:");
  net_run_for (&fixture->loop, 10);
  net_write (caller, " h\r\n\r\n");
  uv_sleep (PAUSE_MS);
  net_read_until (&fixture->loop, caller, "done\n");
  close (caller);
}

/* Guards against a request with "100 Continue" that is cut although it is complete in time. */
static void
test_continued_request_is_served (void **state)
{
  struct fixture *fixture = *state;
  int caller = connect_caller (fixture);

  net_write (caller, "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n"
                     "expect: 100-continue\r\n\r\n");
  net_read_until (&fixture->loop, caller, "100 Continue");
  net_write (caller, "abcd");
  net_read_until (&fixture->loop, caller, "done\n");
  assert_int_equal (fixture->last_body_length, 4);
  close (caller);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_clients_inside_the_limits_are_served),
    TEST (test_request_in_progress_is_not_cut),
    TEST (test_idle_connection_gives_room),
    TEST (test_full_listener_pauses),
    TEST (test_burst_is_served),
    TEST (test_unread_answers),
    TEST (test_time_limits_apply_to_later_reads),
    TEST (test_time_limits_allow_for_a_pause),
    TEST (test_continued_request_is_served),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
