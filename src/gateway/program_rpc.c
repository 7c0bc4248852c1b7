#include "dispatch/seeds.h"
#include "gateway/program.h"

void
az_gateway_program_send (void *context, uint32_t session, const struct az_message *message)
{
  struct az_gateway_program *program = context;

  az_rpc_send (program->rpc, session, message);
}

void
az_gateway_program_close (void *context, uint32_t session, const char *reason)
{
  struct az_gateway_program *program = context;

  az_rpc_close (program->rpc, session, reason);
}

void
az_gateway_program_connect (void *context, const char *address)
{
  struct az_gateway_program *program = context;

  az_rpc_connect (program->rpc, address);
}

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct az_gateway_program *program = context;

  az_gateway_session_opened (program->gateway, connection, outgoing ? address : NULL);
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_gateway_program *program = context;
  const struct az_node_catalog *catalog = &message->az_message_u.node_catalog;

  az_gateway_received (program->gateway, connection, message);
  if (message->proc == AZ_NODE_CATALOG)
    az_gateway_program_handle_catalog (
        program, &(struct az_catalog_origin){ .session = connection,
                                              .revision = catalog->revision,
                                              .text = catalog->text.text_val,
                                              .length = catalog->text.text_len });
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct az_gateway_program *program = context;

  az_gateway_session_closed (program->gateway, connection, reason);
}

static void
on_refused (void *context, const char *address, const char *reason)
{
  struct az_gateway_program *program = context;

  (void)reason;
  az_gateway_connect_failed (program->gateway, address);
}

bool
az_gateway_program_open_rpc (struct az_gateway_program *program, GError **error)
{
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_refused, program };

  program->rpc = az_rpc_create (program->loop, &handlers);
  az_rpc_set_counters (program->rpc, program->counters);
  az_rpc_set_connect_timeout (program->rpc, AZ_NODE_CONNECT_TIMEOUT_MS);
  return az_rpc_listen (program->rpc, program->options->peer_address, error);
}

void
az_gateway_program_add_seeds (void *context, const GPtrArray *seeds)
{
  struct az_gateway_program *program = context;

  for (guint i = 0; seeds && i < seeds->len; i++)
    {
      g_autofree char *address = az_seed_address (seeds->pdata[i], program->options->seed_port);

      az_gateway_add_member (program->gateway, address);
    }
}
