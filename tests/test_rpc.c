#include "azurerock/rpc.h"
#include "net_testing.h"
#include "testing.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct endpoint
{
  struct az_rpc *rpc;
  int opened;
  int received;
  int closed;
  int n_connect_failed;
  uint32_t connection;
  uint32_t last_waiting;
  char reason[128];
  bool echo;
  bool close_on_message;
};

struct fixture
{
  uv_loop_t loop;
  struct endpoint server;
  struct endpoint client;
};

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct endpoint *endpoint = context;

  assert_non_null (strchr (address, ':'));
  endpoint->opened++;
  endpoint->connection = connection;
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct endpoint *endpoint = context;

  endpoint->received++;
  assert_int_equal (message->proc, AZ_DEMAND);
  endpoint->last_waiting = message->az_message_u.demand.waiting;
  if (endpoint->echo)
    az_rpc_send (endpoint->rpc, connection, message);
  if (endpoint->close_on_message)
    az_rpc_close (endpoint->rpc, connection, "test");
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct endpoint *endpoint = context;

  assert_int_equal (connection, endpoint->connection);
  endpoint->closed++;
  g_strlcpy (endpoint->reason, reason, sizeof endpoint->reason);
}

static void
on_connect_failed (void *context, const char *address, const char *reason)
{
  struct endpoint *endpoint = context;

  endpoint->n_connect_failed++;
}

static void
create_endpoint (struct fixture *fixture, struct endpoint *endpoint)
{
  struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_connect_failed, endpoint };

  endpoint->rpc = az_rpc_create (&fixture->loop, &handlers);
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  uv_loop_init (&fixture->loop);
  create_endpoint (fixture, &fixture->server);
  create_endpoint (fixture, &fixture->client);
  assert_true (az_rpc_listen (fixture->server.rpc, "127.0.0.1:0", NULL));
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_rpc_destroy (fixture->client.rpc);
  az_rpc_destroy (fixture->server.rpc);
  net_close_loop (&fixture->loop);
  g_free (fixture);
  return 0;
}

static void
connect_endpoints (struct fixture *fixture)
{
  az_rpc_connect (fixture->client.rpc, az_rpc_local_address (fixture->server.rpc));
  assert_int_equal (fixture->client.opened, 0);
  net_run_until (&fixture->loop, &fixture->client.opened, 1);
  net_run_until (&fixture->loop, &fixture->server.opened, 1);
}

static struct az_message
demand (uint32_t waiting)
{
  struct az_message message = { .proc = AZ_DEMAND };

  message.az_message_u.demand.waiting = waiting;
  return message;
}

static void
send_demands (struct endpoint *endpoint, uint32_t count)
{
  for (uint32_t i = 1; i <= count; i++)
    {
      struct az_message message = demand (i);

      az_rpc_send (endpoint->rpc, endpoint->connection, &message);
    }
}

/* Guards against lost, duplicated or reordered messages when many are sent with one write. */
static void
test_messages_both_ways (void **state)
{
  struct fixture *fixture = *state;

  connect_endpoints (fixture);
  fixture->server.echo = true;
  send_demands (&fixture->client, 20000);
  net_run_until (&fixture->loop, &fixture->client.received, 20000);
  assert_int_equal (fixture->client.received, 20000);
  assert_int_equal (fixture->client.last_waiting, 20000);
  assert_int_equal (fixture->server.received, 20000);
}

/* Guards against records that are not delivered because they are split across reads. */
static void
test_record_larger_than_a_read (void **state)
{
  struct fixture *fixture = *state;
  struct az_message message = { .proc = AZ_DEMAND };
  GByteArray *record = g_byte_array_new ();
  int raw_socket;

  raw_socket = net_connect (az_rpc_local_address (fixture->server.rpc));
  for (uint32_t i = 1; i <= 3000; i++)
    {
      message = demand (i);
      assert_true (az_message_encode (&message, i, record, NULL));
    }
  for (guint offset = 0; offset < record->len;)
    {
      ssize_t sent = send (raw_socket, record->data + offset, MIN (record->len - offset, 777), 0);

      assert_true (sent > 0);
      offset += (guint)sent;
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  net_run_until (&fixture->loop, &fixture->server.received, 3000);
  assert_int_equal (fixture->server.last_waiting, 3000);
  g_byte_array_unref (record);
  close (raw_socket);
  net_run_until (&fixture->loop, &fixture->server.closed, 1);
}

/* Guards against failed connection attempts that are not reported, so that an entry would retry at
 * once or never. They must not be reported from within az_rpc_connect(). */
static void
test_refused_connections (void **state)
{
  struct fixture *fixture = *state;
  char address[32];

  close (net_listen (address));
  az_rpc_connect (fixture->client.rpc, address);
  az_rpc_connect (fixture->client.rpc, "not an address");
  assert_int_equal (fixture->client.n_connect_failed, 0);
  net_run_until (&fixture->loop, &fixture->client.n_connect_failed, 2);
  assert_int_equal (fixture->client.opened, 0);
  assert_int_equal (fixture->client.closed, 0);
}

/* Guards against a malformed record that closes other connections than its own. */
static void
test_malformed_record_closes_its_connection_only (void **state)
{
  struct fixture *fixture = *state;
  struct endpoint *server = &fixture->server;
  uint32_t valid_connection;
  int raw_socket;

  connect_endpoints (fixture);
  valid_connection = server->connection;
  raw_socket = net_connect (az_rpc_local_address (server->rpc));
  net_run_until (&fixture->loop, &server->opened, 2);
  net_write (raw_socket, "GET / HTTP/1.1\r\n\r\n");
  net_run_until (&fixture->loop, &server->closed, 1);
  assert_true (server->reason[0]);
  assert_true (net_is_closed (&fixture->loop, raw_socket));
  close (raw_socket);
  server->connection = valid_connection;
  send_demands (&fixture->client, 1);
  net_run_until (&fixture->loop, &server->received, 1);
}

/* Guards against using a connection after its owner closed it from within the callback for a
 * message. */
static void
test_close_from_message_handler (void **state)
{
  struct fixture *fixture = *state;

  connect_endpoints (fixture);
  fixture->server.close_on_message = true;
  send_demands (&fixture->client, 10);
  net_run_until (&fixture->loop, &fixture->client.closed, 1);
  assert_int_equal (fixture->server.received, 1);
  assert_int_equal (fixture->server.closed, 1);
  assert_string_equal (fixture->server.reason, "test");
  send_demands (&fixture->client, 1);
}

/* Guards against unbounded memory use for a peer that doesn't read. */
static void
test_send_queue_is_bounded (void **state)
{
  struct fixture *fixture = *state;
  static char document[AZ_MAX_CONFIG];
  struct az_message message = { .proc = AZ_CONFIG };
  char address[32];
  int listener = net_listen (address);
  int peer;

  message.az_message_u.config.document.document_len = sizeof document;
  message.az_message_u.config.document.document_val = document;
  az_rpc_connect (fixture->client.rpc, address);
  net_run_until (&fixture->loop, &fixture->client.opened, 1);
  peer = net_accept (&fixture->loop, listener);
  for (int i = 0; i < 60 && !fixture->client.closed; i++)
    {
      az_rpc_send (fixture->client.rpc, fixture->client.connection, &message);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (fixture->client.closed, 1);
  assert_string_equal (fixture->client.reason, "peer doesn't read");
  close (peer);
  close (listener);
}

/* Guards against start-up errors that don't name the address. */
static void
test_listen_errors (void **state)
{
  struct fixture *fixture = *state;
  GError *error = NULL;

  assert_false (az_rpc_listen (fixture->client.rpc, "localhost:1", &error));
  assert_non_null (strstr (error->message, "localhost:1"));
  g_clear_error (&error);
  assert_false (
      az_rpc_listen (fixture->client.rpc, az_rpc_local_address (fixture->server.rpc), &error));
  g_clear_error (&error);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_messages_both_ways),
    TEST (test_record_larger_than_a_read),
    TEST (test_refused_connections),
    TEST (test_malformed_record_closes_its_connection_only),
    TEST (test_close_from_message_handler),
    TEST (test_send_queue_is_bounded),
    TEST (test_listen_errors),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
