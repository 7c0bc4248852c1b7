#include "dispatch/settings_watch.h"
#include "azurerock/log.h"
#include <string.h>

static char *
read_file (const char *path)
{
  char *contents = NULL;

  if (path)
    g_file_get_contents (path, &contents, NULL, NULL);
  return contents;
}

void
az_settings_watch_open (struct az_settings_watch *watch, const char *path)
{
  watch->path = path;
  watch->contents = read_file (path);
}

void
az_settings_watch_close (struct az_settings_watch *watch)
{
  g_clear_pointer (&watch->contents, g_free);
}

bool
az_settings_watch_reload (struct az_settings_watch *watch,
                          const struct az_setting *schema,
                          size_t n_schema,
                          void *settings)
{
  char *contents = read_file (watch->path);
  g_autoptr (GError) error = NULL;

  /* A file that is being replaced may be missing for a moment. */
  if (!contents || !g_strcmp0 (contents, watch->contents))
    {
      g_free (contents);
      return false;
    }
  g_free (watch->contents);
  watch->contents = contents;
  if (az_settings_load_text (contents, strlen (contents), watch->path, schema, n_schema, settings,
                             &error))
    return true;
  az_log (LOG_ERR, "event=reload outcome=invalid reason=\"%s\"", error->message);
  return false;
}
