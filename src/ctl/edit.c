#include "azurerock/objects.h"
#include "ctl/ctl.h"
#include <jansson.h>
#include <string.h>

/* Sets in_service of one object. */
struct edit
{
  const char *kind;
  const char *name;
  bool in_service;
};

static bool
is_edited_object (const json_t *json, const struct edit *edit)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));
  const char *name = json_string_value (json_object_get (json, "name"));

  return kind && name && !strcmp (kind, edit->kind) && !strcmp (name, edit->name);
}

static bool
edit_document (json_t *document, const struct edit *edit)
{
  if (is_edited_object (document, edit))
    return json_object_set_new (document, "in_service", json_boolean (edit->in_service)) == 0;
  for (size_t i = 0; i < json_array_size (document); i++)
    if (edit_document (json_array_get (document, i), edit))
      return true;
  return false;
}

/* Keeps the order of the fields and indents by two spaces, as the examples do, so that a diff of
 * the file shows only the changed field. */
static bool
write_document (const char *path, const json_t *document, GError **error)
{
  char *text = json_dumps (document, JSON_INDENT (2));
  g_autofree char *line = g_strconcat (text, "\n", NULL);

  free (text);
  return g_file_set_contents (path, line, -1, error);
}

static bool
edit_file (const char *path, const struct edit *edit, bool *is_found, GError **error)
{
  json_t *document = json_load_file (path, JSON_REJECT_DUPLICATES, NULL);
  bool written = true;

  if (document && edit_document (document, edit))
    {
      *is_found = true;
      written = write_document (path, document, error);
    }
  json_decref (document);
  return written;
}

static bool
edit_tree (const char *directory, const struct edit *edit, bool *is_found, GError **error)
{
  g_autoptr (GDir) entries = g_dir_open (directory, 0, error);
  const char *name;

  if (!entries)
    return false;
  while (!*is_found && (name = g_dir_read_name (entries)))
    {
      g_autofree char *path = g_build_filename (directory, name, NULL);
      bool is_ok = true;

      if (*name == '.')
        continue;
      if (g_file_test (path, G_FILE_TEST_IS_DIR))
        is_ok = edit_tree (path, edit, is_found, error);
      else if (g_str_has_suffix (name, ".json"))
        is_ok = edit_file (path, edit, is_found, error);
      if (!is_ok)
        return false;
    }
  return true;
}

static int
report_failure (int code, const char *message)
{
  g_printerr ("%s\n", message);
  return code;
}

int
az_ctl_edit (const char *directory, const char *object, bool in_service)
{
  g_auto (GStrv) parts = g_strsplit (object, "/", 2);
  g_autofree char *path = az_ctl_object_directory (directory);
  g_autofree char *missing = g_strdup_printf ("%s: %s: no such object", path, object);
  g_autoptr (GError) error = NULL;
  struct az_object_set *set;
  struct edit edit;
  bool found = false;

  if (g_strv_length (parts) != 2
      || (strcmp (parts[0], "domain") != 0 && strcmp (parts[0], "upstream") != 0))
    return report_failure (AZ_EXIT_USAGE, "the object must be domain/NAME or upstream/NAME: only "
                                          "domains and upstreams can be withdrawn and restored");
  set = az_ctl_load_objects (directory);
  if (!set)
    return AZ_EXIT_INVALID;
  az_object_set_destroy (set);
  edit = (struct edit){ parts[0], parts[1], in_service };
  if (!edit_tree (path, &edit, &found, &error))
    return report_failure (AZ_EXIT_FAILURE, error->message);
  return found ? AZ_EXIT_SUCCESS : report_failure (AZ_EXIT_INVALID, missing);
}
