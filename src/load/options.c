#include "load/settings.h"
#include <jansson.h>
#include <string.h>

/* Settings given on the command line, as the JSON object of a settings file. */
static json_t *overrides;

/* Short names of settings. @factor converts the unit of the option to that of the setting. */
static const struct alias
{
  const char *option;
  const char *setting;
  gint64 factor;
  const char *help;
} aliases[] = {
  { "entry", "entries", 1, "HTTP address of an entry, used in turn" },
  { "duration", "duration_ms", 1000, "no job is sent after this time in seconds" },
  { "rate", "rate_per_minute", 60, "job arrivals per second of the open loop" },
};

static const struct alias *
find_alias (const char *option)
{
  for (size_t i = 0; i < G_N_ELEMENTS (aliases); i++)
    if (strcmp (aliases[i].option, option + strspn (option, "-")) == 0)
      return &aliases[i];
  return NULL;
}

static const struct az_setting *
find_setting (const char *option)
{
  const struct alias *alias = find_alias (option);
  g_autofree char *name = g_strdelimit (g_strdup (option + strspn (option, "-")), "-", '_');

  if (alias)
    {
      g_free (name);
      name = g_strdup (alias->setting);
    }
  for (size_t i = 0; i < az_load_schema_length; i++)
    if (strcmp (az_load_schema[i].name, name) == 0)
      return &az_load_schema[i];
  return NULL;
}

static gboolean
add_integer (const struct az_setting *setting, gint64 factor, const char *value, GError **error)
{
  gint64 number;

  if (!g_ascii_string_to_signed (value, 10, setting->minimum, setting->maximum / factor, &number,
                                 error))
    {
      g_prefix_error (error, "%s: ", setting->name);
      return FALSE;
    }
  json_object_set_new (overrides, setting->name, json_integer (number * factor));
  return TRUE;
}

static void
add_to_list (const struct az_setting *setting, const char *value)
{
  json_t *list = json_object_get (overrides, setting->name);

  if (!list)
    {
      list = json_array ();
      json_object_set_new (overrides, setting->name, list);
    }
  json_array_append_new (list, json_string (value));
}

static gboolean
on_option (const char *option, const char *value, G_GNUC_UNUSED void *data, GError **error)
{
  const struct az_setting *setting = find_setting (option);
  const struct alias *alias = find_alias (option);

  if (!overrides)
    overrides = json_object ();
  if (setting->type == AZ_SETTING_INTEGER)
    return add_integer (setting, alias ? alias->factor : 1, value, error);
  if (setting->type == AZ_SETTING_STRINGS)
    add_to_list (setting, value);
  else if (setting->type == AZ_SETTING_BOOLEAN)
    json_object_set_new (overrides, setting->name, json_boolean (strcmp (value, "false") != 0));
  else
    json_object_set_new (overrides, setting->name, json_string (value));
  return TRUE;
}

static const char *
value_name (enum az_setting_type type)
{
  switch (type)
    {
    case AZ_SETTING_INTEGER:
      return "N";
    case AZ_SETTING_BOOLEAN:
      return "true|false";
    case AZ_SETTING_STRINGS:
      return "ADDRESS";
    default:
      return "TEXT";
    }
}

static GOptionEntry
make_entry (const char *option, const char *help, enum az_setting_type type)
{
  return (GOptionEntry){ .long_name = option,
                         .arg = G_OPTION_ARG_CALLBACK,
                         .arg_data = (void *)on_option,
                         .description = help,
                         .arg_description = value_name (type) };
}

const GOptionEntry *
az_load_options (void)
{
  static GOptionEntry *entries;
  size_t n = 0;

  if (entries)
    return entries;
  entries = g_new0 (GOptionEntry, az_load_schema_length + G_N_ELEMENTS (aliases) + 1);
  for (size_t i = 0; i < G_N_ELEMENTS (aliases); i++)
    entries[n++]
        = make_entry (aliases[i].option, aliases[i].help, find_setting (aliases[i].option)->type);
  for (size_t i = 0; i < az_load_schema_length; i++)
    entries[n++] = make_entry (g_strdelimit (g_strdup (az_load_schema[i].name), "_", '-'),
                               az_load_schema[i].help, az_load_schema[i].type);
  return entries;
}

gboolean
az_load_options_apply (struct az_load_settings *settings, GError **error)
{
  char *text;
  gboolean applied;

  if (!overrides)
    return TRUE;
  text = json_dumps (overrides, JSON_COMPACT);
  applied = az_settings_load_text (text, strlen (text), "command line", az_load_schema,
                                   az_load_schema_length, settings, error);
  free (text);
  json_decref (overrides);
  overrides = NULL;
  return applied;
}
