#include "azurerock/program.h"
#include "sidecar/program.h"

#define FIELD(name) offsetof (struct az_sidecar_options, name)

const struct az_setting az_sidecar_schema[] = {
  { "instance", AZ_SETTING_STRING, FIELD (instance), true, 1, AZ_MAX_NAME,
    "name of this instance, unique among running ones" },
  { "domain", AZ_SETTING_STRING, FIELD (domain), true, 1, AZ_MAX_NAME,
    "failure domain of this instance" },
  { "registry_address", AZ_SETTING_ADDRESS, FIELD (registry_address), true, 0, 0,
    "where the upstream instance announces itself" },
  { "metrics_address", AZ_SETTING_ADDRESS, FIELD (metrics_address), false, 0, 0,
    "address of /metrics" },
  { "store_address", AZ_SETTING_ADDRESS, FIELD (store_address), true, 0, 0,
    "address of the platform's metadata store" },
  { "seeds", AZ_SETTING_STRINGS, FIELD (seeds), false, 0, 0, "addresses whose hosts run gateways" },
  { "seed_port", AZ_SETTING_INTEGER, FIELD (seed_port), true, 1, 65535,
    "port of the peer address of gateways" },
  { "grace_s", AZ_SETTING_NUMBER, FIELD (grace_s), false, 0, 3600,
    "time from SIGTERM until the process is killed" },
  { "stop_ms", AZ_SETTING_NUMBER, FIELD (stop_ms), false, 0, 60000,
    "time that the upstream takes at most to stop a task" },
  { "lease_max_ms", AZ_SETTING_NUMBER, FIELD (lease_max_ms), false, 100, 60000,
    "longest lease that the upstream grants its tasks" },
  { "relative_slowness", AZ_SETTING_BOOLEAN, FIELD (relative_slowness), false, 0, 0,
    "whether the upstream counts as slow compared with its own usual speed" },
  { "report_interference", AZ_SETTING_BOOLEAN, FIELD (report_interference), false, 0, 0,
    "whether gateways get evidence of which queues slow each other down; only if none of them is "
    "older than this release" },
  AZ_HTTP_LIMIT_SETTINGS (az_sidecar_options, limits),
};

const size_t az_sidecar_n_schema = G_N_ELEMENTS (az_sidecar_schema);

int
main (int argc, char **argv)
{
  struct az_sidecar_options options = { .grace_s = 5, .stop_ms = 50, .lease_max_ms = 1000 };
  const struct az_program program = {
    .name = "azurerock-sidecar",
    .summary = "Runs beside an upstream instance, manages its capacity and starts its tasks",
    .schema = az_sidecar_schema,
    .n_schema = G_N_ELEMENTS (az_sidecar_schema),
    .settings = &options,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = az_sidecar_program_run (&options);
  az_settings_clear (az_sidecar_schema, G_N_ELEMENTS (az_sidecar_schema), &options);
  return exit_code;
}
