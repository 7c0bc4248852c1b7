#include "net/http_limits.h"
#include "azurerock/log.h"
#include <sys/resource.h>
#include <uv.h>

#define MIB 1048576

/* The part of the memory that requests and answers of listeners may hold, the part that responses
 * to the clients of this process may, and the part that connections of peers may. */
#define BUFFER_PART 4
#define BUFFER_MIN_BYTES MIB

#define FILE_DESCRIPTORS 200
#define SESSION_DESCRIPTORS 1024

/* Each connection has a duplicate of its descriptor to detect that the caller has gone. */
#define CONNECTION_DESCRIPTORS 2

/* Readiness and metrics together get an eighth of the descriptors, and no more than
 * FILE_DESCRIPTORS has room for. */
#define STATUS_PART 32
#define STATUS_CONNECTIONS_MIN 4
#define STATUS_CONNECTIONS_MAX 32

#define HEAD_TIMEOUT_MS 10000
#define BODY_TIMEOUT_MS 20000

#define LOG_INTERVAL_MS 1000

static const char *const cause_names[AZ_HTTP_N_CAUSES] = {
  [AZ_HTTP_CAUSE_CONNECTIONS] = "connections",   [AZ_HTTP_CAUSE_FULL] = "full",
  [AZ_HTTP_CAUSE_DESCRIPTORS] = "descriptors",   [AZ_HTTP_CAUSE_MEMORY] = "memory",
  [AZ_HTTP_CAUSE_HEAD_LENGTH] = "head-length",   [AZ_HTTP_CAUSE_HEAD_TIMEOUT] = "head-timeout",
  [AZ_HTTP_CAUSE_BODY_TIMEOUT] = "body-timeout", [AZ_HTTP_CAUSE_ANSWER_TIMEOUT] = "answer-timeout",
};

/* Memory and descriptors belong to the process, so all its listeners share this state. */
static struct
{
  struct az_http_limits limits;
  bool is_set;
  struct az_counters *counters;
  uint32_t counter[AZ_HTTP_N_CAUSES];
  uint32_t bytes_gauge;
  uint64_t n_unlogged[AZ_HTTP_N_CAUSES];
  int64_t logged_ms[AZ_HTTP_N_CAUSES];
} process;

static uint64_t
system_limit (int resource, uint64_t otherwise)
{
  struct rlimit limit;

  if (getrlimit (resource, &limit) < 0 || limit.rlim_cur == RLIM_INFINITY)
    return otherwise;
  return MIN (limit.rlim_cur, otherwise);
}

static uint64_t
system_memory (void)
{
  uint64_t constrained = uv_get_constrained_memory ();
  uint64_t memory = uv_get_total_memory ();

  if (constrained > 0 && constrained < memory)
    memory = constrained;
  return system_limit (RLIMIT_AS, memory);
}

static size_t
buffer_bytes (int64_t stated_mb, size_t otherwise)
{
  return stated_mb ? (size_t)stated_mb * MIB : otherwise;
}

static unsigned
default_connections (uint64_t descriptors)
{
  uint64_t reserved = FILE_DESCRIPTORS + SESSION_DESCRIPTORS;
  uint64_t left = descriptors > reserved ? descriptors - reserved : 0;

  return (unsigned)MAX (MAX (left, descriptors / 2) / CONNECTION_DESCRIPTORS, 1);
}

struct az_http_limits
az_http_limits_compute (const struct az_http_limit_options *options,
                        uint64_t memory_bytes,
                        uint64_t descriptors)
{
  struct az_http_limits limits = {
    .descriptors = (int64_t)descriptors,
    .head_timeout_ms = options->head_timeout_ms ? options->head_timeout_ms : HEAD_TIMEOUT_MS,
    .body_timeout_ms = options->body_timeout_ms ? options->body_timeout_ms : BODY_TIMEOUT_MS,
  };

  if (options->memory_mb > 0)
    memory_bytes = (uint64_t)(options->memory_mb * MIB);
  if (options->descriptors_max)
    descriptors = MIN (descriptors, (uint64_t)options->descriptors_max);
  limits.response_buffer_bytes = (size_t)MAX (memory_bytes / BUFFER_PART, BUFFER_MIN_BYTES);
  limits.request_buffer_bytes
      = buffer_bytes (options->request_buffer_mb, limits.response_buffer_bytes);
  limits.peer_buffer_bytes = buffer_bytes (options->peer_buffer_mb, limits.response_buffer_bytes);
  limits.connections_max = default_connections (descriptors);
  if (options->connections_max)
    limits.connections_max = (unsigned)options->connections_max;
  limits.status_connections_max
      = (unsigned)CLAMP (descriptors / STATUS_PART, STATUS_CONNECTIONS_MIN, STATUS_CONNECTIONS_MAX);
  return limits;
}

static void
register_counters (struct az_counters *counters)
{
  for (int i = 0; i < AZ_HTTP_N_CAUSES; i++)
    {
      g_autofree char *name
          = g_strdup_printf ("azurerock_http_limited_total{cause=\"%s\"}", cause_names[i]);

      process.counter[i] = az_counters_register (
          counters, name, "Connections closed, or listeners paused, because of a limit");
    }
  process.bytes_gauge
      = az_counters_register (counters, "azurerock_http_held_bytes",
                              "Bytes held by requests and by answers that callers haven't read");
  process.counters = counters;
}

void
az_http_limits_set (const struct az_http_limit_options *options, struct az_counters *counters)
{
  process.limits = az_http_limits_compute (options, system_memory (),
                                           system_limit (RLIMIT_NOFILE, G_MAXINT32));
  process.is_set = true;
  process.counters = NULL;
  if (counters)
    register_counters (counters);
}

void
az_http_limits_clear_counters (void)
{
  process.counters = NULL;
}

const struct az_http_limits *
az_http_limits_get (void)
{
  const struct az_http_limit_options defaults = { 0 };

  if (!process.is_set)
    az_http_limits_set (&defaults, NULL);
  return &process.limits;
}

void
az_http_limits_count (enum az_http_cause cause)
{
  process.n_unlogged[cause]++;
  if (process.counters)
    az_counters_add (process.counters, process.counter[cause], 1);
}

void
az_http_limits_log (size_t held_bytes, int64_t now_ms)
{
  const struct az_http_limits *limits = az_http_limits_get ();

  if (process.counters)
    az_counters_set (process.counters, process.bytes_gauge, held_bytes);
  for (int i = 0; i < AZ_HTTP_N_CAUSES; i++)
    {
      if (process.n_unlogged[i] == 0 || now_ms - process.logged_ms[i] < LOG_INTERVAL_MS)
        continue;
      az_log (LOG_WARNING,
              "event=http-limit cause=%s count=%" G_GUINT64_FORMAT
              " held_bytes=%zu held_max=%zu connections_max=%u",
              cause_names[i], process.n_unlogged[i], held_bytes, limits->request_buffer_bytes,
              limits->connections_max);
      process.n_unlogged[i] = 0;
      process.logged_ms[i] = now_ms;
    }
}
