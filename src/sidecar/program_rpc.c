#include "azurerock/log.h"
#include "dispatch/seeds.h"
#include "net/address.h"
#include "sidecar/program.h"

void
az_sidecar_program_send_message (void *context, uint32_t session, const struct az_message *message)
{
  struct az_sidecar_program *program = context;

  az_rpc_send (program->rpc, session, message);
}

void
az_sidecar_program_close_session (void *context, uint32_t session, const char *reason)
{
  struct az_sidecar_program *program = context;

  az_rpc_close (program->rpc, session, reason);
}

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct az_sidecar_program *program = context;

  (void)outgoing;
  az_links_opened (program->links, address, connection);
  az_sidecar_session_opened (program->sidecar, connection);
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_sidecar_program *program = context;
  const struct az_node_gateways *gateways = &message->az_message_u.node_gateways;
  const struct az_node_pulse *pulse = &message->az_message_u.node_pulse;

  if (message->proc == AZ_NODE_GATEWAYS)
    for (u_int i = 0; i < gateways->addresses.addresses_len; i++)
      az_sidecar_program_add_gateway (program, gateways->addresses.addresses_val[i]);
  az_sidecar_received (program->sidecar, connection, message);
  if (message->proc == AZ_NODE_PULSE && pulse->wants_updates)
    az_relay_request (program->relay, connection, pulse->catalog_version);
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct az_sidecar_program *program = context;

  az_sidecar_session_closed (program->sidecar, connection, reason);
  az_links_closed (program->links, connection);
  az_relay_session_closed (program->relay, connection);
}

static void
on_connect_failed (void *context, const char *address, const char *reason)
{
  struct az_sidecar_program *program = context;

  (void)reason;
  az_links_connect_failed (program->links, address);
}

void
az_sidecar_program_open_rpc (struct az_sidecar_program *program)
{
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_connect_failed, program };

  program->rpc = az_rpc_create (program->loop, &handlers);
  az_rpc_set_counters (program->rpc, program->counters);
  az_rpc_set_connect_timeout (program->rpc, AZ_NODE_CONNECT_TIMEOUT_MS);
  program->links = az_links_create (program->options->instance, az_clock_system ());
}

void
az_sidecar_program_add_gateway (struct az_sidecar_program *program, const char *address)
{
  if (!az_address_is_endpoint (address))
    az_log (LOG_WARNING, "event=gateway-ignored address=%.64s reason=invalid", address);
  else if (az_links_add (program->links, address))
    az_log (LOG_NOTICE, "event=gateway-learned address=%s", address);
}

void
az_sidecar_program_add_seeds (void *context, const GPtrArray *seeds)
{
  struct az_sidecar_program *program = context;

  for (guint i = 0; seeds && i < seeds->len; i++)
    {
      g_autofree char *address = az_seed_address (seeds->pdata[i], program->options->seed_port);

      az_sidecar_program_add_gateway (program, address);
    }
}

static bool
can_retire (const void *context, uint32_t session)
{
  return az_sidecar_can_retire_session (context, session);
}

void
az_sidecar_program_connect (struct az_sidecar_program *program)
{
  const char *address;
  uint32_t surplus;

  while ((address = az_links_next_to_connect (program->links)))
    az_rpc_connect (program->rpc, address);
  surplus = az_links_surplus_session (program->links, can_retire, program->sidecar);
  if (az_sidecar_retire_session (program->sidecar, surplus))
    az_rpc_close (program->rpc, surplus, "surplus session: other gateways have a higher rank");
}
