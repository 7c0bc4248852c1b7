#ifndef AZUREROCK_NET_RPC_CONNECTION_H
#define AZUREROCK_NET_RPC_CONNECTION_H

#include "azurerock/rpc.h"
#include "azurerock/table.h"
#include "net/listener.h"
#include "net/rpc_budget.h"
#include "net/rpc_limits.h"
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
 * @dirty: connections with messages queued since the last flush, or to be closed by it
 * @unknown: incoming connections whose peers haven't identified themselves, in the order of accept
 * @is_full: a connection waits to be accepted until there are fewer in @unknown
 * @is_short: the system had too few descriptors; accept nothing until the next check
 */
struct az_rpc
{
  uv_loop_t *loop;
  struct az_rpc_handlers handlers;
  struct az_table_rows *connections; /* rows are struct az_rpc_connection * */
  GPtrArray *dirty;
  uv_prepare_t prepare;
  uv_check_t check;
  uv_timer_t connect_timer;
  uint64_t connect_timeout_ms;
  struct az_listener *listener;
  uv_timer_t limit_timer;
  bool is_check_due;
  bool is_full;
  bool is_short;
  GQueue unknown;
  unsigned unknown_max;
  int64_t descriptors_max;
  struct az_rpc_budget budget;
  struct az_rpc_limits *limits;
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
  bool is_parsing;           /* @unparsed is in use */
  bool is_reserved;          /* @unparsed has room for all of its record */
  GByteArray *unparsed;      /* start of a record that is incomplete */
  GByteArray *unsent;        /* encoded records */
  GByteArray *pending_write; /* records that uv_write() has not finished, or NULL */
  struct az_rpc_holder holder;
  GList unknown_link;
  size_t write_queue_bytes; /* when the progress of the write was last observed */
  enum az_rpc_cause cut_cause;
};

struct az_rpc_connection *
az_rpc_connection_create (struct az_rpc *rpc, const char *address, bool outgoing);

/** az_rpc_connection_start - starts reading on an established connection and calls @opened */
void
az_rpc_connection_start (struct az_rpc_connection *connection);

/** az_rpc_connection_read - starts to read, or goes on after uv_read_stop() */
void
az_rpc_connection_read (struct az_rpc_connection *connection);

/** az_rpc_connection_reserve - allocates room for all of the incomplete record */
void
az_rpc_connection_reserve (struct az_rpc_connection *connection);

/** az_rpc_connection_queue - appends a message to the send queue, for az_rpc_connection_flush() */
void
az_rpc_connection_queue (struct az_rpc_connection *connection, const struct az_message *message);
void
az_rpc_connection_flush (struct az_rpc_connection *connection);

/** az_rpc_connection_close - closes the connection and calls @closed or @connect_failed, unless the
 * endpoint is being destroyed */
void
az_rpc_connection_close (struct az_rpc_connection *connection, const char *reason);

/** az_rpc_connection_cut - closes the connection because of a limit, with the next flush, so that
 * the owner isn't told from within one of its own calls; drops its unsent messages now */
void
az_rpc_connection_cut (struct az_rpc_connection *connection, enum az_rpc_cause cause);

/** az_rpc_release_handle - releases a closed libuv handle; the last one frees the endpoint */
void
az_rpc_release_handle (struct az_rpc *rpc);

#endif
