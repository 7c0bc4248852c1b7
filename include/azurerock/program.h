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
 * struct az_program - what every program declares
 * @extra: further command line options, or NULL
 */
struct az_program
{
  const char *name;
  const char *summary;
  const struct az_setting *schema;
  size_t n_schema;
  void *settings;
  const GOptionEntry *extra;
};

/**
 * az_program_start - parses --help, --version, --config, --check-config, --log-level and
 * @program->extra, opens the log and loads the settings
 * @exit_code: receives the exit code when the program is to end
 *
 * Return: whether the program goes on.
 */
bool
az_program_start (const struct az_program *program, int *argc, char ***argv, int *exit_code);

/** az_program_settings_path - the settings file that az_program_start() read, or NULL */
const char *
az_program_settings_path (void);

/** az_program_on_stop - calls @stop on the first SIGTERM or SIGINT; the second ends the process
 * with exit code 1 */
void
az_program_on_stop (uv_loop_t *loop, void (*stop) (void *context), void *context);

/** az_program_release_signals - closes the signal handles so that the loop can end */
void
az_program_release_signals (void);

/** az_random_incarnation - random non-zero 64-bit number from the system's source */
uint64_t
az_random_incarnation (void);

#endif
