#include "azurerock/program.h"
#include "gateway/program.h"

#define FIELD(name) offsetof (struct az_gateway_options, name)

const struct az_setting az_gateway_schema[] = {
  { "instance", AZ_SETTING_STRING, FIELD (instance), true, 1, AZ_MAX_NAME,
    "name of this instance, unique among running ones" },
  { "domain", AZ_SETTING_STRING, FIELD (domain), true, 1, AZ_MAX_NAME,
    "failure domain of this instance" },
  { "jobs_address", AZ_SETTING_ADDRESS, FIELD (jobs_address), true, 0, 0,
    "where callers send jobs" },
  { "ready_address", AZ_SETTING_ADDRESS, FIELD (ready_address), true, 0, 0,
    "where the balancer asks whether this instance takes connections" },
  { "metrics_address", AZ_SETTING_ADDRESS, FIELD (metrics_address), false, 0, 0,
    "address of /metrics" },
  { "peer_address", AZ_SETTING_ADDRESS, FIELD (peer_address), true, 0, 0,
    "where sidecars and other gateways connect" },
  { "advertised_address", AZ_SETTING_ADDRESS, FIELD (advertised_address), false, 0, 0,
    "address that peers are told to connect to, if it isn't the peer address" },
  { "store_address", AZ_SETTING_ADDRESS, FIELD (store_address), true, 0, 0,
    "address of the platform's metadata store" },
  { "seeds", AZ_SETTING_STRINGS, FIELD (seeds), false, 0, 0, "addresses whose hosts run gateways" },
  { "seed_port", AZ_SETTING_INTEGER, FIELD (seed_port), true, 1, 65535,
    "port of the peer address of gateways" },
  { "grace_s", AZ_SETTING_NUMBER, FIELD (grace_s), false, 0, 3600,
    "time from SIGTERM until the process is killed" },
  { "configuration_apply_ms", AZ_SETTING_INTEGER, FIELD (configuration_apply_ms), false, 100,
    3600000, "time within which a published configuration has to be in force" },
  { "remote_factor", AZ_SETTING_NUMBER, FIELD (remote_factor), false, 1, 100,
    "run time of a task away from the label that it prefers, as a multiple" },
  { "tail_aware_moves", AZ_SETTING_BOOLEAN, FIELD (tail_aware_moves), false, 0, 0,
    "whether a slow task is left where it is if it is probably long in itself" },
  { "relative_slowness", AZ_SETTING_BOOLEAN, FIELD (relative_slowness), false, 0, 0,
    "whether tasks on slow hardware are compared with its usual speed; only with "
    "tail_aware_moves" },
  { "separate_queues", AZ_SETTING_BOOLEAN, FIELD (separate_queues), false, 0, 0,
    "whether queues whose tasks slow each other down run on different upstreams if there is room" },
  { "body_max", AZ_SETTING_INTEGER, FIELD (body_max), false, 1024, 16777216,
    "longest body of a request, in bytes" },
  { "share_demand", AZ_SETTING_BOOLEAN, FIELD (share_demand), false, 0, 0,
    "when cores are short, use no more of them than this gateway's share of the demand" },
  { "fair_queue_shares", AZ_SETTING_BOOLEAN, FIELD (fair_queue_shares), false, 0, 0,
    "when cores are short, divide them among the queues of a service" },
  { "priority_discount", AZ_SETTING_NUMBER, FIELD (priority_discount), false, 0, 100,
    "how much each step of priority lowers the weight of a queue's share; 0: not at all" },
  AZ_HTTP_LIMIT_SETTINGS (az_gateway_options, limits),
};

const size_t az_gateway_n_schema = G_N_ELEMENTS (az_gateway_schema);

int
main (int argc, char **argv)
{
  struct az_gateway_options options
      = { .grace_s = 5, .configuration_apply_ms = 2000, .remote_factor = 1.5, .body_max = 1048576 };
  const struct az_program program = {
    .name = "azurerock-gateway",
    .summary = "Takes jobs from callers and places their tasks on upstreams",
    .schema = az_gateway_schema,
    .n_schema = G_N_ELEMENTS (az_gateway_schema),
    .settings = &options,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  if (az_program_init (&program, &argc, &argv, &exit_code))
    {
      if (!options.advertised_address)
        options.advertised_address = g_strdup (options.peer_address);
      exit_code = az_gateway_program_run (&options);
    }
  az_settings_clear (az_gateway_schema, G_N_ELEMENTS (az_gateway_schema), &options);
  return exit_code;
}
