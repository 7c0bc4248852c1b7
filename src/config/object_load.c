#include "config/object_set.h"
#include <string.h>

/* The maximum size of a value in the store. The objects are published as one value, so a larger
 * file can't be published. */
#define FILE_BYTES_MAX 1048576

/* Directories below this depth are skipped, because a symbolic link may form a loop. */
#define DEPTH_MAX 16

/* Sources point into the parsed documents, which must live until the set is built. */
struct loader
{
  GPtrArray *paths;
  GPtrArray *documents;
  GArray *sources;
  GPtrArray *errors;
};

static void
report_file (struct loader *loader, const char *path, const char *message)
{
  struct az_object_location location = { loader->errors, path, NULL };

  az_object_report (&location, NULL, "%s", message);
}

static void
find_files (struct loader *loader, const char *directory, unsigned depth)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GDir) entries = g_dir_open (directory, 0, &error);
  const char *name;

  if (!entries)
    {
      report_file (loader, directory, error->message);
      return;
    }
  while ((name = g_dir_read_name (entries)))
    {
      g_autofree char *path = g_build_filename (directory, name, NULL);

      if (*name == '.')
        continue;
      if (g_file_test (path, G_FILE_TEST_IS_DIR) && depth < DEPTH_MAX)
        find_files (loader, path, depth + 1);
      else if (g_str_has_suffix (name, ".json"))
        g_ptr_array_add (loader->paths, g_steal_pointer (&path));
    }
}

static void
add_source (struct loader *loader, const json_t *json, const char *path)
{
  struct az_object_source source = { json, path };

  g_array_append_val (loader->sources, source);
}

static void
add_document (struct loader *loader, const char *path, json_t *document)
{
  size_t count = json_array_size (document);

  g_ptr_array_add (loader->documents, document);
  if (!json_is_array (document))
    add_source (loader, document, path);
  for (size_t i = 0; i < count; i++)
    add_source (loader, json_array_get (document, i), path);
}

static void
read_file (struct loader *loader, const char *path)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  g_autofree char *message = NULL;
  json_error_t json_error;
  json_t *document;
  size_t length;

  if (!g_file_get_contents (path, &text, &length, &error))
    {
      report_file (loader, path, error->message);
      return;
    }
  if (length > FILE_BYTES_MAX)
    {
      report_file (loader, path, "the file is larger than 1 MiB, the maximum");
      return;
    }
  document = json_loadb (text, length, JSON_REJECT_DUPLICATES, &json_error);
  if (document)
    {
      add_document (loader, path, document);
      return;
    }
  message = g_strdup_printf ("line %d, column %d: %s", json_error.line, json_error.column,
                             json_error.text);
  report_file (loader, path, message);
}

static int
compare_paths (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
release_document (void *document)
{
  json_decref (document);
}

struct az_object_set *
az_object_set_load (const char *directory, GPtrArray *errors)
{
  struct loader loader = {
    .paths = g_ptr_array_new_with_free_func (g_free),
    .documents = g_ptr_array_new_with_free_func (release_document),
    .sources = g_array_new (FALSE, TRUE, sizeof (struct az_object_source)),
    .errors = errors,
  };
  struct az_object_set *set;

  find_files (&loader, directory, 0);
  g_ptr_array_sort (loader.paths, compare_paths);
  for (guint i = 0; i < loader.paths->len; i++)
    read_file (&loader, g_ptr_array_index (loader.paths, i));
  set = az_object_sources_check ((const struct az_object_source *)loader.sources->data,
                                 loader.sources->len, directory, errors);
  g_array_unref (loader.sources);
  g_ptr_array_unref (loader.documents);
  g_ptr_array_unref (loader.paths);
  return set;
}
