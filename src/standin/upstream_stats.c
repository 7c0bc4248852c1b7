#include "standin/upstream.h"

void
az_upstream_standin_count_start (struct az_upstream_standin *standin, uint32_t handle)
{
  const char *job = az_http_server_header (standin->server, handle, "azurerock-job");
  const char *task = az_http_server_header (standin->server, handle, "azurerock-task");
  char *key;
  guint count;

  standin->starts++;
  if (!job || !task)
    return;
  key = g_strdup_printf ("%s/%s", job, task);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (standin->start_counts, key));
  if (count == 0 && g_hash_table_size (standin->start_counts) >= standin->max_tracked_tasks)
    {
      standin->untracked++;
      g_free (key);
      return;
    }
  standin->double_starts += count > 0;
  g_hash_table_replace (standin->start_counts, key, GUINT_TO_POINTER (count + 1));
}

static json_t *
print_start_counts (const struct az_upstream_standin *standin)
{
  json_t *start_counts = json_object ();
  GHashTableIter iterator;
  gpointer key;
  gpointer count;

  g_hash_table_iter_init (&iterator, standin->start_counts);
  while (g_hash_table_iter_next (&iterator, &key, &count))
    json_object_set_new (start_counts, key, json_integer (GPOINTER_TO_UINT (count)));
  return start_counts;
}

static void
set_number (json_t *stats, const char *name, uint64_t value)
{
  json_object_set_new (stats, name, json_integer ((json_int_t)value));
}

json_t *
az_upstream_standin_stats (const struct az_upstream_standin *standin, bool with_tasks)
{
  json_t *stats = json_object ();

  set_number (stats, "slots", standin->n_slots);
  set_number (stats, "running", standin->n_running);
  set_number (stats, "starts", standin->starts);
  set_number (stats, "finished", standin->finished);
  set_number (stats, "refused", standin->refused);
  set_number (stats, "cancelled", standin->cancelled);
  set_number (stats, "double_starts", standin->double_starts);
  set_number (stats, "untracked", standin->untracked);
  if (with_tasks)
    json_object_set_new (stats, "tasks", print_start_counts (standin));
  return stats;
}

bool
az_upstream_standin_set_faults (struct az_upstream_standin *standin,
                                const char *body,
                                size_t length)
{
  json_t *object = json_loadb (body, length, 0, NULL);
  int fail_all = 0;
  int hang = 0;
  int close_connections = 0;
  double factor = 1;
  bool valid
      = object
        && json_unpack (object, "{s?b, s?F, s?b, s?b !}", "fail_all", &fail_all, "straggle_factor",
                        &factor, "hang", &hang, "close_connections", &close_connections)
               == 0
        && factor >= 0 && factor <= 1000;

  if (valid)
    standin->faults = (struct az_upstream_faults){ .fail_all = fail_all != 0,
                                                   .straggle_factor = factor,
                                                   .hang = hang != 0,
                                                   .close_connections = close_connections != 0 };
  json_decref (object);
  return valid;
}
