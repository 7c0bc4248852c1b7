#include "dispatch/settings_watch.h"
#include "azurerock/log.h"
#include <string.h>

#define CHECK_INTERVAL_US 3000000

static char *
read_file (const char *path)
{
  char *contents = NULL;

  if (path)
    g_file_get_contents (path, &contents, NULL, NULL);
  return contents;
}

void
az_settings_watch_open (struct az_settings_watch *watch)
{
  watch->contents = read_file (watch->path);
}

void
az_settings_watch_close (struct az_settings_watch *watch)
{
  g_clear_pointer (&watch->contents, g_free);
}

static void
load_seeds (struct az_settings_watch *watch)
{
  g_autofree char *settings = g_malloc0 (watch->size);
  GPtrArray **seeds = (void *)(settings + watch->seeds_offset);
  g_autoptr (GError) error = NULL;

  if (!az_settings_load_text (watch->contents, strlen (watch->contents), watch->path, watch->schema,
                              watch->n_schema, settings, &error))
    {
      az_log (LOG_ERR, "event=reload outcome=invalid reason=\"%s\"", error->message);
    }
  else if (*seeds)
    {
      az_log (LOG_NOTICE, "event=reload outcome=read seeds=%u", (*seeds)->len);
      watch->add_seeds (watch->context, *seeds);
    }
  az_settings_clear (watch->schema, watch->n_schema, settings);
}

void
az_settings_watch_check (struct az_settings_watch *watch)
{
  char *contents = read_file (watch->path);

  /* The file may be missing briefly while it is being replaced. */
  if (!contents || !g_strcmp0 (contents, watch->contents))
    {
      g_free (contents);
      return;
    }
  g_free (watch->contents);
  watch->contents = contents;
  load_seeds (watch);
}

void
az_settings_watch_check_if_due (struct az_settings_watch *watch, int64_t now_us)
{
  if (now_us - watch->last_checked_us < CHECK_INTERVAL_US)
    return;
  watch->last_checked_us = now_us;
  az_settings_watch_check (watch);
}
