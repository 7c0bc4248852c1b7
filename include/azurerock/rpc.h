#ifndef AZUREROCK_RPC_H
#define AZUREROCK_RPC_H

#include "azurerock/message.h"
#include <stdbool.h>
#include <uv.h>

struct az_rpc;

/**
 * struct az_rpc_handlers - what the owner of an endpoint is told
 * @opened: a connection exists; @outgoing tells whether this side connected
 * @received: one message; it is cleared after the call returns
 * @closed: the connection is gone, with a reason for the log; its handle is invalid afterwards
 * @refused: an outgoing connection to @address failed before it was open
 */
struct az_rpc_handlers
{
  void (*opened) (void *context, uint32_t connection, bool outgoing, const char *address);
  void (*received) (void *context, uint32_t connection, const struct az_message *message);
  void (*closed) (void *context, uint32_t connection, const char *reason);
  void (*refused) (void *context, const char *address, const char *reason);
  void *context;
};

/** az_rpc_create - endpoint for RPC connections on @loop; handles number its connections */
struct az_rpc *
az_rpc_create (uv_loop_t *loop, const struct az_rpc_handlers *handlers);

/** az_rpc_set_connect_timeout - attempts to connect end after this time; 2 s unless set */
void
az_rpc_set_connect_timeout (struct az_rpc *rpc, uint64_t timeout_ms);

/** az_rpc_destroy - closes all; run the loop until its handles are gone */
void
az_rpc_destroy (struct az_rpc *rpc);

/** az_rpc_listen - accepts on "ip:port"; port 0 picks one. Errors in the domain G_IO_ERROR-like
 * AZ_RPC_ERROR. */
bool
az_rpc_listen (struct az_rpc *rpc, const char *address, GError **error);

/** az_rpc_local_address - "ip:port" that az_rpc_listen() bound */
const char *
az_rpc_local_address (const struct az_rpc *rpc);

/** az_rpc_connect - starts a connection to "ip:port"; ends in @opened or @refused */
void
az_rpc_connect (struct az_rpc *rpc, const char *address);

/**
 * az_rpc_send - queues one message; messages of one loop iteration leave in one write
 *
 * A connection whose send queue exceeds 32 MiB is closed: its peer doesn't read.
 */
void
az_rpc_send (struct az_rpc *rpc, uint32_t connection, const struct az_message *message);
void
az_rpc_close (struct az_rpc *rpc, uint32_t connection, const char *reason);

/** az_rpc_flush - writes what is queued now instead of at the end of the loop iteration */
void
az_rpc_flush (struct az_rpc *rpc);

#define AZ_RPC_ERROR (az_rpc_error_quark ())
GQuark
az_rpc_error_quark (void);

#endif
