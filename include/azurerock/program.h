#ifndef AZUREROCK_PROGRAM_H
#define AZUREROCK_PROGRAM_H

#include "azurerock/settings.h"
#include <uv.h>

#define AZ_VERSION "0.1.0"

enum az_exit
{
  AZ_EXIT_SUCCESS = 0,
  AZ_EXIT_FAILURE = 1,
  AZ_EXIT_USAGE = 2,
  AZ_EXIT_INVALID = 3,
  AZ_EXIT_CONFLICT = 4,
  AZ_EXIT_NOT_ACCEPTED = 5,
};

/**
 * struct az_program - description of a program for az_program_init()
 * @extra_options: further command line options, or NULL
 */
struct az_program
{
  const char *name;
  const char *summary;
  const struct az_setting *schema;
  size_t n_schema;
  void *settings;
  const GOptionEntry *extra_options;
};

/**
 * az_program_init - parses the common options (see --help) and @program->extra_options, sets up the
 * log and loads the settings
 * @exit_code: receives the exit code if the program must exit
 *
 * Return: false if the program must exit, after an error or an option such as --version.
 */
bool
az_program_init (const struct az_program *program, int *argc, char ***argv, int *exit_code);

/** az_program_settings_path - path of the settings file that az_program_init() read, or NULL */
const char *
az_program_settings_path (void);

/** az_program_set_stop_handler - calls @stop on the first SIGTERM or SIGINT; the second ends the
 * process with exit code 1 */
void
az_program_set_stop_handler (uv_loop_t *loop, void (*stop) (void *context), void *context);

/** az_program_close_signal_handles - closes the signal handles so that uv_run() can return */
void
az_program_close_signal_handles (void);

/** az_generate_incarnation - random non-zero number that identifies one run of a process */
uint64_t
az_generate_incarnation (void);

#endif
