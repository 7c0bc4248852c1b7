#ifndef AZUREROCK_DISPATCH_SETTINGS_WATCH_H
#define AZUREROCK_DISPATCH_SETTINGS_WATCH_H

#include "azurerock/settings.h"
#include <glib.h>

/**
 * struct az_settings_watch - detects changes of a settings file, with or without a signal
 * @path: NULL if there is no file to watch
 * @size: size of the structure that @schema describes
 * @seeds_offset: offset of its GPtrArray * of seeds
 * @add_seeds: gets the seeds, the addresses of the first gateways to contact, after the file has
 *   changed
 * @context: passed to @add_seeds
 * @contents: file contents as last read
 * @last_checked_us: monotonic time of the last check by az_settings_watch_check_if_due()
 *
 * Only changed seeds take effect in a running process; the other settings need a restart.
 */
struct az_settings_watch
{
  const char *path;
  const struct az_setting *schema;
  size_t n_schema;
  size_t size;
  size_t seeds_offset;
  void (*add_seeds) (void *context, const GPtrArray *seeds);
  void *context;
  char *contents;
  int64_t last_checked_us;
};

/** az_settings_watch_open - reads the file; later changes are relative to these contents */
void
az_settings_watch_open (struct az_settings_watch *watch);
void
az_settings_watch_close (struct az_settings_watch *watch);

/** az_settings_watch_check - reads the file again and adds its seeds if it has changed; an invalid
 * file is logged and otherwise ignored */
void
az_settings_watch_check (struct az_settings_watch *watch);

/** az_settings_watch_check_if_due - like az_settings_watch_check(), but does nothing if the last
 * check was less than 3 s ago */
void
az_settings_watch_check_if_due (struct az_settings_watch *watch, int64_t now_us);

#endif
