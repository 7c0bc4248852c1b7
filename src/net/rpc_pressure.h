#ifndef AZUREROCK_NET_RPC_PRESSURE_H
#define AZUREROCK_NET_RPC_PRESSURE_H

#include "net/rpc_connection.h"

/* Applies the budget of an RPC endpoint to its connections. */

/** az_rpc_pressure_update - counts what the connection holds now, and cuts connections if all
 * together hold too much */
void
az_rpc_pressure_update (struct az_rpc_connection *connection);

/** az_rpc_pressure_limit_reading - stops reading from the connection if the budget says so */
void
az_rpc_pressure_limit_reading (struct az_rpc_connection *connection);

/** az_rpc_pressure_observe_write - counts what was written since the last call */
void
az_rpc_pressure_observe_write (struct az_rpc_connection *connection);

/** az_rpc_pressure_check - finds stalled connections, and reads again from those that may be read;
 * to be called periodically, after the loop has polled for I/O */
void
az_rpc_pressure_check (struct az_rpc *rpc);

#endif
