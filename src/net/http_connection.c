#include "net/http_connection.h"
#include "net/http_limits.h"

#define READ_BUFFER_BYTES 65536

struct az_http_connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct az_http_connection_owner owner;
  struct az_http_exchange *exchange; /* NULL while idle */
  GByteArray *pending_write;         /* request that uv_write() has not finished, or NULL */
  struct az_http_reader reader;
  size_t held_bytes; /* part of @response_bytes */
  bool is_open;
  bool is_refused;
  bool is_closing;
};

/* Bytes of the responses that all connections of the process are reading. */
static size_t response_bytes;

static void
set_held_bytes (struct az_http_connection *connection, size_t bytes)
{
  response_bytes += bytes - connection->held_bytes;
  connection->held_bytes = bytes;
}

static void
free_connection (uv_handle_t *handle)
{
  struct az_http_connection *connection = handle->data;
  struct az_http_connection_owner owner = connection->owner;

  if (connection->pending_write)
    g_byte_array_unref (connection->pending_write);
  if (connection->reader.data)
    g_byte_array_unref (connection->reader.data);
  g_free (connection);
  owner.freed (owner.context);
}

void
az_http_connection_drop (struct az_http_connection *connection)
{
  if (connection->is_closing)
    return;
  connection->is_closing = true;
  set_held_bytes (connection, 0);
  uv_close ((uv_handle_t *)&connection->tcp, free_connection);
}

bool
az_http_connection_is_open (const struct az_http_connection *connection)
{
  return connection->is_open;
}

bool
az_http_connection_is_refused (const struct az_http_connection *connection)
{
  return connection->is_refused;
}

static void
close_connection (struct az_http_connection *connection, const char *reason)
{
  const struct az_http_connection_owner *owner = &connection->owner;
  struct az_http_exchange *exchange = connection->exchange;

  if (connection->is_closing)
    return;
  connection->exchange = NULL;
  az_http_connection_drop (connection);
  owner->closed (owner->context, connection, exchange, reason);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  /* The loop is single-threaded and libuv calls on_read() right after this, so all connections
     share one buffer. */
  static char read_buffer[READ_BUFFER_BYTES];

  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (read_buffer, sizeof read_buffer);
}

static void
finish_response (struct az_http_connection *connection, bool is_reusable)
{
  const struct az_http_connection_owner *owner = &connection->owner;
  struct az_http_exchange *exchange = connection->exchange;

  connection->exchange = NULL;
  /* If the response arrives before the request is written completely, the rest of the request would
     be sent ahead of the next one. */
  is_reusable = is_reusable && !connection->pending_write;
  if (!is_reusable)
    az_http_connection_drop (connection);
  set_held_bytes (connection, 0);
  owner->answered (owner->context, exchange, &connection->reader);
  az_http_reader_reset (&connection->reader, false);
  if (is_reusable && !connection->is_closing)
    owner->idle (owner->context, connection, false);
  else if (!is_reusable)
    owner->closed (owner->context, connection, NULL, "connection not kept alive");
}

static bool
is_over_limit (struct az_http_connection *connection)
{
  set_held_bytes (connection, connection->reader.data->len);
  return response_bytes > az_http_limits_get ()->response_buffer_bytes;
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct az_http_connection *connection = stream->data;
  enum az_http_progress progress;

  if (connection->is_closing || length == 0)
    return;
  if (!connection->exchange)
    {
      close_connection (connection,
                        length < 0 ? uv_strerror ((int)length) : "data received without a request");
      return;
    }
  if (length < 0)
    progress = length == UV_EOF ? az_http_reader_end (&connection->reader) : AZ_HTTP_MALFORMED;
  else
    progress = az_http_reader_append (&connection->reader, buffer->base, (size_t)length);
  if (progress == AZ_HTTP_COMPLETE)
    finish_response (connection, connection->reader.keep_alive && length > 0);
  else if (progress == AZ_HTTP_MALFORMED)
    close_connection (connection,
                      length < 0 ? "connection closed before the response" : "malformed response");
  else if (is_over_limit (connection))
    close_connection (connection, "the responses that are read exceed the memory for them");
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct az_http_connection *connection = connect->data;

  if (connection->is_closing)
    return;
  if (status < 0)
    {
      connection->is_refused = status == UV_ECONNREFUSED;
      close_connection (connection, uv_strerror (status));
      return;
    }
  connection->is_open = true;
  uv_tcp_nodelay (&connection->tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->tcp, on_allocate, on_read);
  connection->owner.idle (connection->owner.context, connection, true);
}

/* Close callback of a connection for which uv_tcp_connect() failed. */
static void
report_connect_failure (uv_handle_t *handle)
{
  struct az_http_connection *connection = handle->data;

  connection->owner.closed (connection->owner.context, connection, NULL, "cannot connect");
  free_connection (handle);
}

struct az_http_connection *
az_http_connection_create (const struct az_http_connection_owner *owner)
{
  struct az_http_connection *connection = g_new0 (struct az_http_connection, 1);
  int status;

  connection->owner = *owner;
  connection->tcp.data = connection;
  connection->connect.data = connection;
  connection->write.data = connection;
  uv_tcp_init (owner->loop, &connection->tcp);
  connection->tcp.data = connection;
  status = uv_tcp_connect (&connection->connect, &connection->tcp, owner->target, on_connected);
  if (status < 0)
    {
      connection->is_closing = true;
      uv_close ((uv_handle_t *)&connection->tcp, report_connect_failure);
    }
  return connection;
}

static void
on_written (uv_write_t *write, int status)
{
  struct az_http_connection *connection = write->data;

  if (connection->is_closing)
    return;
  g_clear_pointer (&connection->pending_write, g_byte_array_unref);
  if (status < 0)
    close_connection (connection, uv_strerror (status));
}

bool
az_http_connection_send (struct az_http_connection *connection, struct az_http_exchange *exchange)
{
  GByteArray *request = exchange->request;
  uv_buf_t all = uv_buf_init ((char *)request->data, request->len);
  int written = uv_try_write ((uv_stream_t *)&connection->tcp, &all, 1);
  uv_buf_t rest;

  if (written < 0)
    return false;
  connection->exchange = exchange;
  exchange->connection = connection;
  az_http_reader_reset (&connection->reader, exchange->is_head);
  if (written == (int)request->len)
    return true;
  connection->pending_write = g_byte_array_ref (request);
  rest = uv_buf_init (all.base + written, (unsigned)(request->len - (size_t)written));
  /* If this fails, the rest is not sent, and the request ends with AZ_HTTP_LOST at its deadline. */
  if (uv_write (&connection->write, (uv_stream_t *)&connection->tcp, &rest, 1, on_written) < 0)
    g_clear_pointer (&connection->pending_write, g_byte_array_unref);
  return true;
}
