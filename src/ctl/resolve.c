#include "ctl/publish.h"
#include <jansson.h>
#include <string.h>

#define READ_BACK_INTERVAL_MS 200

char *
az_ctl_history_key (uint64_t revision)
{
  return g_strdup_printf ("%s%" G_GUINT64_FORMAT, AZ_STORE_KEY_HISTORY, revision);
}

int
az_ctl_report_conflict (struct az_ctl *ctl, const struct az_object_set *set)
{
  g_autoptr (GError) error = NULL;
  struct az_ctl_stored stored;
  GPtrArray *lines;

  if (!az_ctl_read_configuration (ctl, &stored, &error))
    {
      g_printerr ("conflict with a concurrent publication; no diff: %s\n", error->message);
      return AZ_EXIT_CONFLICT;
    }
  if (stored.configuration)
    g_printerr ("conflict: revision %" G_GUINT64_FORMAT " was published by %s at %s: %s\n",
                stored.configuration->revision, stored.configuration->author,
                stored.configuration->time, stored.configuration->message);
  else
    g_printerr ("conflict: nothing is published yet\n");
  g_print ("Changes that your directory would make to it:\n");
  lines = az_ctl_diff (stored.configuration ? stored.configuration->objects : NULL, set);
  az_ctl_print_lines (lines);
  g_ptr_array_unref (lines);
  az_configuration_destroy (stored.configuration);
  return AZ_EXIT_CONFLICT;
}

enum finding
{
  FINDING_MINE,
  FINDING_OTHER,
  FINDING_ABSENT,
  FINDING_UNREADABLE,
};

static enum finding
read_back (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  g_autofree char *key = az_ctl_history_key (configuration->revision);
  enum finding finding = FINDING_ABSENT;
  struct az_ctl_value value;
  json_t *json;

  if (!az_ctl_read (ctl, key, &value, NULL))
    return FINDING_UNREADABLE;
  if (value.text)
    {
      json = json_loadb (value.text, value.length, 0, NULL);
      finding = g_strcmp0 (json_string_value (json_object_get (json, "publish_id")),
                           configuration->publish_id)
                    ? FINDING_OTHER
                    : FINDING_MINE;
      json_decref (json);
    }
  az_ctl_value_clear (&value);
  return finding;
}

int
az_ctl_resolve (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  enum finding finding = read_back (ctl, configuration);

  /* A write whose answer was lost may still be on its way, so absence is not final at once. */
  while (finding != FINDING_MINE && finding != FINDING_OTHER && az_ctl_remaining_ms (ctl) > 0)
    {
      az_ctl_sleep (ctl, READ_BACK_INTERVAL_MS);
      finding = read_back (ctl, configuration);
    }
  if (finding == FINDING_MINE)
    return AZ_EXIT_SUCCESS;
  if (finding == FINDING_OTHER)
    return az_ctl_report_conflict (ctl, configuration->objects);
  /* Absence proves nothing: the write may be queued in the store (model/publish.pml, NO_RETRY). */
  g_printerr ("unknown whether revision %" G_GUINT64_FORMAT
              " was published: %s; see 'history' later\n",
              configuration->revision,
              finding == FINDING_ABSENT ? "it is not in the store, but may still take effect"
                                        : "the store doesn't answer");
  return AZ_EXIT_FAILURE;
}
