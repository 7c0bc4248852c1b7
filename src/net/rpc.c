#include "azurerock/rpc.h"
#include "net/address.h"
#include "net/broken_pipe.h"
#include "net/rpc_connection.h"
#include <string.h>

#define BACKLOG 1024

/* The kernel retries a connection attempt for two minutes. Shorter attempts detect sooner that a
 * network partition has healed. */
#define CONNECT_TIMEOUT_MS 2000

/* Pending connection attempts are checked this often within one timeout. */
#define CONNECT_CHECKS_PER_TIMEOUT 4

GQuark
az_rpc_error_quark (void)
{
  return g_quark_from_static_string ("az-rpc-error-quark");
}

void
az_rpc_release_handle (struct az_rpc *rpc)
{
  if (--rpc->n_open_handles > 0 || !rpc->destroyed)
    return;
  az_table_rows_destroy (rpc->connections);
  g_ptr_array_unref (rpc->dirty);
  g_free (rpc->local_address);
  g_free (rpc->read_buffer);
  g_free (rpc);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  az_rpc_release_handle (handle->data);
}

static struct az_rpc_connection *
get_connection (const struct az_rpc *rpc, uint32_t handle)
{
  struct az_rpc_connection **row = az_table_rows_get (rpc->connections, handle);

  return row ? *row : NULL;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  az_rpc_flush (prepare->data);
}

static void
on_check (uv_check_t *check)
{
  az_rpc_flush (check->data);
}

static void
close_timed_out_attempts (uv_timer_t *timer)
{
  struct az_rpc *rpc = timer->data;
  uint32_t handle = az_table_rows_next (rpc->connections, 0);

  while (handle)
    {
      struct az_rpc_connection *connection = get_connection (rpc, handle);

      handle = az_table_rows_next (rpc->connections, handle);
      if (connection->state == AZ_RPC_CONNECTING
          && uv_now (rpc->loop) - connection->connect_started_ms > rpc->connect_timeout_ms)
        az_rpc_connection_close (connection, "connection attempt timed out");
    }
}

void
az_rpc_set_connect_timeout (struct az_rpc *rpc, uint64_t timeout_ms)
{
  uint64_t check_ms = MAX (timeout_ms / CONNECT_CHECKS_PER_TIMEOUT, 1);

  rpc->connect_timeout_ms = timeout_ms;
  uv_timer_start (&rpc->connect_timer, close_timed_out_attempts, check_ms, check_ms);
}

struct az_rpc *
az_rpc_create (uv_loop_t *loop, const struct az_rpc_handlers *handlers)
{
  struct az_rpc *rpc = g_new0 (struct az_rpc, 1);

  rpc->loop = loop;
  az_broken_pipe_ignore ();
  rpc->handlers = *handlers;
  rpc->connections = az_table_rows_create (sizeof (struct az_rpc_connection *));
  rpc->dirty = g_ptr_array_new ();
  rpc->read_buffer = g_malloc (AZ_RPC_READ_BUFFER_BYTES);
  uv_tcp_init (loop, &rpc->listener);
  uv_prepare_init (loop, &rpc->prepare);
  uv_check_init (loop, &rpc->check);
  uv_timer_init (loop, &rpc->connect_timer);
  rpc->listener.data = rpc->prepare.data = rpc->check.data = rpc->connect_timer.data = rpc;
  rpc->n_open_handles = 4;
  uv_prepare_start (&rpc->prepare, on_prepare);
  uv_check_start (&rpc->check, on_check);
  az_rpc_set_connect_timeout (rpc, CONNECT_TIMEOUT_MS);
  uv_unref ((uv_handle_t *)&rpc->prepare);
  uv_unref ((uv_handle_t *)&rpc->check);
  uv_unref ((uv_handle_t *)&rpc->connect_timer);
  return rpc;
}

void
az_rpc_destroy (struct az_rpc *rpc)
{
  uint32_t handle;

  if (!rpc)
    return;
  az_rpc_flush (rpc);
  rpc->destroyed = true;
  while ((handle = az_table_rows_next (rpc->connections, 0)))
    az_rpc_connection_close (get_connection (rpc, handle), "stopped");
  uv_close ((uv_handle_t *)&rpc->listener, on_handle_closed);
  uv_close ((uv_handle_t *)&rpc->prepare, on_handle_closed);
  uv_close ((uv_handle_t *)&rpc->check, on_handle_closed);
  uv_close ((uv_handle_t *)&rpc->connect_timer, on_handle_closed);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct az_rpc *rpc = listener->data;
  struct sockaddr_storage peer = { 0 };
  int length = sizeof peer;
  struct az_rpc_connection *connection;

  if (status < 0)
    return;
  connection = az_rpc_connection_create (rpc, NULL, false);
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) < 0)
    {
      az_rpc_connection_close (connection, "accept failed");
      return;
    }
  uv_tcp_getpeername (&connection->tcp, (struct sockaddr *)&peer, &length);
  connection->address = az_address_format (&peer);
  az_rpc_connection_start (connection);
}

static bool
set_error (GError **error, const char *address, const char *reason)
{
  g_set_error (error, AZ_RPC_ERROR, 0, "%s: %s", address, reason);
  return false;
}

bool
az_rpc_listen (struct az_rpc *rpc, const char *address, GError **error)
{
  struct sockaddr_storage bound = { 0 };
  int length = sizeof bound;
  int status;

  if (!az_address_parse (address, &bound))
    return set_error (error, address, "not a numeric address and port");
  status = uv_tcp_bind (&rpc->listener, (struct sockaddr *)&bound, 0);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)&rpc->listener, BACKLOG, on_connection);
  if (status < 0)
    return set_error (error, address, uv_strerror (status));
  uv_tcp_getsockname (&rpc->listener, (struct sockaddr *)&bound, &length);
  g_free (rpc->local_address);
  rpc->local_address = az_address_format (&bound);
  return true;
}

const char *
az_rpc_local_address (const struct az_rpc *rpc)
{
  return rpc->local_address;
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct az_rpc_connection *connection = connect->data;

  if (connection->state == AZ_RPC_CLOSED)
    return;
  if (status < 0)
    az_rpc_connection_close (connection, uv_strerror (status));
  else
    az_rpc_connection_start (connection);
}

void
az_rpc_connect (struct az_rpc *rpc, const char *address)
{
  struct az_rpc_connection *connection = az_rpc_connection_create (rpc, address, true);
  struct sockaddr_storage target;
  int status = UV_EINVAL;

  connection->connect.data = connection;
  if (az_address_parse (address, &target))
    status = uv_tcp_connect (&connection->connect, &connection->tcp, (struct sockaddr *)&target,
                             on_connected);
  /* @connect_failed must not be called from within this function. A start time of 0 makes the
   * connect timer close the connection. */
  if (status < 0)
    connection->connect_started_ms = 0;
}

void
az_rpc_send (struct az_rpc *rpc, uint32_t handle, const struct az_message *message)
{
  struct az_rpc_connection *connection = get_connection (rpc, handle);

  if (connection)
    az_rpc_connection_queue (connection, message);
}

void
az_rpc_close (struct az_rpc *rpc, uint32_t handle, const char *reason)
{
  struct az_rpc_connection *connection = get_connection (rpc, handle);

  if (!connection)
    return;
  az_rpc_connection_flush (connection);
  az_rpc_connection_close (connection, reason);
}

void
az_rpc_flush (struct az_rpc *rpc)
{
  while (rpc->dirty->len > 0)
    {
      struct az_rpc_connection *connection = g_ptr_array_steal_index_fast (rpc->dirty, 0);

      connection->dirty = false;
      az_rpc_connection_flush (connection);
    }
}
