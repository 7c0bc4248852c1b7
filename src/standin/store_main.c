#include "azurerock/limits.h"
#include "azurerock/log.h"
#include "azurerock/program.h"
#include "standin/store.h"

struct store_settings
{
  char *listen;
  int64_t writes_per_s;
  int64_t reads_per_s;
};

static const struct az_setting schema[] = {
  { "listen", AZ_SETTING_ADDRESS, offsetof (struct store_settings, listen), false, 0, 0,
    "address of the HTTP server; port 0 picks one" },
  { "writes_per_s", AZ_SETTING_INTEGER, offsetof (struct store_settings, writes_per_s), false, 0,
    1000000, "limit of writes, 0 for none" },
  { "reads_per_s", AZ_SETTING_INTEGER, offsetof (struct store_settings, reads_per_s), false, 0,
    1000000, "limit of reads, 0 for none" },
};

static void
on_stop (void *context)
{
  struct az_standin_store *store = context;

  az_http_server_stop_accepting (store->server);
  az_standin_store_fail_waiting (store);
  az_http_server_destroy (store->server);
  az_standin_store_clear (store);
  az_program_close_signal_handles ();
}

static int
run (const struct store_settings *settings)
{
  struct az_standin_store store;
  struct az_http_handlers handlers
      = { az_standin_store_handle_request, az_standin_store_handle_disconnect, &store };
  g_autoptr (GError) error = NULL;
  uv_loop_t *loop = uv_default_loop ();

  az_standin_store_init (&store, loop);
  store.faults.writes.per_s = settings->writes_per_s;
  store.faults.reads.per_s = settings->reads_per_s;
  store.server
      = az_http_server_create (loop, settings->listen, AZ_REQUEST_BODY_MAX, &handlers, &error);
  if (!store.server)
    {
      az_log (LOG_ERR, "%s", error->message);
      az_standin_store_clear (&store);
      return AZ_EXIT_FAILURE;
    }
  az_program_set_stop_handler (loop, on_stop, &store);
  az_log (LOG_NOTICE, "listening on %s", az_http_server_local_address (store.server));
  uv_run (loop, UV_RUN_DEFAULT);
  return AZ_EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct store_settings settings = { .listen = g_strdup ("127.0.0.1:8500") };
  const struct az_program program = {
    .name = "azurerock-standin-store",
    .summary = "Test stand-in for the platform's key-value service",
    .schema = schema,
    .n_schema = G_N_ELEMENTS (schema),
    .settings = &settings,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = run (&settings);
  az_settings_clear (schema, G_N_ELEMENTS (schema), &settings);
  return exit_code;
}
