#include "net/rpc_limits.h"
#include "azurerock/log.h"

#define LOG_INTERVAL_MS 1000

struct cause
{
  const char *name;
  const char *reason;
};

static const struct cause causes[AZ_RPC_N_CAUSES] = {
  [AZ_RPC_CAUSE_CONNECTIONS] = { "connections", "too many peers haven't identified themselves" },
  [AZ_RPC_CAUSE_HELLO_TIMEOUT] = { "hello-timeout", "the peer didn't identify itself in time" },
  [AZ_RPC_CAUSE_HELLO_LENGTH]
  = { "hello-length", "a long record before the peer identified itself" },
  [AZ_RPC_CAUSE_MEMORY] = { "memory", "connections of peers hold too many bytes" },
  [AZ_RPC_CAUSE_UNREAD] = { "unread", "peer doesn't read" },
  [AZ_RPC_CAUSE_DESCRIPTORS] = { "descriptors", "too few descriptors" },
};

struct count
{
  uint32_t counter;
  uint64_t n_unlogged;
  int64_t logged_ms;
  char *address; /* of the last peer */
};

struct az_rpc_limits
{
  struct az_counters *counters;
  struct count counts[AZ_RPC_N_CAUSES];
  uint32_t bytes_gauge;
  uint32_t unknown_gauge;
};

struct az_rpc_limits *
az_rpc_limits_create (void)
{
  struct az_rpc_limits *limits = g_new0 (struct az_rpc_limits, 1);

  for (int i = 0; i < AZ_RPC_N_CAUSES; i++)
    limits->counts[i].logged_ms = -LOG_INTERVAL_MS;
  return limits;
}

void
az_rpc_limits_destroy (struct az_rpc_limits *limits)
{
  for (int i = 0; i < AZ_RPC_N_CAUSES; i++)
    g_free (limits->counts[i].address);
  g_free (limits);
}

void
az_rpc_limits_set_counters (struct az_rpc_limits *limits, struct az_counters *counters)
{
  limits->counters = counters;
  if (!counters)
    return;
  for (int i = 0; i < AZ_RPC_N_CAUSES; i++)
    {
      g_autofree char *name
          = g_strdup_printf ("azurerock_rpc_limited_total{cause=\"%s\"}", causes[i].name);

      limits->counts[i].counter = az_counters_register (
          counters, name, "Connections of peers closed, or listeners paused, because of a limit");
    }
  limits->bytes_gauge
      = az_counters_register (counters, "azurerock_rpc_held_bytes",
                              "Bytes held by incomplete records and unsent messages of peers");
  limits->unknown_gauge
      = az_counters_register (counters, "azurerock_rpc_unknown_connections",
                              "Connections whose peers haven't identified themselves");
}

const char *
az_rpc_limits_reason (enum az_rpc_cause cause)
{
  return causes[cause].reason;
}

void
az_rpc_limits_count (struct az_rpc_limits *limits, enum az_rpc_cause cause, const char *address)
{
  struct count *count = &limits->counts[cause];

  count->n_unlogged++;
  g_free (count->address);
  count->address = g_strdup (address);
  if (limits->counters)
    az_counters_add (limits->counters, count->counter, 1);
}

void
az_rpc_limits_log (struct az_rpc_limits *limits,
                   size_t held_bytes,
                   size_t held_max,
                   unsigned n_unknown,
                   int64_t now_ms)
{
  if (limits->counters)
    {
      az_counters_set (limits->counters, limits->bytes_gauge, held_bytes);
      az_counters_set (limits->counters, limits->unknown_gauge, n_unknown);
    }
  for (int i = 0; i < AZ_RPC_N_CAUSES; i++)
    {
      struct count *count = &limits->counts[i];

      if (count->n_unlogged == 0 || now_ms - count->logged_ms < LOG_INTERVAL_MS)
        continue;
      az_log (LOG_WARNING,
              "event=rpc-limit cause=%s count=%" G_GUINT64_FORMAT
              " last_peer=%s held_bytes=%zu held_max=%zu unknown=%u",
              causes[i].name, count->n_unlogged, count->address ? count->address : "-", held_bytes,
              held_max, n_unknown);
      count->n_unlogged = 0;
      count->logged_ms = now_ms;
    }
}
