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
 * struct az_rpc - endpoint; freed with its last handle
 * @prepare: flushes what timers queued, before the loop waits
 * @check: flushes what I/O callbacks queued, after the loop waited
 * @dirty: connections with unwritten messages
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
  char *read_buffer; /* bytes of one read; connections keep only what is left of it */
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
  bool is_known_to_owner; /* the owner knows of it */
  bool dirty;
  char *address;
  uint64_t connect_started_ms;
  uint32_t next_xid;
  GByteArray *unparsed; /* an incomplete record */
  GByteArray *unsent;
  GByteArray *pending_write; /* handed to libuv, or NULL */
  size_t writing_offset;
};

struct az_rpc_connection *
az_rpc_connection_create (struct az_rpc *rpc, const char *address, bool outgoing);

/** az_rpc_connection_start - the connection is open: reads from now on */
void
az_rpc_connection_start (struct az_rpc_connection *connection);

/** az_rpc_connection_queue - appends a message; az_rpc_connection_flush() writes it */
void
az_rpc_connection_queue (struct az_rpc_connection *connection, const struct az_message *message);
void
az_rpc_connection_flush (struct az_rpc_connection *connection);

/** az_rpc_connection_close - tells the owner, unless the endpoint is destroyed */
void
az_rpc_connection_close (struct az_rpc_connection *connection, const char *reason);

/** az_rpc_release_handle - counts down the handles of an endpoint and frees it with the last */
void
az_rpc_release_handle (struct az_rpc *rpc);

#endif
