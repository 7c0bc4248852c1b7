#include "azurerock/rpc.h"
#include "net/address.h"
#include "net/broken_pipe.h"
#include "net/http_limits.h"
#include "net/rpc_admission.h"
#include "net/rpc_connection.h"
#include <string.h>

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
  az_rpc_limits_destroy (rpc->limits);
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
  az_rpc_admission_polled (check->data);
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
  rpc->limits = az_rpc_limits_create ();
  rpc->budget.bytes_max = az_http_limits_get ()->peer_buffer_bytes;
  az_rpc_admission_open (rpc);
  uv_prepare_init (loop, &rpc->prepare);
  uv_check_init (loop, &rpc->check);
  uv_timer_init (loop, &rpc->connect_timer);
  rpc->prepare.data = rpc->check.data = rpc->connect_timer.data = rpc;
  rpc->n_open_handles = 5;
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
  az_rpc_admission_close (rpc);
  uv_close ((uv_handle_t *)&rpc->prepare, on_handle_closed);
  uv_close ((uv_handle_t *)&rpc->check, on_handle_closed);
  uv_close ((uv_handle_t *)&rpc->connect_timer, on_handle_closed);
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
  int status;

  if (!az_address_parse (address, &bound))
    return set_error (error, address, "not a numeric address and port");
  status = az_listener_open (rpc->listener, &bound);
  if (status < 0)
    return set_error (error, address, uv_strerror (status));
  g_free (rpc->local_address);
  rpc->local_address = az_address_format (&bound);
  /* Keeps the loop alive while the listener is closed for want of descriptors. */
  uv_ref ((uv_handle_t *)&rpc->limit_timer);
  return true;
}

void
az_rpc_set_counters (struct az_rpc *rpc, struct az_counters *counters)
{
  az_rpc_limits_set_counters (rpc->limits, counters);
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
