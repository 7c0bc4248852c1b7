#ifndef AZUREROCK_HTTP_LIMITS_H
#define AZUREROCK_HTTP_LIMITS_H

#include "azurerock/settings.h"
#include <stddef.h>
#include <stdint.h>

/**
 * struct az_http_limit_options - limits of the HTTP listeners of a process, in the units of the
 * settings file; 0 stands for the default
 */
struct az_http_limit_options
{
  int64_t memory_mb;
  int64_t descriptors_max;
  int64_t request_buffer_mb;
  int64_t connections_max;
  int64_t head_timeout_ms;
  int64_t body_timeout_ms;
};

/* clang-format off */
#define AZ_HTTP_LIMIT_SETTING(type, limits, name, minimum, maximum, help) \
  { #name, AZ_SETTING_INTEGER, offsetof (struct type, limits.name), false, minimum, maximum, help }

/** AZ_HTTP_LIMIT_SETTINGS - rows of a schema for the member @limits of struct @type */
#define AZ_HTTP_LIMIT_SETTINGS(type, limits)                                       \
  AZ_HTTP_LIMIT_SETTING (type, limits, memory_mb, 1, 1048576,                      \
    "memory that the machine gives this process, in MiB"),                         \
  AZ_HTTP_LIMIT_SETTING (type, limits, descriptors_max, 1, 1048576,                \
    "descriptors that the machine lets this process open"),                        \
  AZ_HTTP_LIMIT_SETTING (type, limits, request_buffer_mb, 1, 1048576,              \
    "memory for requests and for answers that callers haven't read yet, in MiB"),  \
  AZ_HTTP_LIMIT_SETTING (type, limits, connections_max, 1, 524288,                 \
    "connections of callers that are open at once"),                               \
  AZ_HTTP_LIMIT_SETTING (type, limits, head_timeout_ms, 100, 3600000,              \
    "time that the head of a request may take"),                                   \
  AZ_HTTP_LIMIT_SETTING (type, limits, body_timeout_ms, 100, 3600000,              \
    "time that the body of a request may take, or a caller to read an answer")
/* clang-format on */

#endif
