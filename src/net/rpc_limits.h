#ifndef AZUREROCK_NET_RPC_LIMITS_H
#define AZUREROCK_NET_RPC_LIMITS_H

#include "azurerock/counters.h"
#include <stddef.h>
#include <stdint.h>

/** enum az_rpc_cause - why a connection was closed, or why the listener doesn't accept one */
enum az_rpc_cause
{
  AZ_RPC_CAUSE_CONNECTIONS, /* closed for a new one: too many peers haven't identified themselves */
  AZ_RPC_CAUSE_HELLO_TIMEOUT, /* the peer didn't identify itself in time */
  AZ_RPC_CAUSE_HELLO_LENGTH,  /* a record that is too long before the peer identified itself */
  AZ_RPC_CAUSE_MEMORY,        /* the connections held too many bytes */
  AZ_RPC_CAUSE_UNREAD,        /* the peer doesn't read what is sent to it */
  AZ_RPC_CAUSE_DESCRIPTORS,   /* connection closed, or listener paused: too few descriptors */
  AZ_RPC_N_CAUSES,
};

/** Counters and log lines of the limits of an RPC endpoint. */
struct az_rpc_limits;

struct az_rpc_limits *
az_rpc_limits_create (void);
void
az_rpc_limits_destroy (struct az_rpc_limits *limits);

/** az_rpc_limits_set_counters - registers the counters; NULL stops counting */
void
az_rpc_limits_set_counters (struct az_rpc_limits *limits, struct az_counters *counters);

/** az_rpc_limits_reason - reason of a cause, for the owner of a closed connection */
const char *
az_rpc_limits_reason (enum az_rpc_cause cause);

/** az_rpc_limits_count - counts a connection that was closed, or a listener that was paused
 * @address: of the peer, or NULL */
void
az_rpc_limits_count (struct az_rpc_limits *limits, enum az_rpc_cause cause, const char *address);

/** az_rpc_limits_log - logs what was counted since the last line, at most once a second for each
 * cause, with the bytes that the connections hold and may hold
 * @n_unknown: connections whose peers haven't identified themselves */
void
az_rpc_limits_log (struct az_rpc_limits *limits,
                   size_t held_bytes,
                   size_t held_max,
                   unsigned n_unknown,
                   int64_t now_ms);

#endif
