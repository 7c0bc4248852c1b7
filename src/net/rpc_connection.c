#include "net/rpc_connection.h"
#include "azurerock/log.h"
#include "net/rpc_admission.h"
#include "net/rpc_pressure.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define SEND_QUEUE_MAX_BYTES (32u * 1024 * 1024)

/* Closes a connection whose peer doesn't acknowledge data. On a path that silently drops packets,
 * the kernel would hold back queued results for as long as it retransmits. */
#define TCP_USER_TIMEOUT_MS 10000
#define KEEPALIVE_IDLE_S 5

/* Records of peers that haven't identified themselves. A hello takes less than 400 bytes. */
#define HELLO_MAX_BYTES 4096
#define RECORD_LENGTH_MASK 0x7fffffffu

/* Buffers that hold more than this are freed once their data is used. */
#define IDLE_BUFFER_MAX_BYTES 65536

struct az_rpc_connection *
az_rpc_connection_create (struct az_rpc *rpc, const char *address, bool outgoing)
{
  struct az_rpc_connection *connection = g_new0 (struct az_rpc_connection, 1);
  struct az_rpc_connection **row;

  connection->rpc = rpc;
  connection->outgoing = outgoing;
  connection->is_known_to_owner = outgoing;
  connection->address = g_strdup (address);
  connection->unparsed = g_byte_array_new ();
  connection->unsent = g_byte_array_new ();
  connection->connect_started_ms = uv_now (rpc->loop);
  connection->handle = az_table_rows_add (rpc->connections, (void **)&row);
  *row = connection;
  connection->holder.is_known = outgoing;
  az_rpc_budget_add (&rpc->budget, &connection->holder);
  uv_tcp_init (rpc->loop, &connection->tcp);
  connection->tcp.data = connection;
  rpc->n_open_handles++;
  return connection;
}

static void
free_connection (uv_handle_t *handle)
{
  struct az_rpc_connection *connection = handle->data;
  struct az_rpc *rpc = connection->rpc;

  if (connection->state == AZ_RPC_CLOSED && connection->pending_write)
    g_byte_array_unref (connection->pending_write);
  g_byte_array_unref (connection->unparsed);
  g_byte_array_unref (connection->unsent);
  g_free (connection->address);
  g_free (connection);
  az_rpc_release_handle (rpc);
}

void
az_rpc_connection_close (struct az_rpc_connection *connection, const char *reason)
{
  struct az_rpc *rpc = connection->rpc;
  bool was_open = connection->state == AZ_RPC_OPEN;

  if (connection->state == AZ_RPC_CLOSED)
    return;
  connection->state = AZ_RPC_CLOSED;
  az_table_rows_remove (rpc->connections, connection->handle);
  az_rpc_budget_remove (&rpc->budget, &connection->holder);
  az_rpc_admission_forget (connection);
  g_ptr_array_remove_fast (rpc->dirty, connection);
  uv_close ((uv_handle_t *)&connection->tcp, free_connection);
  if (rpc->destroyed || !connection->is_known_to_owner)
    return;
  if (was_open)
    rpc->handlers.closed (rpc->handlers.context, connection->handle, reason);
  else
    rpc->handlers.connect_failed (rpc->handlers.context, connection->address, reason);
}

static void
add_dirty (struct az_rpc_connection *connection)
{
  if (connection->dirty)
    return;
  connection->dirty = true;
  g_ptr_array_add (connection->rpc->dirty, connection);
}

static void
drop_bytes (GByteArray **buffer)
{
  g_byte_array_unref (*buffer);
  *buffer = g_byte_array_new ();
}

void
az_rpc_connection_cut (struct az_rpc_connection *connection, enum az_rpc_cause cause)
{
  struct az_rpc *rpc = connection->rpc;

  if (connection->state == AZ_RPC_CLOSED || connection->holder.is_cut)
    return;
  az_rpc_limits_count (rpc->limits, cause, connection->address);
  connection->cut_cause = cause;
  connection->holder.is_cut = true;
  drop_bytes (&connection->unsent);
  if (!connection->is_parsing)
    drop_bytes (&connection->unparsed);
  az_rpc_budget_update (&rpc->budget, &connection->holder, 0, 0);
  uv_read_stop ((uv_stream_t *)&connection->tcp);
  add_dirty (connection);
}

static void
clear_buffer (GByteArray **buffer)
{
  if ((*buffer)->len <= IDLE_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (*buffer, 0);
      return;
    }
  drop_bytes (buffer);
}

/* A peer is known by its hello, which is its first message. */
static void
note_hello (struct az_rpc_connection *connection, const struct az_message *message)
{
  bool is_hello = message->proc == AZ_HELLO || message->proc == AZ_PEER_HELLO
                  || message->proc == AZ_NODE_HELLO;

  if (is_hello && !connection->holder.is_known)
    az_rpc_admission_identify (connection);
}

/* Length of the record that begins at @data, as its mark states it; 0 if the mark is incomplete. */
static uint32_t
stated_length (const uint8_t *data, size_t length)
{
  uint32_t mark;

  if (length < sizeof mark)
    return 0;
  memcpy (&mark, data, sizeof mark);
  return GUINT32_FROM_BE (mark) & RECORD_LENGTH_MASK;
}

/* Passes the complete records in @data to the owner, which may close the connection from within
 * its callback. Returns the number of bytes consumed. */
static size_t
deliver_records (struct az_rpc_connection *connection, const uint8_t *data, size_t length)
{
  struct az_rpc *rpc = connection->rpc;
  size_t offset = 0;
  GError *error = NULL;
  struct az_message message;

  while (connection->state == AZ_RPC_OPEN && !connection->holder.is_cut)
    {
      gssize record = az_message_record_length (data + offset, length - offset, &error);

      if (record >= 0 && !connection->holder.is_known
          && stated_length (data + offset, length - offset) > HELLO_MAX_BYTES)
        az_rpc_connection_cut (connection, AZ_RPC_CAUSE_HELLO_LENGTH);
      if (connection->holder.is_cut || record <= 0
          || !az_message_decode (data + offset, (size_t)record, &message, &error))
        break;
      note_hello (connection, &message);
      rpc->handlers.received (rpc->handlers.context, connection->handle, &message);
      az_message_clear (&message);
      offset += (size_t)record;
    }
  if (error)
    az_rpc_connection_close (connection, error->message);
  g_clear_error (&error);
  return offset;
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct az_rpc_connection *connection = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (connection->rpc->read_buffer, AZ_RPC_READ_BUFFER_BYTES);
}

void
az_rpc_connection_reserve (struct az_rpc_connection *connection)
{
  GByteArray *former = connection->unparsed;
  guint whole = stated_length (former->data, former->len) + (guint)sizeof (uint32_t);

  if (connection->is_reserved || whole <= former->len)
    return;
  /* A GByteArray that grows would take up to twice as much. */
  connection->unparsed = g_byte_array_new_take (g_malloc (whole), whole);
  g_byte_array_set_size (connection->unparsed, 0);
  g_byte_array_append (connection->unparsed, former->data, former->len);
  connection->is_reserved = true;
  g_byte_array_unref (former);
}

/* Keeps no large buffer for the first bytes of the next record. */
static void
keep_rest (struct az_rpc_connection *connection, guint used)
{
  GByteArray *former = connection->unparsed;

  connection->unparsed = g_byte_array_new ();
  g_byte_array_append (connection->unparsed, former->data + used, former->len - used);
  g_byte_array_unref (former);
}

static void
process_bytes (struct az_rpc_connection *connection, const uint8_t *data, size_t length)
{
  size_t used;

  if (connection->unparsed->len == 0)
    {
      used = deliver_records (connection, data, length);
      g_byte_array_append (connection->unparsed, data + used, (guint)(length - used));
      return;
    }
  g_byte_array_append (connection->unparsed, data, (guint)length);
  connection->is_parsing = true;
  used = deliver_records (connection, connection->unparsed->data, connection->unparsed->len);
  connection->is_parsing = false;
  connection->is_reserved = connection->is_reserved && used == 0;
  if (used == connection->unparsed->len)
    clear_buffer (&connection->unparsed);
  else if (used > 0)
    keep_rest (connection, (guint)used);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct az_rpc_connection *connection = stream->data;

  if (length < 0)
    {
      az_rpc_connection_close (connection, uv_strerror ((int)length));
      return;
    }
  connection->holder.in.moved += (size_t)length;
  process_bytes (connection, (const uint8_t *)buffer->base, (size_t)length);
  az_rpc_pressure_update (connection);
  az_rpc_pressure_limit_reading (connection);
}

void
az_rpc_connection_read (struct az_rpc_connection *connection)
{
  uv_read_start ((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

static void
set_socket_options (struct az_rpc_connection *connection)
{
  unsigned timeout_ms = TCP_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&connection->tcp, 1);
  uv_tcp_keepalive (&connection->tcp, 1, KEEPALIVE_IDLE_S);
  if (uv_fileno ((uv_handle_t *)&connection->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

void
az_rpc_connection_start (struct az_rpc_connection *connection)
{
  struct az_rpc *rpc = connection->rpc;

  set_socket_options (connection);
  connection->state = AZ_RPC_OPEN;
  connection->is_known_to_owner = true;
  az_rpc_connection_read (connection);
  rpc->handlers.opened (rpc->handlers.context, connection->handle, connection->outgoing,
                        connection->address);
}

static void
on_written (uv_write_t *write, int status)
{
  struct az_rpc_connection *connection = write->data;

  if (connection->state == AZ_RPC_CLOSED)
    return;
  az_rpc_pressure_observe_write (connection);
  g_byte_array_unref (connection->pending_write);
  connection->pending_write = NULL;
  az_rpc_pressure_update (connection);
  if (status < 0)
    az_rpc_connection_close (connection, uv_strerror (status));
  else
    az_rpc_connection_flush (connection);
}

static void
write_remaining (struct az_rpc_connection *connection, size_t offset)
{
  uv_buf_t rest;
  int status;

  connection->pending_write = connection->unsent;
  connection->unsent = g_byte_array_new ();
  rest = uv_buf_init ((char *)connection->pending_write->data + offset,
                      (unsigned)(connection->pending_write->len - offset));
  connection->write.data = connection;
  status = uv_write (&connection->write, (uv_stream_t *)&connection->tcp, &rest, 1, on_written);
  connection->write_queue_bytes = uv_stream_get_write_queue_size ((uv_stream_t *)&connection->tcp);
  if (status < 0)
    az_rpc_connection_close (connection, uv_strerror (status));
}

void
az_rpc_connection_flush (struct az_rpc_connection *connection)
{
  uv_buf_t all;
  int written;

  if (connection->holder.is_cut)
    az_rpc_connection_close (connection, az_rpc_limits_reason (connection->cut_cause));
  if (connection->state != AZ_RPC_OPEN || connection->unsent->len == 0 || connection->pending_write)
    return;
  all = uv_buf_init ((char *)connection->unsent->data, connection->unsent->len);
  written = uv_try_write ((uv_stream_t *)&connection->tcp, &all, 1);
  if (written == (int)connection->unsent->len)
    clear_buffer (&connection->unsent);
  else if (written >= 0 || written == UV_EAGAIN)
    write_remaining (connection, written > 0 ? (size_t)written : 0);
  else
    az_rpc_connection_close (connection, uv_strerror (written));
  connection->holder.out.moved += written > 0 ? (size_t)written : 0;
  az_rpc_pressure_update (connection);
}

void
az_rpc_connection_queue (struct az_rpc_connection *connection, const struct az_message *message)
{
  GError *error = NULL;

  if (connection->state != AZ_RPC_OPEN || connection->holder.is_cut)
    return;
  if (!az_message_encode (message, connection->next_xid++, connection->unsent, &error))
    {
      az_log (LOG_ERR, "message to %s dropped: %s", connection->address, error->message);
      g_error_free (error);
      return;
    }
  if (connection->unsent->len + (connection->pending_write ? connection->pending_write->len : 0)
      > SEND_QUEUE_MAX_BYTES)
    az_rpc_connection_cut (connection, AZ_RPC_CAUSE_UNREAD);
  az_rpc_pressure_update (connection);
  add_dirty (connection);
}
