#include "ctl/publish.h"
#include "ctl/ctl.h"
#include <jansson.h>
#include <string.h>

/* A history record lists at most this many changes, so that it stays far below the maximum size of
 * a value in the store. */
#define RECORD_CHANGES_MAX 500

static char *
print_record (const struct az_configuration *configuration, const GPtrArray *changes)
{
  json_t *lines = json_array ();
  json_t *json;
  char *text;

  for (guint i = 0; i < MIN (changes->len, RECORD_CHANGES_MAX); i++)
    json_array_append_new (lines, json_string (g_ptr_array_index (changes, i)));
  json
      = json_pack ("{s:I, s:s, s:s, s:s, s:s, s:I, s:o}", "revision",
                   (json_int_t)configuration->revision, "publish_id", configuration->publish_id,
                   "author", configuration->author, "time", configuration->time, "message",
                   configuration->message, "n_changes", (json_int_t)changes->len, "changes", lines);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static struct az_configuration *
create_configuration (const struct az_ctl *ctl,
                      const struct az_ctl_stored *stored,
                      struct az_object_set *set)
{
  struct az_configuration *configuration = g_new0 (struct az_configuration, 1);
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();

  configuration->revision = stored->configuration ? stored->configuration->revision + 1 : 1;
  configuration->publish_id = g_uuid_string_random ();
  configuration->author
      = g_strdup (ctl->options->author ? ctl->options->author : g_get_user_name ());
  configuration->time = g_date_time_format (now, "%Y-%m-%dT%H:%M:%SZ");
  configuration->message = g_strdup (ctl->options->message ? ctl->options->message : "");
  configuration->objects = set;
  return configuration;
}

static void
write_publish_event (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  g_autofree char *revision = g_strdup_printf ("%" G_GUINT64_FORMAT, configuration->revision);
  g_autofree char *withdrawn = az_ctl_withdrawn_domains (configuration->objects);

  az_event_log_write (ctl->events, "publish", "revision", revision, "publish_id",
                      configuration->publish_id, "withdrawn_domains", withdrawn, NULL);
}

/* Writes the configuration and its history record in one transaction. */
static int
write_configuration (struct az_ctl *ctl,
                     const struct az_ctl_stored *stored,
                     const struct az_configuration *configuration,
                     const GPtrArray *changes)
{
  g_autofree char *document = az_configuration_format (configuration);
  g_autofree char *record = print_record (configuration, changes);
  g_autofree char *key = az_ctl_history_key (configuration->revision);
  g_autofree char *reason = NULL;
  const struct az_store_write writes[] = {
    { AZ_STORE_KEY_CONFIG, document, strlen (document), stored->index },
    { key, record, strlen (record), 0 },
  };

  if (strlen (document) > AZ_MAX_CONFIG)
    {
      g_printerr ("not published: the configuration has %zu bytes; at most %d are allowed\n",
                  strlen (document), AZ_MAX_CONFIG);
      return AZ_EXIT_INVALID;
    }
  write_publish_event (ctl, configuration);
  switch (az_ctl_write (ctl, writes, G_N_ELEMENTS (writes), &reason))
    {
    case AZ_STORE_OK:
      return AZ_EXIT_SUCCESS;
    case AZ_STORE_CONFLICT:
      return az_ctl_report_conflict (ctl, configuration->objects);
    case AZ_STORE_UNKNOWN:
      g_printerr ("the store's answer was lost (%s); reading the history to see whether the write "
                  "took effect\n",
                  reason);
      return az_ctl_resolve (ctl, configuration);
    case AZ_STORE_FAILED:
      break;
    }
  g_printerr ("not published: %s\n", reason);
  return AZ_EXIT_FAILURE;
}

static int
publish_changes (struct az_ctl *ctl,
                 const struct az_ctl_stored *stored,
                 const struct az_configuration *configuration)
{
  const struct az_object_set *old = stored->configuration ? stored->configuration->objects : NULL;
  GPtrArray *changes = az_ctl_diff (old, configuration->objects);
  int exit_code;

  /* Without changes no revision is written; the command waits until the current one is accepted. */
  if (old && changes->len == 0)
    {
      g_ptr_array_unref (changes);
      g_print ("no changes against revision %" G_GUINT64_FORMAT "\n",
               stored->configuration->revision);
      return az_ctl_await_acceptance (ctl, stored->configuration);
    }
  az_ctl_print_lines (changes);
  exit_code = write_configuration (ctl, stored, configuration, changes);
  g_ptr_array_unref (changes);
  if (exit_code != AZ_EXIT_SUCCESS)
    return exit_code;
  g_print ("published revision %" G_GUINT64_FORMAT "\n", configuration->revision);
  return az_ctl_await_acceptance (ctl, configuration);
}

static bool
is_expected_parent (const struct az_ctl *ctl, const struct az_ctl_stored *stored)
{
  uint64_t revision = stored->configuration ? stored->configuration->revision : 0;

  return ctl->options->parent < 0 || (uint64_t)ctl->options->parent == revision;
}

int
az_ctl_publish (struct az_ctl *ctl, const char *directory)
{
  struct az_object_set *set = az_ctl_load_objects (directory);
  g_autoptr (GError) error = NULL;
  struct az_configuration *configuration;
  struct az_ctl_stored stored;
  int exit_code;

  if (!set)
    return AZ_EXIT_INVALID;
  ctl->deadline
      = az_time_add_ms (az_clock_now (az_clock_system ()), (int64_t)ctl->options->wait_s * 1000);
  if (!az_ctl_read_configuration (ctl, &stored, &error))
    {
      g_printerr ("not published: %s\n", error->message);
      az_object_set_destroy (set);
      return AZ_EXIT_FAILURE;
    }
  configuration = create_configuration (ctl, &stored, set);
  if (is_expected_parent (ctl, &stored))
    exit_code = publish_changes (ctl, &stored, configuration);
  else
    exit_code = az_ctl_report_conflict (ctl, set);
  az_configuration_destroy (configuration);
  az_configuration_destroy (stored.configuration);
  return exit_code;
}
