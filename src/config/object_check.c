#include "config/object_set.h"
#include "proto/gen/azurerock.h"
#include <string.h>

/* An object whose kind and name are valid. */
struct named_source
{
  const struct az_object_source *source;
  enum az_object_kind kind;
  const char *name;
  char *object; /* "kind/name" */
};

static void
clear_named_source (void *data)
{
  g_free (((struct named_source *)data)->object);
}

/* Formats "kind/name" for error messages, with "?" for a part that is not a string. */
static char *
format_object (const json_t *json)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));
  const char *name = json_string_value (json_object_get (json, "name"));

  return g_strdup_printf ("%s/%s", kind ? kind : "?", name ? name : "?");
}

static bool
check_identity (const struct az_object_source *source,
                const struct az_object_location *location,
                struct named_source *named)
{
  const char *kind = json_string_value (json_object_get (source->json, "kind"));
  const char *name = json_string_value (json_object_get (source->json, "name"));
  int found = kind ? az_object_kind_find (kind) : -1;

  if (!kind)
    az_object_report (location, "kind", "missing or not a string");
  else if (found < 0)
    az_object_report (location, "kind",
                      "unknown kind \"%s\": must be domain, policy, service, team or upstream",
                      kind);
  if (!name)
    az_object_report (location, "name", "missing or not a string");
  else if (!az_object_name_is_valid (name))
    az_object_report (location, "name",
                      "must be 1 to %d characters of A-Z a-z 0-9 . _ -, not starting with '.'",
                      AZ_MAX_NAME);
  if (found < 0 || !name || !az_object_name_is_valid (name))
    return false;
  named->kind = (enum az_object_kind)found;
  named->name = name;
  return true;
}

static void
add_named_source (GArray *named, const struct az_object_source *source, GPtrArray *errors)
{
  struct az_object_location location = { errors, source->file, NULL };
  struct named_source item = { .source = source };
  g_autofree char *object = NULL;

  if (!json_is_object (source->json))
    {
      az_object_report (&location, NULL, "must be an object or an array of objects");
      return;
    }
  object = format_object (source->json);
  location.object = object;
  if (!check_identity (source, &location, &item))
    return;
  item.object = g_steal_pointer (&object);
  g_array_append_val (named, item);
}

static int
compare_sources (const void *a, const void *b)
{
  const struct named_source *left = a;
  const struct named_source *right = b;

  if (left->kind != right->kind)
    return left->kind < right->kind ? -1 : 1;
  return strcmp (left->name, right->name);
}

/* Reports and removes every object whose kind and name equal those of the object before it. */
static void
remove_duplicates (GArray *named, GPtrArray *errors)
{
  for (guint i = 1; i < named->len;)
    {
      struct named_source *first = &g_array_index (named, struct named_source, i - 1);
      struct named_source *second = &g_array_index (named, struct named_source, i);
      struct az_object_location location = { errors, second->source->file, second->object };

      if (compare_sources (first, second) != 0)
        {
          i++;
          continue;
        }
      az_object_report (&location, "name", "already used by another object of this kind in %s",
                        first->source->file);
      g_array_remove_index (named, i);
    }
}

/* Adds a row with the name of each object, so that references between objects can be resolved. */
static void
add_rows (struct az_object_set *set, const GArray *named)
{
  for (guint i = 0; i < named->len; i++)
    {
      const struct named_source *item = &g_array_index (named, struct named_source, i);
      GArray *table = set->tables[item->kind];
      const char **row;

      g_array_set_size (table, table->len + 1);
      row = az_object_set_row (set, item->kind, table->len - 1);
      *row = g_string_chunk_insert_const (set->strings, item->name);
    }
}

/* Reads the fields of each object into its row. add_rows() has added one row per object in the
 * order of @named, so the next unread row of an object's kind belongs to that object. */
static void
read_rows (struct az_object_set *set, const GArray *named, const char *origin, GPtrArray *errors)
{
  uint32_t next[AZ_OBJECT_KINDS] = { 0 };
  struct az_object_location *locations = g_new0 (struct az_object_location, named->len + 1);

  for (guint i = 0; i < named->len; i++)
    {
      const struct named_source *item = &g_array_index (named, struct named_source, i);
      void *row = az_object_set_row (set, item->kind, next[item->kind]++);

      locations[i] = (struct az_object_location){ errors, item->source->file, item->object };
      az_object_fields_read (set, item->kind, item->source->json, row, &locations[i]);
    }
  locations[named->len] = (struct az_object_location){ errors, origin, NULL };
  az_object_set_check_rules (set, locations);
  g_free (locations);
}

struct az_object_set *
az_object_sources_check (const struct az_object_source *sources,
                         size_t count,
                         const char *origin,
                         GPtrArray *errors)
{
  struct az_object_set *set = az_object_set_create ();
  GArray *named = g_array_new (FALSE, TRUE, sizeof (struct named_source));

  g_array_set_clear_func (named, clear_named_source);
  for (size_t i = 0; i < count; i++)
    add_named_source (named, &sources[i], errors);
  g_array_sort (named, compare_sources);
  remove_duplicates (named, errors);
  add_rows (set, named);
  read_rows (set, named, origin, errors);
  g_array_unref (named);
  if (errors->len == 0)
    return set;
  az_object_set_destroy (set);
  return NULL;
}

struct az_object_set *
az_object_set_from_json (const json_t *objects, const char *origin, GPtrArray *errors)
{
  size_t count = json_array_size (objects);
  struct az_object_location location = { errors, origin, NULL };
  struct az_object_source *sources;
  struct az_object_set *set;

  if (!json_is_array (objects))
    {
      az_object_report (&location, NULL, "must be an array of objects");
      return NULL;
    }
  sources = g_new0 (struct az_object_source, count + 1);
  for (size_t i = 0; i < count; i++)
    sources[i] = (struct az_object_source){ json_array_get (objects, i), origin };
  set = az_object_sources_check (sources, count, origin, errors);
  g_free (sources);
  return set;
}
