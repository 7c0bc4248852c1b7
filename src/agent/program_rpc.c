#include "agent/program.h"
#include "azurerock/log.h"

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct az_agent_program *program = context;

  (void)outgoing;
  program->open_connections++;
  az_log (LOG_INFO, "connected to entry %s", address);
  az_agent_core_connection_opened (program->core, connection, address);
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_agent_program *program = context;

  az_agent_core_message_received (program->core, connection, message);
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct az_agent_program *program = context;

  program->open_connections--;
  az_log (LOG_INFO, "connection to an entry closed: %s", reason);
  az_agent_core_connection_closed (program->core, connection);
}

static void
on_refused (void *context, const char *address, const char *reason)
{
  struct az_agent_program *program = context;

  az_log (LOG_DEBUG, "no connection to entry %s: %s", address, reason);
  az_agent_core_connect_failed (program->core, address);
}

void
az_agent_program_open_rpc (struct az_agent_program *program)
{
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_refused, program };

  program->rpc = az_rpc_create (program->loop, &handlers);
}

void
az_agent_program_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_agent_program *program = context;

  az_rpc_send (program->rpc, connection, message);
}

void
az_agent_program_connect (void *context, const char *rpc_address)
{
  struct az_agent_program *program = context;

  az_rpc_connect (program->rpc, rpc_address);
}

void
az_agent_program_close (void *context, uint32_t connection)
{
  struct az_agent_program *program = context;

  az_rpc_close (program->rpc, connection, "closed by the agent");
}
