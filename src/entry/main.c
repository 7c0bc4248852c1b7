#include "azurerock/program.h"
#include "entry/program.h"

#define FIELD(name) offsetof (struct az_entry_options, name)

static const struct az_setting schema[] = {
  { "instance", AZ_SETTING_STRING, FIELD (instance), true, 1, AZ_MAX_NAME,
    "name of this instance, unique among running ones" },
  { "domain", AZ_SETTING_STRING, FIELD (domain), true, 1, AZ_MAX_NAME,
    "failure domain of this instance" },
  { "rpc_address", AZ_SETTING_ADDRESS, FIELD (rpc_address), true, 0, 0,
    "address for agents and other entries, as they reach it" },
  { "rpc_listen_address", AZ_SETTING_ADDRESS, FIELD (rpc_listen_address), false, 0, 0,
    "address to listen on if others reach rpc_address through a forwarder" },
  { "http_address", AZ_SETTING_ADDRESS, FIELD (http_address), true, 0, 0,
    "address for callers and operators, as they reach it" },
  { "store", AZ_SETTING_ADDRESS, FIELD (store_address), true, 0, 0,
    "address of the key-value service" },
  AZ_HTTP_LIMIT_SETTINGS (az_entry_options, limits),
};

int
main (int argc, char **argv)
{
  struct az_entry_options options = { 0 };
  const GOptionEntry extra_options[] = {
    { "event-log", 0, 0, G_OPTION_ARG_FILENAME, &options.event_log, "Append events to FILE",
      "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  const struct az_program program = {
    .name = "azurerock-entry",
    .summary = "Serves callers, owns jobs and dispatches their tasks",
    .schema = schema,
    .n_schema = G_N_ELEMENTS (schema),
    .settings = &options,
    .extra_options = extra_options,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = az_entry_program_run (&options);
  az_settings_clear (schema, G_N_ELEMENTS (schema), &options);
  g_free (options.event_log);
  return exit_code;
}
