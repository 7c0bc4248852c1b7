#include "load/metrics.h"
#include <stdbool.h>
#include <string.h>

#define SENT_PREFIX "azurerock_messages_sent_total{kind=\""
#define RECEIVED_PREFIX "azurerock_messages_received_total{kind=\""
#define WASTED_PREFIX "azurerock_wasted_messages_total{"
#define AGENT_STARTS "azurerock_agent_starts_total"
#define ENTRY_STARTS "azurerock_tasks_sent_total"

static const char *const agent_message_kinds[]
    = { "hello", "heartbeat", "grant", "recall", "result", "refused", "fate", "records", NULL };
static const char *const fixed_rate_kinds[]
    = { "heartbeat", "heartbeat_ack", "peer_state", "peer_state_ack", NULL };

struct az_load_metrics
{
  GHashTable *values; /* maps a metric name with its labels to a double */
};

struct az_load_metrics *
az_load_metrics_create (void)
{
  struct az_load_metrics *metrics = g_new0 (struct az_load_metrics, 1);

  metrics->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return metrics;
}

void
az_load_metrics_destroy (struct az_load_metrics *metrics)
{
  if (!metrics)
    return;
  g_hash_table_unref (metrics->values);
  g_free (metrics);
}

double
az_load_metrics_get (const struct az_load_metrics *metrics, const char *name)
{
  const double *value = g_hash_table_lookup (metrics->values, name);

  return value ? *value : 0;
}

static void
add_value (struct az_load_metrics *metrics, const char *name, double value)
{
  double *sum = g_hash_table_lookup (metrics->values, name);

  if (!sum)
    {
      sum = g_new0 (double, 1);
      g_hash_table_insert (metrics->values, g_strdup (name), sum);
    }
  *sum += value;
}

static bool
is_message_counter (const char *name)
{
  return g_str_has_prefix (name, SENT_PREFIX) || g_str_has_prefix (name, RECEIVED_PREFIX);
}

void
az_load_metrics_add (struct az_load_metrics *metrics, const char *text, size_t length)
{
  g_autofree char *copy = g_strndup (text, length);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
  bool is_agent = strstr (copy, AGENT_STARTS) != NULL;

  for (char **line = lines; *line; line++)
    {
      char *space = strrchr (*line, ' ');

      if (**line == '#' || !space)
        continue;
      *space = '\0';
      /* Entries already count the messages that agents send and receive. */
      if (!is_agent || !is_message_counter (*line))
        add_value (metrics, *line, g_ascii_strtod (space + 1, NULL));
    }
}

static char *
extract_kind (const char *name, const char *prefix)
{
  const char *kind = name + strlen (prefix);

  return g_strndup (kind, strcspn (kind, "\""));
}

static void
count_message (struct az_load_messages *messages, json_t *kinds, const char *kind, double n)
{
  if (g_strv_contains (fixed_rate_kinds, kind))
    messages->n_fixed_rate += n;
  else
    messages->n_others += n;
  if (kinds && n > 0)
    json_object_set_new (kinds, kind, json_integer ((json_int_t)n));
}

static void
count_metric (struct az_load_messages *messages, json_t *kinds, const char *name, double n)
{
  g_autofree char *kind = NULL;

  if (g_str_has_prefix (name, WASTED_PREFIX))
    messages->n_wasted += n;
  if (!is_message_counter (name))
    return;
  kind = extract_kind (name, g_str_has_prefix (name, SENT_PREFIX) ? SENT_PREFIX : RECEIVED_PREFIX);
  if (g_str_has_prefix (name, RECEIVED_PREFIX) == g_strv_contains (agent_message_kinds, kind))
    count_message (messages, kinds, kind, n);
}

struct az_load_messages
az_load_metrics_count_messages (const struct az_load_metrics *before,
                                const struct az_load_metrics *after,
                                json_t *kinds)
{
  struct az_load_messages messages = { 0 };
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, after->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    count_metric (&messages, kinds, name, *(double *)value - az_load_metrics_get (before, name));
  messages.n_starts
      = az_load_metrics_get (after, AGENT_STARTS) - az_load_metrics_get (before, AGENT_STARTS);
  if (!g_hash_table_contains (after->values, AGENT_STARTS))
    messages.n_starts
        = az_load_metrics_get (after, ENTRY_STARTS) - az_load_metrics_get (before, ENTRY_STARTS);
  return messages;
}
