#include "config/object_set.h"
#include "proto/gen/azurerock.h"
#include <string.h>

/* State that is common to all fields of one object. */
struct reader
{
  struct az_object_set *set;
  const struct az_object_location *location;
  const char *prefix; /* start of field paths: "" or, in a nested object, its path and "." */
};

bool
az_object_name_is_valid (const char *name)
{
  size_t length
      = strspn (name, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-");

  return length >= 1 && length <= AZ_MAX_NAME && name[length] == '\0' && name[0] != '.';
}

static void
read_name (struct reader *reader, const char *path, const json_t *value, const char **to)
{
  if (!json_is_string (value))
    az_object_report (reader->location, path, "must be a string");
  else if (!az_object_name_is_valid (json_string_value (value)))
    az_object_report (reader->location, path,
                      "must be 1 to %d characters of A-Z a-z 0-9 . _ -, not starting with '.'",
                      AZ_MAX_NAME);
  else
    *to = g_string_chunk_insert_const (reader->set->strings, json_string_value (value));
}

static bool
read_integer (struct reader *reader,
              const char *path,
              const struct az_object_field *field,
              const json_t *value,
              int64_t *number)
{
  if (!json_is_integer (value))
    {
      az_object_report (reader->location, path, "must be an integer");
      return false;
    }
  *number = json_integer_value (value);
  if (*number >= field->minimum && *number <= field->maximum)
    return true;
  az_object_report (reader->location, path,
                    "%" G_GINT64_FORMAT " is out of range: must be %" G_GINT64_FORMAT
                    " to %" G_GINT64_FORMAT,
                    *number, field->minimum, field->maximum);
  return false;
}

static bool
read_reference (struct reader *reader,
                const char *path,
                enum az_object_kind target,
                const json_t *value,
                uint32_t *index)
{
  int found;

  if (!json_is_string (value))
    {
      az_object_report (reader->location, path, "must be the name of a %s",
                        az_object_schemas[target].kind);
      return false;
    }
  found = az_object_set_find (reader->set, target, json_string_value (value));
  if (found < 0)
    {
      az_object_report (reader->location, path, "no %s is named \"%s\"",
                        az_object_schemas[target].kind, json_string_value (value));
      return false;
    }
  *index = (uint32_t)found;
  return true;
}

static bool
has_index (const uint32_t *indexes, uint32_t count, uint32_t index)
{
  for (uint32_t i = 0; i < count; i++)
    if (indexes[i] == index)
      return true;
  return false;
}

static void
read_references (struct reader *reader,
                 const char *path,
                 const struct az_object_field *field,
                 const json_t *value,
                 char *row)
{
  uint32_t count = 0;
  uint32_t *indexes;

  if (!json_is_array (value) || json_array_size (value) == 0)
    {
      az_object_report (reader->location, path, "must be an array of one or more %s names",
                        az_object_schemas[field->target].kind);
      return;
    }
  indexes = g_new0 (uint32_t, json_array_size (value));
  g_ptr_array_add (reader->set->references, indexes);
  for (size_t i = 0; i < json_array_size (value); i++)
    {
      g_autofree char *item = g_strdup_printf ("%s[%zu]", path, i);
      uint32_t index;

      if (!read_reference (reader, item, field->target, json_array_get (value, i), &index))
        continue;
      if (has_index (indexes, count, index))
        az_object_report (reader->location, item, "listed more than once");
      else
        indexes[count++] = index;
    }
  *(const uint32_t **)(row + field->offset) = indexes;
  *(uint32_t *)(row + field->count_offset) = count;
}

static void
read_members (struct reader *reader,
              const struct az_object_field *fields,
              size_t n_fields,
              const json_t *json,
              char *row);

static void
read_nested (struct reader *reader,
             const char *path,
             const struct az_object_field *field,
             const json_t *value,
             char *to)
{
  g_autofree char *prefix = g_strdup_printf ("%s.", path);
  struct reader nested = { reader->set, reader->location, prefix };

  if (value && !json_is_object (value))
    az_object_report (reader->location, path, "must be an object");
  else
    read_members (&nested, field->members, field->n_members, value, to);
}

static void
read_field (struct reader *reader,
            const char *path,
            const struct az_object_field *field,
            const json_t *value,
            char *row)
{
  char *to = row + field->offset;
  int64_t number;

  switch (field->type)
    {
    case AZ_FIELD_NAME:
      read_name (reader, path, value, (const char **)to);
      break;
    case AZ_FIELD_BOOLEAN:
      if (!json_is_boolean (value))
        az_object_report (reader->location, path, "must be true or false");
      else
        *(bool *)to = json_is_true (value);
      break;
    case AZ_FIELD_UINT32:
      if (read_integer (reader, path, field, value, &number))
        *(uint32_t *)to = (uint32_t)number;
      break;
    case AZ_FIELD_INT64:
      if (read_integer (reader, path, field, value, &number))
        *(int64_t *)to = number;
      break;
    case AZ_FIELD_REFERENCE:
      read_reference (reader, path, field->target, value, (uint32_t *)to);
      break;
    case AZ_FIELD_REFERENCES:
      read_references (reader, path, field, value, row);
      break;
    case AZ_FIELD_MEMBERS:
      read_nested (reader, path, field, value, to);
      break;
    }
}

static void
set_default (const struct az_object_field *field, char *to)
{
  if (field->type == AZ_FIELD_BOOLEAN)
    *(bool *)to = field->default_value != 0;
  else if (field->type == AZ_FIELD_UINT32)
    *(uint32_t *)to = (uint32_t)field->default_value;
  else if (field->type == AZ_FIELD_INT64)
    *(int64_t *)to = field->default_value;
}

static void
report_unknown_fields (struct reader *reader,
                       const struct az_object_field *fields,
                       size_t n_fields,
                       const json_t *json)
{
  bool is_top_level = *reader->prefix == '\0';
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)json, key, value)
  {
    g_autofree char *path = g_strconcat (reader->prefix, key, NULL);

    if (is_top_level && (!strcmp (key, "kind") || !strcmp (key, "name")))
      continue;
    if (!az_object_field_find (fields, n_fields, key))
      az_object_report (reader->location, path, "unknown field");
  }
}

/* Reads the fields of an object. If @json is NULL, every field gets its default value. */
static void
read_members (struct reader *reader,
              const struct az_object_field *fields,
              size_t n_fields,
              const json_t *json,
              char *row)
{
  if (json)
    report_unknown_fields (reader, fields, n_fields, json);
  for (size_t i = 0; i < n_fields; i++)
    {
      const struct az_object_field *field = &fields[i];
      const json_t *value = json ? json_object_get (json, field->name) : NULL;
      g_autofree char *path = g_strconcat (reader->prefix, field->name, NULL);

      set_default (field, row + field->offset);
      if (value || field->type == AZ_FIELD_MEMBERS)
        read_field (reader, path, field, value, row);
      else if (field->required)
        az_object_report (reader->location, path, "missing");
    }
}

void
az_object_fields_read (struct az_object_set *set,
                       enum az_object_kind kind,
                       const json_t *json,
                       void *row,
                       const struct az_object_location *location)
{
  const struct az_object_schema *schema = &az_object_schemas[kind];
  struct reader reader = { set, location, "" };

  read_members (&reader, schema->fields, schema->n_fields, json, row);
}
