#include "azurerock/http_limits.h"
#include "azurerock/rpc.h"
#include "net_testing.h"
#include "testing.h"
#include <errno.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_SESSIONS 300
#define UNKNOWN_MAX 64
#define HELLO_MAX 4096
#define HELLO_TIMEOUT_MS 5000
#define DESCRIPTORS 1024
#define PAUSE_CHECK_MS 300
#define ITERATIONS_MAX 30

struct fixture
{
  uv_loop_t loop;
  uv_prepare_t prepare;
  int n_iterations;
  struct rlimit descriptors;
  struct az_counters *counters;
  struct az_rpc *server;
  int opened;
  int closed;
  int received;
  int n_reports;
  int peers[N_SESSIONS];
  int n_peers;
};

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct fixture *fixture = context;

  fixture->opened++;
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct fixture *fixture = context;

  fixture->received++;
  if (message->proc == AZ_NODE_REPORT)
    fixture->n_reports++;
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct fixture *fixture = context;

  fixture->closed++;
}

static void
on_connect_failed (void *context, const char *address, const char *reason)
{
}

static void
on_prepare (uv_prepare_t *prepare)
{
  struct fixture *fixture = prepare->data;

  fixture->n_iterations++;
}

static void
count_iterations (struct fixture *fixture)
{
  uv_prepare_init (&fixture->loop, &fixture->prepare);
  fixture->prepare.data = fixture;
  uv_prepare_start (&fixture->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&fixture->prepare);
}

/* A gateway with 120 MB, the smallest machine that is documented. */
static int
setup (void **state)
{
  const struct az_http_limit_options limits = { .memory_mb = 120 };
  struct fixture *fixture = g_new0 (struct fixture, 1);
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_connect_failed, fixture };
  struct rlimit descriptors;

  getrlimit (RLIMIT_NOFILE, &fixture->descriptors);
  descriptors = fixture->descriptors;
  descriptors.rlim_cur = MIN (descriptors.rlim_max, DESCRIPTORS);
  setrlimit (RLIMIT_NOFILE, &descriptors);
  uv_loop_init (&fixture->loop);
  count_iterations (fixture);
  fixture->counters = az_counters_create ();
  az_http_limits_set (&limits, NULL);
  fixture->server = az_rpc_create (&fixture->loop, &handlers);
  az_rpc_set_counters (fixture->server, fixture->counters);
  assert_true (az_rpc_listen (fixture->server, "127.0.0.1:0", NULL));
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < fixture->n_peers; i++)
    close (fixture->peers[i]);
  az_rpc_destroy (fixture->server);
  uv_close ((uv_handle_t *)&fixture->prepare, NULL);
  net_close_loop (&fixture->loop);
  az_counters_destroy (fixture->counters);
  setrlimit (RLIMIT_NOFILE, &fixture->descriptors);
  g_free (fixture);
  return 0;
}

static void
on_timer (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

/* Returns the number of iterations in PAUSE_CHECK_MS, in which the loop waits for events. */
static int
iterations_of_pause (struct fixture *fixture)
{
  bool is_over = false;
  uv_timer_t timer = { .data = &is_over };

  uv_timer_init (&fixture->loop, &timer);
  uv_timer_start (&timer, on_timer, PAUSE_CHECK_MS, 0);
  fixture->n_iterations = 0;
  while (!is_over)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&fixture->loop, UV_RUN_NOWAIT);
  return fixture->n_iterations;
}

static int
count (const struct fixture *fixture, const char *cause)
{
  g_autofree char *name = g_strdup_printf ("azurerock_rpc_limited_total{cause=\"%s\"}", cause);

  return (int)az_counters_get (fixture->counters,
                               az_counters_register (fixture->counters, name, ""));
}

static int
connect_peer (struct fixture *fixture)
{
  int peer = net_connect (az_rpc_local_address (fixture->server));

  fixture->peers[fixture->n_peers++] = peer;
  return peer;
}

static GByteArray *
encode (const struct az_message *message)
{
  GByteArray *record = g_byte_array_new ();

  assert_true (az_message_encode (message, 1, record, NULL));
  return record;
}

static GByteArray *
encode_hello (void)
{
  struct az_message hello = { .proc = AZ_NODE_HELLO };

  hello.az_message_u.node_hello.instance = (char *)"i";
  hello.az_message_u.node_hello.domain = (char *)"d";
  hello.az_message_u.node_hello.address = (char *)"";
  return encode (&hello);
}

static GByteArray *
encode_largest_report (void)
{
  static struct az_task_event events[AZ_MAX_RUN];
  static struct az_task_progress progress[AZ_MAX_RUN];
  struct az_message message = { .proc = AZ_NODE_REPORT };

  message.az_message_u.node_report.events.events_len = AZ_MAX_RUN;
  message.az_message_u.node_report.events.events_val = events;
  message.az_message_u.node_report.progress.progress_len = AZ_MAX_RUN;
  message.az_message_u.node_report.progress.progress_val = progress;
  return encode (&message);
}

/* Sends all, and runs the loop when the socket takes no more. */
static void
send_all (struct fixture *fixture, int peer, const uint8_t *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (peer, data, length, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (sent < 0)
        {
          assert_true (errno == EAGAIN);
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
          continue;
        }
      data += sent;
      length -= (size_t)sent;
    }
}

static void
send_hello (struct fixture *fixture, int peer)
{
  g_autoptr (GByteArray) hello = encode_hello ();

  send_all (fixture, peer, hello->data, hello->len);
}

/* Guards against peers closed by the limit of unknown connections, when all of them connect at
 * once after a restart of the process. */
static void
test_many_peers_at_once (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < N_SESSIONS; i++)
    send_hello (fixture, connect_peer (fixture));
  net_run_until (&fixture->loop, &fixture->received, N_SESSIONS);
  net_run_for (&fixture->loop, 50);
  assert_int_equal (fixture->opened, N_SESSIONS);
  assert_int_equal (fixture->closed, 0);
}

/* Guards against a session closed for its bytes, and against messages lost or never read, when all
 * sessions send the largest report at once and more than the budget is incomplete. */
static void
test_largest_messages_of_many_sessions (void **state)
{
  struct fixture *fixture = *state;
  g_autoptr (GByteArray) report = encode_largest_report ();
  guint half = report->len / 2;

  assert_true ((size_t)half * N_SESSIONS > (size_t)30 << 20);
  for (int i = 0; i < N_SESSIONS; i++)
    send_hello (fixture, connect_peer (fixture));
  net_run_until (&fixture->loop, &fixture->received, N_SESSIONS);
  for (int i = 0; i < N_SESSIONS; i++)
    send_all (fixture, fixture->peers[i], report->data, half);
  net_run_for (&fixture->loop, 500);
  for (int i = 0; i < N_SESSIONS; i++)
    send_all (fixture, fixture->peers[i], report->data + half, report->len - half);
  net_run_until (&fixture->loop, &fixture->n_reports, N_SESSIONS);
  assert_int_equal (fixture->closed, 0);
}

/* Guards against new peers shut out by connections that never identify themselves, and against
 * more of these than the limit. */
static void
test_silent_connections_make_room (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < UNKNOWN_MAX + 10; i++)
    connect_peer (fixture);
  net_run_for (&fixture->loop, 50);
  assert_int_equal (fixture->opened, UNKNOWN_MAX);
  assert_int_equal (fixture->closed, 0);
  send_hello (fixture, connect_peer (fixture));
  net_run_until (&fixture->loop, &fixture->received, 1);
  assert_int_equal (count (fixture, "connections"), 11);
  assert_int_equal (fixture->opened - fixture->closed, UNKNOWN_MAX);
}

/* Guards against connections that stay without a hello, and against one closed whose hello came in
 * time while the process was paused. */
static void
test_time_of_the_hello (void **state)
{
  struct fixture *fixture = *state;
  int peer = connect_peer (fixture);

  connect_peer (fixture);
  net_run_until (&fixture->loop, &fixture->opened, 2);
  send_hello (fixture, peer);
  g_usleep ((HELLO_TIMEOUT_MS + 100) * 1000);
  net_run_until (&fixture->loop, &fixture->closed, 1);
  net_run_for (&fixture->loop, 250);
  assert_int_equal (fixture->received, 1);
  assert_int_equal (fixture->closed, 1);
  assert_int_equal (count (fixture, "hello-timeout"), 1);
}

static void
send_mark (struct fixture *fixture, int peer, uint32_t length)
{
  uint32_t mark = GUINT32_TO_BE (0x80000000u | length);

  send_all (fixture, peer, (const uint8_t *)&mark, sizeof mark);
}

/* Guards against long records of unknown peers, and against the limit applied to known ones. */
static void
test_length_of_the_first_record (void **state)
{
  struct fixture *fixture = *state;
  int known = connect_peer (fixture);

  send_hello (fixture, known);
  net_run_until (&fixture->loop, &fixture->received, 1);
  send_mark (fixture, known, AZ_RECORD_MAX);
  send_mark (fixture, connect_peer (fixture), HELLO_MAX);
  net_run_for (&fixture->loop, 50);
  assert_int_equal (fixture->closed, 0);
  send_mark (fixture, connect_peer (fixture), HELLO_MAX + 1);
  net_run_until (&fixture->loop, &fixture->closed, 1);
  assert_int_equal (count (fixture, "hello-length"), 1);
}

/* Guards against an event loop that tries to accept without end when the system has no descriptor,
 * and against a listener that stays closed afterwards. */
static void
test_no_descriptor_left (void **state)
{
  struct fixture *fixture = *state;
  struct rlimit limit = { .rlim_cur = 3, .rlim_max = fixture->descriptors.rlim_max };
  struct rlimit former;

  connect_peer (fixture);
  getrlimit (RLIMIT_NOFILE, &former);
  setrlimit (RLIMIT_NOFILE, &limit);
  assert_in_range (iterations_of_pause (fixture), 0, ITERATIONS_MAX);
  assert_int_equal (fixture->opened, 0);
  setrlimit (RLIMIT_NOFILE, &former);
  net_run_for (&fixture->loop, PAUSE_CHECK_MS);
  /* The connections that waited may have been reset. */
  send_hello (fixture, connect_peer (fixture));
  net_run_until (&fixture->loop, &fixture->received, 1);
}

/* Guards against the last descriptors taken by peers, which the process needs for its store. */
static void
test_some_descriptors_stay_free (void **state)
{
  struct fixture *fixture = *state;
  int n_filler = 0;
  int filler[DESCRIPTORS];
  int peer;

  peer = connect_peer (fixture);
  do
    filler[n_filler] = dup (0);
  while (filler[n_filler++] < DESCRIPTORS - 9);
  assert_in_range (iterations_of_pause (fixture), 0, ITERATIONS_MAX);
  assert_int_equal (fixture->opened, 0);
  assert_int_equal (count (fixture, "descriptors"), 1);
  assert_true (net_is_closed (&fixture->loop, peer));
  for (int i = 0; i < n_filler; i++)
    close (filler[i]);
  send_hello (fixture, connect_peer (fixture));
  net_run_until (&fixture->loop, &fixture->received, 1);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_many_peers_at_once),           TEST (test_largest_messages_of_many_sessions),
    TEST (test_silent_connections_make_room), TEST (test_time_of_the_hello),
    TEST (test_length_of_the_first_record),   TEST (test_no_descriptor_left),
    TEST (test_some_descriptors_stay_free),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
