#ifndef AZUREROCK_NET_RPC_ADMISSION_H
#define AZUREROCK_NET_RPC_ADMISSION_H

#include "net/rpc_connection.h"

/* Accepts connections, and bounds the number and the time of those whose peers haven't identified
 * themselves. */

void
az_rpc_admission_open (struct az_rpc *rpc);

/** az_rpc_admission_close - closes its two handles; each calls az_rpc_release_handle() */
void
az_rpc_admission_close (struct az_rpc *rpc);

/** az_rpc_admission_polled - to be called after the loop has polled for I/O, so that no connection
 * is closed whose hello has arrived */
void
az_rpc_admission_polled (struct az_rpc *rpc);

/** az_rpc_admission_identify - the peer has sent its hello */
void
az_rpc_admission_identify (struct az_rpc_connection *connection);

/** az_rpc_admission_forget - the connection closes */
void
az_rpc_admission_forget (struct az_rpc_connection *connection);

#endif
