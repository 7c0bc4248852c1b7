#include "azurerock/configuration.h"
#include <string.h>

GQuark
az_configuration_error_quark (void)
{
  return g_quark_from_static_string ("az-configuration-error");
}

/* Formats each error as a line "file: kind/name: field: message". */
static void
set_objects_error (const GPtrArray *errors, GError **error)
{
  g_autoptr (GString) text = g_string_new (NULL);

  for (guint i = 0; i < errors->len; i++)
    {
      const struct az_object_error *item = g_ptr_array_index (errors, i);

      g_string_append_printf (text, "%s%s: %s%s%s%s%s", i ? "\n" : "", item->file,
                              item->object ? item->object : "", item->object ? ": " : "",
                              item->field ? item->field : "", item->field ? ": " : "",
                              item->message);
    }
  g_set_error_literal (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_OBJECTS, text->str);
}

static struct az_object_set *
read_objects (const json_t *objects, GError **error)
{
  GPtrArray *errors = az_object_errors_create ();
  struct az_object_set *set = az_object_set_from_json (objects, "stored configuration", errors);

  if (!set)
    set_objects_error (errors, error);
  g_ptr_array_unref (errors);
  return set;
}

static struct az_configuration *
read_document (json_t *json, GError **error)
{
  json_int_t revision;
  const char *publish_id, *author, *time, *message;
  json_t *objects;
  json_error_t json_error;
  struct az_configuration *configuration;
  struct az_object_set *set;

  if (json_unpack_ex (json, &json_error, JSON_STRICT, "{s:I, s:s, s:s, s:s, s:s, s:o}", "revision",
                      &revision, "publish_id", &publish_id, "author", &author, "time", &time,
                      "message", &message, "objects", &objects)
          < 0
      || revision < 1)
    {
      g_set_error (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_SYNTAX,
                   "stored configuration: %s",
                   json_error.text[0] ? json_error.text : "revision: must be at least 1");
      return NULL;
    }
  set = read_objects (objects, error);
  if (!set)
    return NULL;
  configuration = g_new0 (struct az_configuration, 1);
  configuration->revision = (uint64_t)revision;
  configuration->publish_id = g_strdup (publish_id);
  configuration->author = g_strdup (author);
  configuration->time = g_strdup (time);
  configuration->message = g_strdup (message);
  configuration->objects = set;
  return configuration;
}

struct az_configuration *
az_configuration_parse (const char *document, size_t length, GError **error)
{
  struct az_configuration *configuration;
  json_error_t json_error;
  json_t *json = json_loadb (document, length, JSON_REJECT_DUPLICATES, &json_error);

  if (!json)
    {
      g_set_error (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_SYNTAX,
                   "stored configuration: line %d, column %d: %s", json_error.line,
                   json_error.column, json_error.text);
      return NULL;
    }
  configuration = read_document (json, error);
  json_decref (json);
  return configuration;
}

char *
az_configuration_format (const struct az_configuration *configuration)
{
  json_t *json = json_pack ("{s:I, s:s, s:s, s:s, s:s, s:o}", "revision",
                            (json_int_t)configuration->revision, "publish_id",
                            configuration->publish_id, "author", configuration->author, "time",
                            configuration->time, "message", configuration->message, "objects",
                            az_object_set_to_json (configuration->objects));
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

void
az_configuration_destroy (struct az_configuration *configuration)
{
  if (!configuration)
    return;
  g_free (configuration->publish_id);
  g_free (configuration->author);
  g_free (configuration->time);
  g_free (configuration->message);
  az_object_set_destroy (configuration->objects);
  g_free (configuration);
}
