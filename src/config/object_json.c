#include "config/object_set.h"

static const char *
get_name (const struct az_object_set *set, enum az_object_kind kind, uint32_t index)
{
  return *(const char *const *)az_object_set_row (set, kind, index);
}

static json_t *
print_references (const struct az_object_set *set,
                  const struct az_object_field *field,
                  const char *row)
{
  const uint32_t *indexes = *(const uint32_t *const *)(row + field->offset);
  uint32_t count = *(const uint32_t *)(row + field->count_offset);
  json_t *array = json_array ();

  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, json_string (get_name (set, field->target, indexes[i])));
  return array;
}

static void
print_members (const struct az_object_set *set,
               const struct az_object_field *fields,
               size_t n_fields,
               const char *row,
               json_t *object);

static json_t *
print_field (const struct az_object_set *set, const struct az_object_field *field, const char *row)
{
  const char *from = row + field->offset;
  json_t *object;

  switch (field->type)
    {
    case AZ_FIELD_NAME:
      return json_string (*(const char *const *)from);
    case AZ_FIELD_BOOLEAN:
      return json_boolean (*(const bool *)from);
    case AZ_FIELD_UINT32:
      return json_integer (*(const uint32_t *)from);
    case AZ_FIELD_INT64:
      return json_integer (*(const int64_t *)from);
    case AZ_FIELD_REFERENCE:
      return json_string (get_name (set, field->target, *(const uint32_t *)from));
    case AZ_FIELD_REFERENCES:
      return print_references (set, field, row);
    case AZ_FIELD_MEMBERS:
      break;
    }
  object = json_object ();
  print_members (set, field->members, field->n_members, from, object);
  return object;
}

static void
print_members (const struct az_object_set *set,
               const struct az_object_field *fields,
               size_t n_fields,
               const char *row,
               json_t *object)
{
  for (size_t i = 0; i < n_fields; i++)
    json_object_set_new (object, fields[i].name, print_field (set, &fields[i], row));
}

json_t *
az_object_set_to_json (const struct az_object_set *set)
{
  json_t *objects = json_array ();

  for (int kind = 0; kind < AZ_OBJECT_KINDS; kind++)
    for (uint32_t i = 0; i < set->tables[kind]->len; i++)
      {
        const struct az_object_schema *schema = &az_object_schemas[kind];
        const char *row = az_object_set_row (set, (enum az_object_kind)kind, i);
        json_t *object = json_pack ("{s:s, s:s}", "kind", schema->kind, "name",
                                    get_name (set, (enum az_object_kind)kind, i));

        print_members (set, schema->fields, schema->n_fields, row, object);
        json_array_append_new (objects, object);
      }
  return objects;
}
