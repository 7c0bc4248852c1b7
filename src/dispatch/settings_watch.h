#ifndef AZUREROCK_DISPATCH_SETTINGS_WATCH_H
#define AZUREROCK_DISPATCH_SETTINGS_WATCH_H

#include "azurerock/settings.h"
#include <glib.h>

/**
 * struct az_settings_watch - notices that a settings file has changed, also without a signal
 *
 * Addresses hold for the life of a process; only the seeds may change in it.
 * @size: of the structure that @schema describes
 * @seeds_offset: of its GPtrArray * of seeds
 */
struct az_settings_watch
{
  const char *path; /* NULL: nothing changes */
  const struct az_setting *schema;
  size_t n_schema;
  size_t size;
  size_t seeds_offset;
  char *contents; /* as last read */
  int64_t looked_us;
};

/** az_settings_watch_open - takes the present contents as known */
void
az_settings_watch_open (struct az_settings_watch *watch);
void
az_settings_watch_close (struct az_settings_watch *watch);

/**
 * az_settings_watch_look - reads the file
 *
 * Return: the seeds of a valid file that has changed, to be freed; NULL otherwise. An invalid file
 * is logged, and what was in force stays.
 */
GPtrArray *
az_settings_watch_look (struct az_settings_watch *watch);

/** az_settings_watch_look_if_due - the same, every 3 s; NULL in between */
GPtrArray *
az_settings_watch_look_if_due (struct az_settings_watch *watch, int64_t now_us);

#endif
