#include "standin/store_query.h"
#include <glib.h>
#include <string.h>

char *
az_standin_query_get (const char *query, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (query, "&", -1);
  size_t length = strlen (name);

  for (char **part = parts; *part; part++)
    {
      if (strncmp (*part, name, length) != 0)
        continue;
      if ((*part)[length] == '=')
        return g_uri_unescape_string (*part + length + 1, NULL);
      if ((*part)[length] == '\0')
        return g_strdup ("");
    }
  return NULL;
}

bool
az_standin_query_has (const char *query, const char *name)
{
  g_autofree char *value = az_standin_query_get (query, name);

  return value != NULL;
}

bool
az_standin_query_get_number (const char *query, const char *name, uint64_t *number)
{
  g_autofree char *value = az_standin_query_get (query, name);
  guint64 parsed = 0;

  if (value && !g_ascii_string_to_unsigned (value, 10, 0, G_MAXUINT64, &parsed, NULL))
    return false;
  *number = parsed;
  return true;
}

bool
az_standin_parse_duration (const char *text, int64_t *ms)
{
  char *unit;
  guint64 number = g_ascii_strtoull (text, &unit, 10);

  if (unit == text || number > 86400000)
    return false;
  if (!strcmp (unit, "ms"))
    *ms = (int64_t)number;
  else if (!strcmp (unit, "s"))
    *ms = (int64_t)number * 1000;
  else if (!strcmp (unit, "m"))
    *ms = (int64_t)number * 60000;
  else
    return false;
  return true;
}
