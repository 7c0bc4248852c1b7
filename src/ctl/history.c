#include "ctl/ctl.h"
#include <jansson.h>
#include <string.h>

static uint64_t
get_revision (const struct az_ctl_value *value)
{
  return g_ascii_strtoull (value->key + strlen (AZ_STORE_KEY_HISTORY), NULL, 10);
}

static int
compare_revisions (const void *a, const void *b)
{
  uint64_t left = get_revision (*(const struct az_ctl_value *const *)a);
  uint64_t right = get_revision (*(const struct az_ctl_value *const *)b);

  return left < right ? -1 : left > right;
}

static void
print_record (const struct az_ctl_value *value)
{
  json_t *json = json_loadb (value->text, value->length, 0, NULL);
  const json_t *changes = json_object_get (json, "changes");
  const char *author, *time, *message;

  if (json_unpack (json, "{s:s, s:s, s:s}", "author", &author, "time", &time, "message", &message)
      < 0)
    {
      g_printerr ("%s: malformed history record: author, time and message must be strings\n",
                  value->key);
      json_decref (json);
      return;
    }
  g_print ("revision %" G_GUINT64_FORMAT " by %s at %s: %s\n", get_revision (value), author, time,
           message);
  for (size_t i = 0; i < json_array_size (changes); i++)
    g_print ("  %s\n", json_string_value (json_array_get (changes, i)));
  json_decref (json);
}

int
az_ctl_history (struct az_ctl *ctl)
{
  g_autoptr (GError) error = NULL;
  GPtrArray *records = az_ctl_read_all (ctl, AZ_STORE_KEY_HISTORY, &error);

  if (!records)
    {
      g_printerr ("%s\n", error->message);
      return AZ_EXIT_FAILURE;
    }
  g_ptr_array_sort (records, compare_revisions);
  for (guint i = 0; i < records->len; i++)
    print_record (g_ptr_array_index (records, i));
  g_ptr_array_unref (records);
  return AZ_EXIT_SUCCESS;
}
