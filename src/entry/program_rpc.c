#include "azurerock/log.h"
#include "entry/program.h"

static void
on_opened (void *context, uint32_t connection, bool outgoing, const char *address)
{
  struct az_entry_program *program = context;

  az_log (LOG_DEBUG, "connection %s %s", outgoing ? "to" : "from", address);
  az_entry_core_connection_opened (program->core, connection, outgoing, address);
}

static void
on_received (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_entry_program *program = context;
  const char *reason = az_entry_core_message_received (program->core, connection, message);

  if (reason)
    az_rpc_close (program->rpc, connection, reason);
}

static void
on_closed (void *context, uint32_t connection, const char *reason)
{
  struct az_entry_program *program = context;

  az_log (LOG_INFO, "connection closed: %s", reason);
  az_entry_core_connection_closed (program->core, connection);
}

static void
on_connect_failed (void *context, const char *address, const char *reason)
{
  struct az_entry_program *program = context;

  az_log (LOG_DEBUG, "can't connect to entry %s: %s", address, reason);
  az_entry_core_connect_failed (program->core, address);
}

bool
az_entry_program_open_rpc (struct az_entry_program *program, GError **error)
{
  const struct az_rpc_handlers handlers
      = { on_opened, on_received, on_closed, on_connect_failed, program };
  const struct az_entry_options *options = program->options;
  const char *address
      = options->rpc_listen_address ? options->rpc_listen_address : options->rpc_address;

  program->rpc = az_rpc_create (program->loop, &handlers);
  az_rpc_set_counters (program->rpc, program->counters);
  return az_rpc_listen (program->rpc, address, error);
}

void
az_entry_program_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct az_entry_program *program = context;

  az_rpc_send (program->rpc, connection, message);
}

void
az_entry_program_connect (void *context, const char *rpc_address)
{
  struct az_entry_program *program = context;

  az_rpc_connect (program->rpc, rpc_address);
}
