#include "azurerock/limits.h"
#include "azurerock/log.h"
#include "azurerock/program.h"
#include "standin/upstream.h"

struct upstream_settings
{
  char *listen;
  int64_t slots;
  int64_t tracked_tasks;
};

static const struct az_setting schema[] = {
  { "listen", AZ_SETTING_ADDRESS, offsetof (struct upstream_settings, listen), false, 0, 0,
    "address of the HTTP server; port 0 picks one" },
  { "slots", AZ_SETTING_INTEGER, offsetof (struct upstream_settings, slots), false, 1, 4096,
    "tasks that run at once; more are answered 503" },
  { "tracked_tasks", AZ_SETTING_INTEGER, offsetof (struct upstream_settings, tracked_tasks), false,
    0, 100000000, "tasks whose starts are counted one by one" },
};

static void
on_drained (void *context)
{
  struct az_upstream_standin *standin = context;

  standin->drained = NULL;
  az_http_server_stop_accepting (standin->server);
  az_http_server_destroy (standin->server);
  for (uint32_t i = 0; i < standin->n_slots; i++)
    uv_close ((uv_handle_t *)&standin->slots[i].timer, NULL);
  az_program_close_signal_handles ();
}

static void
on_stop (void *context)
{
  az_upstream_standin_stop (context, on_drained, context);
}

static int
run (const struct upstream_settings *settings)
{
  struct az_upstream_standin standin;
  struct az_http_handlers handlers
      = { az_upstream_standin_handle_request, az_upstream_standin_handle_disconnect, &standin };
  g_autoptr (GError) error = NULL;
  uv_loop_t *loop = uv_default_loop ();

  az_upstream_standin_init (&standin, loop, (uint32_t)settings->slots,
                            (uint64_t)settings->tracked_tasks);
  standin.server
      = az_http_server_create (loop, settings->listen, AZ_REQUEST_BODY_MAX, &handlers, &error);
  if (!standin.server)
    {
      az_log (LOG_ERR, "%s", error->message);
      az_upstream_standin_clear (&standin);
      return AZ_EXIT_FAILURE;
    }
  az_program_set_stop_handler (loop, on_stop, &standin);
  az_log (LOG_NOTICE, "listening on %s", az_http_server_local_address (standin.server));
  uv_run (loop, UV_RUN_DEFAULT);
  az_upstream_standin_clear (&standin);
  return AZ_EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct upstream_settings settings
      = { .listen = g_strdup ("127.0.0.1:9000"), .slots = 8, .tracked_tasks = 1000000 };
  const struct az_program program = {
    .name = "azurerock-standin-upstream",
    .summary = "Test stand-in for an upstream that runs sleep tasks",
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
