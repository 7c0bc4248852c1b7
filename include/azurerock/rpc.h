#ifndef AZUREROCK_RPC_H
#define AZUREROCK_RPC_H

#include "azurerock/counters.h"
#include "azurerock/message.h"
#include <stdbool.h>
#include <uv.h>

struct az_rpc;

/**
 * struct az_rpc_handlers - callbacks of an endpoint
 * @opened: a connection was established; @outgoing is true if this side initiated it
 * @received: a message arrived; it is freed after the callback returns
 * @closed: the connection closed; its handle is invalid from now on; @reason is for the log
 * @connect_failed: an attempt to connect to @address failed
 */
struct az_rpc_handlers
{
  void (*opened) (void *context, uint32_t connection, bool outgoing, const char *address);
  void (*received) (void *context, uint32_t connection, const struct az_message *message);
  void (*closed) (void *context, uint32_t connection, const char *reason);
  void (*connect_failed) (void *context, const char *address, const char *reason);
  void *context;
};

/** az_rpc_create - creates an endpoint on @loop; its connections are identified by handles */
struct az_rpc *
az_rpc_create (uv_loop_t *loop, const struct az_rpc_handlers *handlers);

/** az_rpc_set_connect_timeout - limits the time of a connection attempt; the default is 2 s */
void
az_rpc_set_connect_timeout (struct az_rpc *rpc, uint64_t timeout_ms);

/** az_rpc_set_counters - registers counters of connections that a limit closes; they must outlive
 * the endpoint */
void
az_rpc_set_counters (struct az_rpc *rpc, struct az_counters *counters);

/** az_rpc_destroy - closes all connections; the loop must then run until the handles are closed */
void
az_rpc_destroy (struct az_rpc *rpc);

/**
 * az_rpc_listen - accepts connections on "ip:port"; port 0 selects a free port
 *
 * A peer identifies itself by HELLO, PEER_HELLO or NODE_HELLO. Until then, its connection is
 * limited in time, and its records and the number of such connections are limited too. Errors are
 * in the domain AZ_RPC_ERROR.
 */
bool
az_rpc_listen (struct az_rpc *rpc, const char *address, GError **error);

/** az_rpc_local_address - "ip:port" that az_rpc_listen() bound, or NULL */
const char *
az_rpc_local_address (const struct az_rpc *rpc);

/** az_rpc_connect - starts to connect to "ip:port"; @opened or @connect_failed is called later */
void
az_rpc_connect (struct az_rpc *rpc, const char *address);

/**
 * az_rpc_send - queues a message; the messages of one loop iteration are sent with one write
 *
 * A connection whose send queue exceeds 32 MiB is closed, because its peer doesn't read. One that
 * doesn't read may be closed before, if all connections hold more than peer_buffer_mb.
 */
void
az_rpc_send (struct az_rpc *rpc, uint32_t connection, const struct az_message *message);
void
az_rpc_close (struct az_rpc *rpc, uint32_t connection, const char *reason);

/** az_rpc_flush - sends queued messages now instead of at the end of the loop iteration */
void
az_rpc_flush (struct az_rpc *rpc);

#define AZ_RPC_ERROR (az_rpc_error_quark ())
GQuark
az_rpc_error_quark (void);

#endif
