#include "azurerock/counters.h"
#include <string.h>

struct counter
{
  char *name;
  const char *help;
  uint64_t value;
};

struct az_counters
{
  GArray *counters;
  GHashTable *by_name;
};

static void
clear_counter (void *counter)
{
  g_free (((struct counter *)counter)->name);
}

struct az_counters *
az_counters_create (void)
{
  struct az_counters *counters = g_new0 (struct az_counters, 1);

  counters->counters = g_array_new (FALSE, TRUE, sizeof (struct counter));
  g_array_set_clear_func (counters->counters, clear_counter);
  counters->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return counters;
}

void
az_counters_destroy (struct az_counters *counters)
{
  if (!counters)
    return;
  g_hash_table_destroy (counters->by_name);
  g_array_unref (counters->counters);
  g_free (counters);
}

uint32_t
az_counters_register (struct az_counters *counters, const char *name, const char *help)
{
  struct counter counter = { .help = help };
  void *index;

  if (g_hash_table_lookup_extended (counters->by_name, name, NULL, &index))
    return GPOINTER_TO_UINT (index);
  counter.name = g_strdup (name);
  g_array_append_val (counters->counters, counter);
  g_hash_table_insert (counters->by_name, g_strdup (name),
                       GUINT_TO_POINTER (counters->counters->len - 1));
  return counters->counters->len - 1;
}

void
az_counters_add (struct az_counters *counters, uint32_t counter, uint64_t amount)
{
  g_array_index (counters->counters, struct counter, counter).value += amount;
}

void
az_counters_set (struct az_counters *counters, uint32_t counter, uint64_t value)
{
  g_array_index (counters->counters, struct counter, counter).value = value;
}

uint64_t
az_counters_get (const struct az_counters *counters, uint32_t counter)
{
  return g_array_index (counters->counters, struct counter, counter).value;
}

void
az_counters_format (const struct az_counters *counters, GString *text)
{
  for (guint i = 0; i < counters->counters->len; i++)
    {
      const struct counter *counter = &g_array_index (counters->counters, struct counter, i);
      int name_length = (int)strcspn (counter->name, "{");

      g_string_append_printf (text, "# HELP %.*s %s\n%s %" G_GUINT64_FORMAT "\n", name_length,
                              counter->name, counter->help, counter->name, counter->value);
    }
}
