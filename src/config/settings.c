#include "azurerock/settings.h"
#include <string.h>
#include <uv.h>

GQuark
az_settings_error_quark (void)
{
  return g_quark_from_static_string ("az-settings-error");
}

/* A larger file is certainly not a settings file and is refused. */
#define FILE_BYTES_MAX 1048576

static void
report (GString *messages, const char *origin, const char *field, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

static void
report (GString *messages, const char *origin, const char *field, const char *format, ...)
{
  va_list arguments;

  if (messages->len > 0)
    g_string_append_c (messages, '\n');
  g_string_append_printf (messages, "%s: ", origin);
  if (field)
    g_string_append_printf (messages, "%s: ", field);
  va_start (arguments, format);
  g_string_append_vprintf (messages, format, arguments);
  va_end (arguments);
}

/* Accepts "IPV4:PORT" and "[IPV6]:PORT" with a numeric address and port. */
static bool
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = NULL;
  struct sockaddr_storage storage;
  guint64 port;
  size_t length;

  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return false;
  length = (size_t)(colon - text);
  if (length > 2 && text[0] == '[' && text[length - 1] == ']')
    {
      host = g_strndup (text + 1, length - 2);
      return uv_ip6_addr (host, (int)port, (struct sockaddr_in6 *)&storage) == 0;
    }
  host = g_strndup (text, length);
  return uv_ip4_addr (host, (int)port, (struct sockaddr_in *)&storage) == 0;
}

static void
read_string (GString *messages,
             const char *origin,
             const struct az_setting *setting,
             const json_t *value,
             char **to)
{
  if (!json_is_string (value))
    report (messages, origin, setting->name, "must be a string");
  else if (setting->type == AZ_SETTING_ADDRESS && !is_address (json_string_value (value)))
    report (messages, origin, setting->name,
            "\"%s\" must be a numeric IP address and a port, as in \"127.0.0.1:7001\"",
            json_string_value (value));
  else
    {
      g_free (*to);
      *to = g_strdup (json_string_value (value));
    }
}

static void
read_integer (GString *messages,
              const char *origin,
              const struct az_setting *setting,
              const json_t *value,
              int64_t *to)
{
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value))
    report (messages, origin, setting->name, "must be an integer");
  else if (number < setting->minimum || number > setting->maximum)
    report (messages, origin, setting->name,
            "%" G_GINT64_FORMAT " is out of range: must be %" G_GINT64_FORMAT
            " to %" G_GINT64_FORMAT,
            (int64_t)number, setting->minimum, setting->maximum);
  else
    *to = number;
}

static void
read_number (GString *messages,
             const char *origin,
             const struct az_setting *setting,
             const json_t *value,
             double *to)
{
  double number = json_number_value (value);

  if (!json_is_number (value))
    report (messages, origin, setting->name, "must be a number");
  else if (number < (double)setting->minimum || number > (double)setting->maximum)
    report (messages, origin, setting->name,
            "%g is out of range: must be %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, number,
            setting->minimum, setting->maximum);
  else
    *to = number;
}

static void
read_strings (GString *messages,
              const char *origin,
              const struct az_setting *setting,
              const json_t *value,
              GPtrArray **to)
{
  GPtrArray *strings = g_ptr_array_new_with_free_func (g_free);

  if (!json_is_array (value))
    report (messages, origin, setting->name, "must be an array of strings");
  for (size_t i = 0; i < json_array_size (value); i++)
    {
      const json_t *item = json_array_get (value, i);

      if (json_is_string (item))
        g_ptr_array_add (strings, g_strdup (json_string_value (item)));
      else
        report (messages, origin, setting->name, "item %zu must be a string", i);
    }
  g_clear_pointer (to, g_ptr_array_unref);
  *to = strings;
}

static void
read_setting (GString *messages,
              const char *origin,
              const struct az_setting *setting,
              const json_t *value,
              char *to)
{
  switch (setting->type)
    {
    case AZ_SETTING_STRING:
    case AZ_SETTING_ADDRESS:
      read_string (messages, origin, setting, value, (char **)to);
      break;
    case AZ_SETTING_INTEGER:
      read_integer (messages, origin, setting, value, (int64_t *)to);
      break;
    case AZ_SETTING_NUMBER:
      read_number (messages, origin, setting, value, (double *)(void *)to);
      break;
    case AZ_SETTING_BOOLEAN:
      if (json_is_boolean (value))
        *(bool *)to = json_is_true (value);
      else
        report (messages, origin, setting->name, "must be true or false");
      break;
    case AZ_SETTING_STRINGS:
      read_strings (messages, origin, setting, value, (GPtrArray **)to);
      break;
    }
}

static bool
is_known (const struct az_setting *schema, size_t n_schema, const char *name)
{
  for (size_t i = 0; i < n_schema; i++)
    if (!strcmp (schema[i].name, name))
      return true;
  return false;
}

static void
read_settings (GString *messages,
               const char *origin,
               const struct az_setting *schema,
               size_t n_schema,
               json_t *json,
               void *settings)
{
  const char *key;
  json_t *value;

  json_object_foreach (json, key, value)
  {
    if (!is_known (schema, n_schema, key))
      report (messages, origin, key, "unknown field");
  }
  for (size_t i = 0; i < n_schema; i++)
    {
      value = json_object_get (json, schema[i].name);
      if (value)
        read_setting (messages, origin, &schema[i], value, (char *)settings + schema[i].offset);
      else if (schema[i].required)
        report (messages, origin, schema[i].name, "missing");
    }
}

gboolean
az_settings_load_text (const char *text,
                       size_t length,
                       const char *origin,
                       const struct az_setting *schema,
                       size_t n_schema,
                       void *settings,
                       GError **error)
{
  g_autoptr (GString) messages = g_string_new (NULL);
  json_error_t json_error;
  json_t *json = json_loadb (text, length, JSON_REJECT_DUPLICATES, &json_error);

  if (!json)
    report (messages, origin, NULL, "line %d, column %d: %s", json_error.line, json_error.column,
            json_error.text);
  else if (!json_is_object (json))
    report (messages, origin, NULL, "must be a JSON object");
  else
    read_settings (messages, origin, schema, n_schema, json, settings);
  json_decref (json);
  if (messages->len == 0)
    return TRUE;
  g_set_error_literal (error, AZ_SETTINGS_ERROR, 0, messages->str);
  return FALSE;
}

gboolean
az_settings_load (const char *path,
                  const struct az_setting *schema,
                  size_t n_schema,
                  void *settings,
                  GError **error)
{
  g_autoptr (GError) file_error = NULL;
  g_autofree char *text = NULL;
  size_t length;

  if (!g_file_get_contents (path, &text, &length, &file_error))
    {
      g_set_error_literal (error, AZ_SETTINGS_ERROR, 0, file_error->message);
      return FALSE;
    }
  if (length > FILE_BYTES_MAX)
    {
      g_set_error (error, AZ_SETTINGS_ERROR, 0, "%s: the file is larger than 1 MiB, the maximum",
                   path);
      return FALSE;
    }
  return az_settings_load_text (text, length, path, schema, n_schema, settings, error);
}

void
az_settings_clear (const struct az_setting *schema, size_t n_schema, void *settings)
{
  for (size_t i = 0; i < n_schema; i++)
    {
      void *field = (char *)settings + schema[i].offset;

      if (schema[i].type == AZ_SETTING_STRING || schema[i].type == AZ_SETTING_ADDRESS)
        g_clear_pointer ((char **)field, g_free);
      else if (schema[i].type == AZ_SETTING_STRINGS)
        g_clear_pointer ((GPtrArray **)field, g_ptr_array_unref);
    }
}
