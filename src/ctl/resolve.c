#include "ctl/publish.h"
#include <jansson.h>
#include <string.h>

#define READ_INTERVAL_MS 200

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
      g_printerr ("conflict: the published configuration is not the expected one and can't be "
                  "compared: %s\n",
                  error->message);
      return AZ_EXIT_CONFLICT;
    }
  if (stored.configuration)
    g_printerr ("conflict: revision %" G_GUINT64_FORMAT " was published by %s at %s: %s\n",
                stored.configuration->revision, stored.configuration->author,
                stored.configuration->time, stored.configuration->message);
  else
    g_printerr ("conflict: no configuration is published yet\n");
  g_print ("Changes from the published configuration to the objects of the directory:\n");
  lines = az_ctl_diff (stored.configuration ? stored.configuration->objects : NULL, set);
  az_ctl_print_lines (lines);
  g_ptr_array_unref (lines);
  az_configuration_destroy (stored.configuration);
  return AZ_EXIT_CONFLICT;
}

enum record_state
{
  RECORD_OWN,   /* the record has the id of this publication */
  RECORD_OTHER, /* the record has another id: another publisher wrote the revision */
  RECORD_ABSENT,
  RECORD_UNREADABLE, /* the read failed */
};

static enum record_state
read_record (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  g_autofree char *key = az_ctl_history_key (configuration->revision);
  enum record_state record_state = RECORD_ABSENT;
  struct az_ctl_value value;
  json_t *json;

  if (!az_ctl_read (ctl, key, &value, NULL))
    return RECORD_UNREADABLE;
  if (value.text)
    {
      json = json_loadb (value.text, value.length, 0, NULL);
      record_state = g_strcmp0 (json_string_value (json_object_get (json, "publish_id")),
                                configuration->publish_id)
                         ? RECORD_OTHER
                         : RECORD_OWN;
      json_decref (json);
    }
  az_ctl_value_clear (&value);
  return record_state;
}

int
az_ctl_resolve (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  enum record_state record_state = read_record (ctl, configuration);

  /* The write may still be in flight, so a missing record is looked for again. */
  while (record_state != RECORD_OWN && record_state != RECORD_OTHER
         && az_ctl_remaining_ms (ctl) > 0)
    {
      az_ctl_sleep (ctl, READ_INTERVAL_MS);
      record_state = read_record (ctl, configuration);
    }
  if (record_state == RECORD_OWN)
    return AZ_EXIT_SUCCESS;
  if (record_state == RECORD_OTHER)
    return az_ctl_report_conflict (ctl, configuration->objects);
  /* A missing record proves nothing, because the write may be queued in the store (see NO_RETRY in
   * model/publish.pml). */
  g_printerr ("unknown whether revision %" G_GUINT64_FORMAT
              " was published: %s; check with 'azurerock-ctl history' later\n",
              configuration->revision,
              record_state == RECORD_ABSENT
                  ? "it is not in the store, but the write may still take effect"
                  : "the store doesn't answer");
  return AZ_EXIT_FAILURE;
}
