#include "azurerock/program.h"
#include "azurerock/log.h"
#include <signal.h>
#include <string.h>

static char *settings_path;

const char *
az_program_settings_path (void)
{
  return settings_path;
}

/* Options that every program accepts. */
struct common_options
{
  char *config;
  char *log_level;
  gboolean version;
  gboolean check_config;
  gboolean help_settings;
};

static void
print_settings_help (const struct az_program *program)
{
  static const char *const types[] = {
    [AZ_SETTING_STRING] = "string",   [AZ_SETTING_ADDRESS] = "address \"ip:port\"",
    [AZ_SETTING_INTEGER] = "integer", [AZ_SETTING_NUMBER] = "number",
    [AZ_SETTING_BOOLEAN] = "boolean", [AZ_SETTING_STRINGS] = "array of strings",
  };

  for (size_t i = 0; i < program->n_schema; i++)
    {
      const struct az_setting *setting = &program->schema[i];

      g_print ("%s (%s", setting->name, types[setting->type]);
      if (setting->type == AZ_SETTING_INTEGER)
        g_print (", %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, setting->minimum, setting->maximum);
      g_print ("%s): %s\n", setting->required ? ", required" : "", setting->help);
    }
}

static bool
has_positional_arguments (const GOptionEntry *entries)
{
  for (; entries && entries->long_name; entries++)
    if (!strcmp (entries->long_name, G_OPTION_REMAINING))
      return true;
  return false;
}

static bool
parse_options (const struct az_program *program,
               struct common_options *options,
               int *argc,
               char ***argv,
               GError **error)
{
  const GOptionEntry entries[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version", NULL },
    { "config", 0, 0, G_OPTION_ARG_FILENAME, &options->config, "Settings file (JSON)", "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_config,
      "Check the settings file and exit", NULL },
    { "help-settings", 0, 0, G_OPTION_ARG_NONE, &options->help_settings,
      "List the fields of the settings file", NULL },
    { "log-level", 0, 0, G_OPTION_ARG_STRING, &options->log_level,
      "error, warning, notice, info (default) or debug", "LEVEL" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context
      = g_option_context_new (has_positional_arguments (program->extra_options) ? NULL : "");
  bool parsed;

  g_option_context_set_summary (context, program->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  if (program->extra_options)
    g_option_context_add_main_entries (context, program->extra_options, NULL);
  parsed = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  return parsed;
}

static bool
set_exit_code (int code, int *exit_code)
{
  *exit_code = code;
  return false;
}

static bool
report_usage_error (const struct az_program *program, const char *message, int *exit_code)
{
  g_printerr ("%s: %s\nTry '%s --help'.\n", program->name, message, program->name);
  return set_exit_code (AZ_EXIT_USAGE, exit_code);
}

static bool
load_settings (const struct az_program *program, const char *path, int *exit_code)
{
  g_autoptr (GError) error = NULL;
  bool loaded;

  if (path)
    loaded = az_settings_load (path, program->schema, program->n_schema, program->settings, &error);
  else
    loaded = az_settings_load_text ("{}", 2, "no settings file", program->schema, program->n_schema,
                                    program->settings, &error);
  if (loaded)
    return true;
  g_printerr ("%s\n", error->message);
  return set_exit_code (AZ_EXIT_INVALID, exit_code);
}

static bool
apply_options (const struct az_program *program,
               const struct common_options *options,
               int *exit_code)
{
  int level = az_log_parse_level (options->log_level ? options->log_level : "info");

  if (options->version)
    {
      g_print ("%s %s\n", program->name, AZ_VERSION);
      return set_exit_code (AZ_EXIT_SUCCESS, exit_code);
    }
  if (options->help_settings)
    {
      print_settings_help (program);
      return set_exit_code (AZ_EXIT_SUCCESS, exit_code);
    }
  if (level < 0)
    return report_usage_error (program, "unknown log level", exit_code);
  az_log_init (program->name, level);
  if (!load_settings (program, options->config, exit_code))
    return false;
  return options->check_config ? set_exit_code (AZ_EXIT_SUCCESS, exit_code) : true;
}

bool
az_program_init (const struct az_program *program, int *argc, char ***argv, int *exit_code)
{
  struct common_options options = { 0 };
  g_autoptr (GError) error = NULL;
  bool should_run;

  /* A write to a connection that the peer closed must fail with EPIPE, not kill the process. */
  signal (SIGPIPE, SIG_IGN);
  if (!parse_options (program, &options, argc, argv, &error))
    should_run = report_usage_error (program, error->message, exit_code);
  else if (*argc > 1)
    should_run = report_usage_error (program, "unexpected argument", exit_code);
  else
    should_run = apply_options (program, &options, exit_code);
  g_free (settings_path);
  settings_path = options.config;
  g_free (options.log_level);
  return should_run;
}
