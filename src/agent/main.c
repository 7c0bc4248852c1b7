#include "agent/program.h"
#include "azurerock/program.h"

#define FIELD(name) offsetof (struct az_agent_options, name)

static const struct az_setting schema[] = {
  { "instance", AZ_SETTING_STRING, FIELD (instance), true, 1, AZ_MAX_NAME,
    "name of this instance, unique among running ones" },
  { "upstream", AZ_SETTING_STRING, FIELD (upstream), true, 1, AZ_MAX_NAME,
    "name of the upstream object that this instance belongs to" },
  { "domain", AZ_SETTING_STRING, FIELD (domain), true, 1, AZ_MAX_NAME,
    "failure domain of this instance" },
  { "slots", AZ_SETTING_INTEGER, FIELD (slots), true, 1, AZ_MAX_GRANTS,
    "tasks that the upstream runs at once" },
  { "upstream_address", AZ_SETTING_ADDRESS, FIELD (upstream_address), true, 0, 0,
    "HTTP address of the upstream" },
  { "connections", AZ_SETTING_INTEGER, FIELD (connections), false, 1, 4096,
    "connections to the upstream" },
  { "seeds", AZ_SETTING_STRINGS, FIELD (seeds), false, 0, 0,
    "RPC addresses of entries to ask first" },
  { "store", AZ_SETTING_ADDRESS, FIELD (store_address), false, 0, 0,
    "address of the key-value service, read for the roster when no entry answers" },
  { "http_address", AZ_SETTING_ADDRESS, FIELD (http_address), false, 0, 0,
    "address of /metrics and /healthz" },
};

int
main (int argc, char **argv)
{
  struct az_agent_options options = { .connections = 64 };
  const GOptionEntry extra_options[] = {
    { "event-log", 0, 0, G_OPTION_ARG_FILENAME, &options.event_log, "Append events to FILE",
      "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  const struct az_program program = {
    .name = "azurerock-agent",
    .summary = "Runs beside an upstream instance and starts its tasks",
    .schema = schema,
    .n_schema = G_N_ELEMENTS (schema),
    .settings = &options,
    .extra_options = extra_options,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = az_agent_program_run (&options);
  az_settings_clear (schema, G_N_ELEMENTS (schema), &options);
  g_free (options.event_log);
  return exit_code;
}
