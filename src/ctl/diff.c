#include "ctl/ctl.h"
#include <jansson.h>
#include <string.h>

static const char *
get_text (const json_t *object, const char *key)
{
  return json_string_value (json_object_get (object, key));
}

/* Orders objects by kind and name, like the canonical form. */
static int
compare_objects (const json_t *a, const json_t *b)
{
  int order = strcmp (get_text (a, "kind"), get_text (b, "kind"));

  return order ? order : strcmp (get_text (a, "name"), get_text (b, "name"));
}

static void
add_object (GPtrArray *lines, char sign, const json_t *object)
{
  g_ptr_array_add (lines, g_strdup_printf ("%c %s/%s", sign, get_text (object, "kind"),
                                           get_text (object, "name")));
}

/* Adds a line for each field that differs. In canonical form, objects of one kind have the same
 * fields. */
static void
add_changes (GPtrArray *lines, const json_t *old, const json_t *new)
{
  const char *key;
  json_t *after;

  json_object_foreach ((json_t *)new, key, after)
  {
    const json_t *before = json_object_get (old, key);
    char *from, *to;

    if (json_equal (before, after))
      continue;
    from = json_dumps (before, JSON_COMPACT | JSON_ENCODE_ANY);
    to = json_dumps (after, JSON_COMPACT | JSON_ENCODE_ANY);
    g_ptr_array_add (lines, g_strdup_printf ("~ %s/%s: %s: %s -> %s", get_text (new, "kind"),
                                             get_text (new, "name"), key, from, to));
    free (from);
    free (to);
  }
}

/* Walks both arrays in parallel; they are sorted alike. */
static void
add_differences (GPtrArray *lines, const json_t *old, const json_t *new)
{
  size_t i = 0;
  size_t j = 0;

  while (i < json_array_size (old) || j < json_array_size (new))
    {
      const json_t *before = json_array_get (old, i);
      const json_t *after = json_array_get (new, j);
      int order = !before ? 1 : !after ? -1 : compare_objects (before, after);

      if (order < 0)
        add_object (lines, '-', before);
      else if (order > 0)
        add_object (lines, '+', after);
      else
        add_changes (lines, before, after);
      i += order <= 0;
      j += order >= 0;
    }
}

GPtrArray *
az_ctl_diff (const struct az_object_set *old, const struct az_object_set *new)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  json_t *before = old ? az_object_set_to_json (old) : json_array ();
  json_t *after = az_object_set_to_json (new);

  add_differences (lines, before, after);
  json_decref (before);
  json_decref (after);
  return lines;
}

void
az_ctl_print_lines (const GPtrArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    g_print ("%s\n", (const char *)g_ptr_array_index (lines, i));
}

int
az_ctl_show_diff (struct az_ctl *ctl, const char *directory)
{
  struct az_object_set *set = az_ctl_load_objects (directory);
  g_autoptr (GError) error = NULL;
  struct az_ctl_stored stored;
  GPtrArray *lines;

  if (!set)
    return AZ_EXIT_INVALID;
  if (!az_ctl_read_configuration (ctl, &stored, &error))
    {
      g_printerr ("%s\n", error->message);
      az_object_set_destroy (set);
      return AZ_EXIT_FAILURE;
    }
  lines = az_ctl_diff (stored.configuration ? stored.configuration->objects : NULL, set);
  az_ctl_print_lines (lines);
  g_ptr_array_unref (lines);
  az_configuration_destroy (stored.configuration);
  az_object_set_destroy (set);
  return AZ_EXIT_SUCCESS;
}
