#ifndef AZUREROCK_DISPATCH_SETTINGS_WATCH_H
#define AZUREROCK_DISPATCH_SETTINGS_WATCH_H

#include "azurerock/settings.h"
#include <glib.h>
#include <stdbool.h>

/** struct az_settings_watch - notices that a settings file has changed, also without a signal */
struct az_settings_watch
{
  const char *path;
  char *contents; /* as last read */
};

/** az_settings_watch_open - @path may be NULL: nothing changes then */
void
az_settings_watch_open (struct az_settings_watch *watch, const char *path);
void
az_settings_watch_close (struct az_settings_watch *watch);

/**
 * az_settings_watch_reload - reads the seeds of a file that has changed
 * @schema: of the whole file; @settings receives defaults and what the file holds
 *
 * Return: whether the file has changed and is valid. An invalid one is logged, and what was in
 * force stays. Free @settings with az_settings_clear() in either case.
 */
bool
az_settings_watch_reload (struct az_settings_watch *watch,
                          const struct az_setting *schema,
                          size_t n_schema,
                          void *settings);

#endif
