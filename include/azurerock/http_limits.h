#ifndef AZUREROCK_HTTP_LIMITS_H
#define AZUREROCK_HTTP_LIMITS_H

#include "azurerock/counters.h"
#include "azurerock/settings.h"
#include <stddef.h>
#include <stdint.h>

/**
 * struct az_http_limit_options - limits of the listeners of a process, in the units of the settings
 * file; 0 stands for the default
 */
struct az_http_limit_options
{
  double memory_mb;
  int64_t descriptors_max;
  int64_t request_buffer_mb;
  int64_t peer_buffer_mb;
  int64_t connections_max;
  int64_t head_timeout_ms;
  int64_t body_timeout_ms;
};

/* offsetof() takes no parentheses around the member.
 * NOLINTBEGIN(bugprone-macro-parentheses) */
/* clang-format off */
#define AZ_HTTP_LIMIT_SETTING(kind, type, limits, name, minimum, maximum, help) \
  { #name, AZ_SETTING_##kind, offsetof (struct type, limits.name), false, minimum, maximum, help }

/** AZ_HTTP_LIMIT_SETTINGS - rows of a schema for the member @limits of struct @type */
#define AZ_HTTP_LIMIT_SETTINGS(type, limits)                                         \
  AZ_HTTP_LIMIT_SETTING (NUMBER, type, limits, memory_mb, 0, G_MAXINT32,             \
    "memory that the machine gives this process, in MiB; 0: what the system says"),  \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, descriptors_max, 0, G_MAXINT64,      \
    "descriptors that the machine lets this process open; 0: what the system says"), \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, request_buffer_mb, 1, G_MAXINT32,    \
    "memory for requests and for answers that callers haven't read yet, in MiB"),    \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, peer_buffer_mb, 1, G_MAXINT32,       \
    "memory for incomplete records and unsent messages of peers, in MiB"),           \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, connections_max, 1, 524288,          \
    "connections of callers that are open at once"),                                 \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, head_timeout_ms, 100, 3600000,       \
    "time that the head of a request may take"),                                     \
  AZ_HTTP_LIMIT_SETTING (INTEGER, type, limits, body_timeout_ms, 100, 3600000,       \
    "time that the body of a request may take, or a caller to read an answer")
/* clang-format on */
/* NOLINTEND(bugprone-macro-parentheses) */

/** az_http_limits_set - sets the limits of all listeners of this process
 * @counters: for the connections that a limit closes, until az_http_limits_clear_counters()
 *
 * Call it before the first az_http_server_create() or az_rpc_create(). Without it, the defaults
 * apply. They follow from the memory and the descriptors that the system gives the process.
 */
void
az_http_limits_set (const struct az_http_limit_options *options, struct az_counters *counters);

/** az_http_limits_clear_counters - call before the counters are destroyed */
void
az_http_limits_clear_counters (void);

#endif
