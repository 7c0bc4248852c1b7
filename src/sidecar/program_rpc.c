#include "azurerock/log.h"
#include "dispatch/seeds.h"
#include "sidecar/program.h"
#include <string.h>
#include <xxhash.h>

/* A sidecar keeps sessions with so many gateways, so that the cost of control doesn't grow with the
 * product of both numbers. */
#define GATEWAYS_MAX 12

/* A gateway that can't be reached gives its place to another for this time. */
#define UNREACHABLE_MS 5000

#define RECONNECT_FIRST_MS 100
#define RECONNECT_MAX_MS 250

/** struct gateway_link - a gateway that this process keeps a session with */
struct gateway_link
{
  uint32_t session; /* 0 while there is none */
  bool is_connecting;
  uint64_t rank;          /* differs between sidecars, so that each gateway has its share of them */
  int64_t unreachable_us; /* until then */
  int64_t retry_us;
  int64_t wait_ms;
};

static int64_t
now_us (void)
{
  return (int64_t)(uv_hrtime () / 1000);
}

void
az_sidecar_program_send (void *context, uint32_t session, const struct az_message *message)
{
  struct az_sidecar_program *program = context;

  az_rpc_send (program->rpc, session, message);
}

void
az_sidecar_program_close (void *context, uint32_t session, const char *reason)
{
  struct az_sidecar_program *program = context;

  az_rpc_close (program->rpc, session, reason);
}

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct az_sidecar_program *program = context;
  struct gateway_link *link = g_hash_table_lookup (program->gateways, address);

  (void)outgoing;
  if (link)
    {
      link->session = connection;
      link->unreachable_us = 0;
      link->is_connecting = false;
      link->wait_ms = RECONNECT_FIRST_MS;
    }
  program->n_sessions++;
  az_sidecar_session_opened (program->sidecar, connection);
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_sidecar_program *program = context;
  const struct az_node_gateways *gateways = &message->az_message_u.node_gateways;

  if (message->proc == AZ_NODE_GATEWAYS)
    for (u_int i = 0; i < gateways->addresses.addresses_len; i++)
      az_sidecar_program_add_gateway (program, gateways->addresses.addresses_val[i]);
  az_sidecar_received (program->sidecar, connection, message);
}

static void
try_later (struct gateway_link *link)
{
  link->session = 0;
  link->is_connecting = false;
  link->retry_us = now_us () + link->wait_ms * 1000;
  link->wait_ms = MIN (link->wait_ms * 2, RECONNECT_MAX_MS);
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct az_sidecar_program *program = context;
  GHashTableIter iterator;
  gpointer value;

  az_sidecar_session_closed (program->sidecar, connection, reason);
  g_hash_table_iter_init (&iterator, program->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct gateway_link *)value)->session == connection)
      try_later (value);
  if (--program->n_sessions == 0)
    program->alone_us = now_us ();
}

static void
on_refused (void *context, const char *address, const char *reason)
{
  struct az_sidecar_program *program = context;
  struct gateway_link *link = g_hash_table_lookup (program->gateways, address);

  (void)reason;
  if (!link)
    return;
  link->unreachable_us = now_us () + UNREACHABLE_MS * 1000;
  try_later (link);
}

void
az_sidecar_program_open_rpc (struct az_sidecar_program *program)
{
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_refused, program };

  program->rpc = az_rpc_create (program->loop, &handlers);
  az_rpc_set_connect_timeout (program->rpc, AZ_NODE_CONNECT_TIMEOUT_MS);
  program->gateways = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  program->alone_us = now_us ();
}

static uint64_t
rank_gateway (const struct az_sidecar_program *program, const char *address)
{
  const char *instance = program->options->instance;

  return XXH64 (address, strlen (address), XXH64 (instance, strlen (instance), 0));
}

void
az_sidecar_program_add_gateway (struct az_sidecar_program *program, const char *address)
{
  struct gateway_link *link;

  if (g_hash_table_contains (program->gateways, address)
      || g_hash_table_size (program->gateways) >= AZ_MAX_GATEWAYS)
    return;
  link = g_new0 (struct gateway_link, 1);
  link->rank = rank_gateway (program, address);
  link->wait_ms = RECONNECT_FIRST_MS;
  g_hash_table_insert (program->gateways, g_strdup (address), link);
  az_log (LOG_NOTICE, "event=gateway-learned address=%s", address);
}

void
az_sidecar_program_add_seeds (struct az_sidecar_program *program, const GPtrArray *seeds)
{
  for (guint i = 0; seeds && i < seeds->len; i++)
    {
      g_autofree char *address = az_seed_address (seeds->pdata[i], program->options->seed_port);

      az_sidecar_program_add_gateway (program, address);
    }
}

/* Among the first by rank of those that can be reached. */
static bool
is_preferred (const struct az_sidecar_program *program, const struct gateway_link *link)
{
  GHashTableIter iterator;
  gpointer value;
  unsigned n_ahead = 0;

  if (g_hash_table_size (program->gateways) <= GATEWAYS_MAX)
    return true;
  g_hash_table_iter_init (&iterator, program->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct gateway_link *other = value;

      n_ahead += other->rank > link->rank && other->unreachable_us < now_us ();
    }
  return n_ahead < GATEWAYS_MAX;
}

/* A gateway that lost its place to one that is back keeps its session while it has tasks. */
static void
drop_surplus (struct az_sidecar_program *program)
{
  GHashTableIter iterator;
  gpointer value;

  if (program->n_sessions <= GATEWAYS_MAX)
    return;
  g_hash_table_iter_init (&iterator, program->gateways);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct gateway_link *link = value;

      if (!link->session || is_preferred (program, link)
          || !az_sidecar_is_session_idle (program->sidecar, link->session))
        continue;
      az_rpc_close (program->rpc, link->session, "other gateways are nearer");
      return;
    }
}

void
az_sidecar_program_connect (struct az_sidecar_program *program)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, program->gateways);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      struct gateway_link *link = value;

      if (link->session || link->is_connecting || now_us () < link->retry_us
          || !is_preferred (program, link))
        continue;
      link->is_connecting = true;
      az_rpc_connect (program->rpc, key);
    }
  drop_surplus (program);
}
