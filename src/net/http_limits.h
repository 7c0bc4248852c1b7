#ifndef AZUREROCK_NET_HTTP_LIMITS_H
#define AZUREROCK_NET_HTTP_LIMITS_H

#include "azurerock/http_limits.h"
#include <stddef.h>
#include <stdint.h>

/** enum az_http_cause - why a connection was closed, or why a listener doesn't accept one */
enum az_http_cause
{
  AZ_HTTP_CAUSE_CONNECTIONS,    /* closed for a new one because the listener had no room */
  AZ_HTTP_CAUSE_FULL,           /* listener paused: all its connections have requests in progress */
  AZ_HTTP_CAUSE_DESCRIPTORS,    /* listener paused: the system gave no descriptor or memory */
  AZ_HTTP_CAUSE_MEMORY,         /* the process held too many bytes */
  AZ_HTTP_CAUSE_HEAD_LENGTH,    /* head too long */
  AZ_HTTP_CAUSE_HEAD_TIMEOUT,   /* head took too long */
  AZ_HTTP_CAUSE_BODY_TIMEOUT,   /* body took too long */
  AZ_HTTP_CAUSE_ANSWER_TIMEOUT, /* the caller didn't read its answer */
  AZ_HTTP_N_CAUSES,
};

/**
 * struct az_http_limits - limits in force
 * @request_buffer_bytes: for requests and unread answers of all listeners
 * @peer_buffer_bytes: for incomplete records and unsent messages of the RPC endpoint
 * @descriptors: what the system lets the process open, whatever the settings say
 * @response_buffer_bytes: for responses that all clients of this process are reading
 */
struct az_http_limits
{
  size_t request_buffer_bytes;
  size_t peer_buffer_bytes;
  size_t response_buffer_bytes;
  int64_t descriptors;
  unsigned connections_max;        /* of a listener that takes requests with bodies */
  unsigned status_connections_max; /* of each other listener: readiness and metrics */
  int64_t head_timeout_ms;
  int64_t body_timeout_ms;
};

/**
 * az_http_limits_compute - limits that follow from the settings
 * @memory_bytes: memory that the system gives the process, used unless the settings state it
 * @descriptors: descriptors that the system lets the process open
 */
struct az_http_limits
az_http_limits_compute (const struct az_http_limit_options *options,
                        uint64_t memory_bytes,
                        uint64_t descriptors);

/** az_http_limits_get - limits of this process */
const struct az_http_limits *
az_http_limits_get (void);

/** az_http_limits_count - counts a connection that was closed, or a listener that was paused */
void
az_http_limits_count (enum az_http_cause cause);

/** az_http_limits_log - logs what was counted since the last line, at most once a second for each
 * cause, with the bytes that requests and answers hold
 * @now_ms: time of the loop */
void
az_http_limits_log (size_t held_bytes, int64_t now_ms);

#endif
