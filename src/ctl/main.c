#include "ctl/ctl.h"
#include <string.h>

static struct az_ctl_options options = { .parent = -1, .wait_s = 6 };
static char *store_option;
static char **arguments;

static const struct az_setting schema[] = {
  { "store", AZ_SETTING_ADDRESS, offsetof (struct az_ctl_options, store), false, 0, 0,
    "address of the key-value service" },
  { "author", AZ_SETTING_STRING, offsetof (struct az_ctl_options, author), false, 0, 0,
    "name recorded in the history; the user's name by default" },
};

static const GOptionEntry entries[] = {
  { "store", 0, 0, G_OPTION_ARG_STRING, &store_option, "Address of the store", "IP:PORT" },
  { "message", 'm', 0, G_OPTION_ARG_STRING, &options.message, "Reason of a publication", "TEXT" },
  { "wait", 0, 0, G_OPTION_ARG_INT, &options.wait_s, "Longest wait for acceptance (default 6)",
    "SECONDS" },
  { "parent", 0, 0, G_OPTION_ARG_INT64, &options.parent,
    "Publish only if this revision is in the store (0: none)", "REVISION" },
  { "publish", 0, 0, G_OPTION_ARG_NONE, &options.publish, "Publish after withdraw or restore",
    NULL },
  { "event-log", 0, 0, G_OPTION_ARG_FILENAME, &options.event_log, "Append events to FILE", "FILE" },
  { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &arguments, NULL, "COMMAND [ARGUMENTS]" },
  G_OPTION_ENTRY_NULL,
};

static const char summary[] = "Commands:\n"
                              "  check DIR                report every error of the objects\n"
                              "  diff DIR                 compare the objects with the store\n"
                              "  publish DIR              check and publish the objects\n"
                              "  status                   show revision, roster and acceptance\n"
                              "  history                  show all publications\n"
                              "  withdraw KIND/NAME DIR   take an object out of service\n"
                              "  restore KIND/NAME DIR    put it back into service";

static int
report_usage (const char *problem)
{
  g_printerr ("azurerock-ctl: %s\nTry 'azurerock-ctl --help'.\n", problem);
  return AZ_EXIT_USAGE;
}

static int
set_in_service (struct az_ctl *ctl, bool in_service)
{
  const char *object = arguments[1];
  const char *directory = arguments[2];
  int exit_code = az_ctl_edit (directory, object, in_service);

  if (exit_code != AZ_EXIT_SUCCESS)
    return exit_code;
  if (options.publish)
    return az_ctl_publish (ctl, directory);
  g_print ("%s is %s in %s; to publish the change, run:\n  azurerock-ctl publish %s\n", object,
           in_service ? "in service" : "withdrawn", directory, directory);
  return AZ_EXIT_SUCCESS;
}

static int
run_check (struct az_ctl *ctl)
{
  (void)ctl;
  return az_ctl_check (arguments[1]);
}

static int
run_diff (struct az_ctl *ctl)
{
  return az_ctl_show_diff (ctl, arguments[1]);
}

static int
run_publish (struct az_ctl *ctl)
{
  return az_ctl_publish (ctl, arguments[1]);
}

static int
run_withdraw (struct az_ctl *ctl)
{
  return set_in_service (ctl, false);
}

static int
run_restore (struct az_ctl *ctl)
{
  return set_in_service (ctl, true);
}

static const struct command
{
  const char *name;
  guint n_arguments;
  int (*run) (struct az_ctl *ctl);
} commands[] = {
  { "check", 1, run_check },      { "diff", 1, run_diff },          { "publish", 1, run_publish },
  { "status", 0, az_ctl_status }, { "history", 0, az_ctl_history }, { "withdraw", 2, run_withdraw },
  { "restore", 2, run_restore },
};

static const struct command *
find_command (void)
{
  for (size_t i = 0; arguments && i < G_N_ELEMENTS (commands); i++)
    if (!strcmp (arguments[0], commands[i].name)
        && g_strv_length (arguments) == commands[i].n_arguments + 1)
      return &commands[i];
  return NULL;
}

static void
on_stop (void *context)
{
  ((struct az_ctl *)context)->stopping = true;
}

static int
run (const struct command *command)
{
  struct az_ctl ctl = { .options = &options, .loop = uv_default_loop () };
  g_autoptr (GError) error = NULL;
  int exit_code;

  ctl.events = az_event_log_create (options.event_log, "ctl", az_generate_incarnation (),
                                    az_clock_system (), &error);
  if (!ctl.events)
    {
      g_printerr ("%s\n", error->message);
      return AZ_EXIT_FAILURE;
    }
  ctl.store = az_store_client_create (ctl.loop, options.store);
  az_program_set_stop_handler (ctl.loop, on_stop, &ctl);
  exit_code = command->run (&ctl);
  az_store_client_destroy (ctl.store);
  az_program_close_signal_handles ();
  uv_run (ctl.loop, UV_RUN_DEFAULT);
  az_event_log_destroy (ctl.events);
  return exit_code;
}

static int
start (void)
{
  const struct command *command = find_command ();

  if (!command)
    return report_usage ("unknown command or wrong number of arguments");
  if (options.wait_s < 0 || options.wait_s > 3600)
    return report_usage ("--wait must be 0 to 3600 seconds");
  if (store_option)
    {
      g_free (options.store);
      options.store = g_steal_pointer (&store_option);
    }
  return run (command);
}

int
main (int argc, char **argv)
{
  const struct az_program program = {
    .name = "azurerock-ctl",
    .summary = summary,
    .schema = schema,
    .n_schema = G_N_ELEMENTS (schema),
    .settings = &options,
    .extra_options = entries,
  };
  int exit_code = AZ_EXIT_SUCCESS;

  options.store = g_strdup ("127.0.0.1:8500");
  if (az_program_init (&program, &argc, &argv, &exit_code))
    exit_code = start ();
  az_settings_clear (schema, G_N_ELEMENTS (schema), &options);
  g_free (store_option);
  g_free (options.message);
  g_free (options.event_log);
  g_strfreev (arguments);
  return exit_code;
}
