#include "azurerock/log.h"
#include "azurerock/program.h"
#include "load/load.h"

static void
on_done (struct az_load *load)
{
  az_load_close (load);
  az_program_close_signal_handles ();
}

static void
on_stop (void *context)
{
  az_load_stop (context);
}

static int
run (const struct az_load_settings *settings)
{
  g_autoptr (GError) error = NULL;
  uv_loop_t *loop = uv_default_loop ();
  struct az_load *load = az_load_create (settings, loop, &error);
  bool correct;

  if (!load)
    {
      az_log (LOG_ERR, "%s", error->message);
      return AZ_EXIT_FAILURE;
    }
  az_program_set_stop_handler (loop, on_stop, load);
  az_load_start (load, on_done);
  uv_run (loop, UV_RUN_DEFAULT);
  correct = az_load_report (load);
  az_load_destroy (load);
  return correct ? AZ_EXIT_SUCCESS : AZ_EXIT_FAILURE;
}

static int
check_and_run (struct az_load_settings *settings)
{
  g_autoptr (GError) error = NULL;

  if (!az_load_options_apply (settings, &error) || !az_load_settings_check (settings, &error))
    {
      g_printerr ("%s\n", error->message);
      return AZ_EXIT_USAGE;
    }
  return run (settings);
}

int
main (int argc, char **argv)
{
  struct az_load_settings settings;
  const struct az_program program = {
    .name = "azurerock-load",
    .summary = "Load generator: sends jobs to entries and checks and times the answers",
    .schema = az_load_schema,
    .n_schema = az_load_schema_length,
    .settings = &settings,
    .extra_options = az_load_options (),
  };
  int exit_code = AZ_EXIT_SUCCESS;

  az_load_settings_init (&settings);
  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = check_and_run (&settings);
  az_settings_clear (az_load_schema, az_load_schema_length, &settings);
  return exit_code;
}
