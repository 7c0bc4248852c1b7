#ifndef AZUREROCK_NET_RPC_CONNECTION_H
#define AZUREROCK_NET_RPC_CONNECTION_H

#include "azurerock/rpc.h"
#include "azurerock/table.h"
#include <glib.h>

#define AZ_RPC_READ_BUFFER_BYTES 65536

enum az_rpc_state
{
  AZ_RPC_CONNECTING,
  AZ_RPC_OPEN,
  AZ_RPC_CLOSED,
};

/**
 * struct az_rpc - RPC endpoint; freed when its last libuv handle is closed
 * @prepare: sends messages that timers queued, before the loop polls for I/O
 * @check: sends messages that I/O callbacks queued, after the loop polled for I/O
 * @dirty: connections with messages queued since the last flush
 */
struct az_rpc
{
  uv_loop_t *loop;
  struct az_rpc_handlers handlers;
  struct az_table_rows *connections; /* rows are struct az_rpc_connection * */
  GPtrArray *dirty;
  uv_tcp_t listener;
  uv_prepare_t prepare;
  uv_check_t check;
  uv_timer_t connect_timer;
  uint64_t connect_timeout_ms;
  char *local_address;
  char *read_buffer; /* shared by all connections; holds the data of one read */
  unsigned n_open_handles;
  bool destroyed;
};

struct az_rpc_connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct az_rpc *rpc;
  uint32_t handle;
  enum az_rpc_state state;
  bool outgoing;
  bool is_known_to_owner; /* the owner must be told when the connection closes */
  bool dirty;
  char *address;
  uint64_t connect_started_ms;
  uint32_t next_xid;
  GByteArray *unparsed;      /* start of a record that is incomplete */
  GByteArray *unsent;        /* encoded records */
  GByteArray *pending_write; /* records that uv_write() has not finished, or NULL */
  size_t writing_offset;
};

struct az_rpc_connection *
az_rpc_connection_create (struct az_rpc *rpc, const char *address, bool outgoing);

/** az_rpc_connection_start - starts reading on an established connection and calls @opened */
void
az_rpc_connection_start (struct az_rpc_connection *connection);

/** az_rpc_connection_queue - appends a message to the send queue, for az_rpc_connection_flush() */
void
az_rpc_connection_queue (struct az_rpc_connection *connection, const struct az_message *message);
void
az_rpc_connection_flush (struct az_rpc_connection *connection);

/** az_rpc_connection_close - closes the connection and calls @closed or @connect_failed, unless the
 * endpoint is being destroyed */
void
az_rpc_connection_close (struct az_rpc_connection *connection, const char *reason);

/** az_rpc_release_handle - releases a closed libuv handle; the last one frees the endpoint */
void
az_rpc_release_handle (struct az_rpc *rpc);

#endif
