#include "ctl/ctl.h"

#define POLL_INTERVAL_MS 100

/* An entry that doesn't answer within the maximum is asked again in the next round. The minimum
 * lets the last round succeed although the deadline is near. */
#define STATUS_TIMEOUT_MIN_MS 100
#define STATUS_TIMEOUT_MAX_MS 1000

/* Records which incarnations have confirmed @revision. A member that doesn't answer now but has
 * confirmed before counts as one that confirms, since an entry never returns to an older revision.
 */
static void
merge_confirmations (GHashTable *confirmed,
                     struct az_ctl_member *members,
                     uint32_t count,
                     uint64_t revision)
{
  for (uint32_t i = 0; i < count; i++)
    {
      gint64 incarnation = (gint64)members[i].entry->incarnation;

      if (members[i].answered && members[i].revision >= revision)
        {
          g_hash_table_add (confirmed, g_memdup2 (&incarnation, sizeof incarnation));
        }
      else if (!members[i].answered && g_hash_table_contains (confirmed, &incarnation))
        {
          members[i].answered = true;
          members[i].revision = revision;
        }
    }
}

/*
 * Asks each member once. The table is read again afterwards: if it has changed, the answers came
 * from the members of an old roster and prove nothing.
 */
static bool
poll_once (struct az_ctl *ctl,
           uint64_t revision,
           GHashTable *confirmed,
           struct az_ctl_acceptance *acceptance,
           GError **error)
{
  struct az_table table, table_after;
  struct az_ctl_member *members;
  int64_t timeout_ms;
  bool is_unchanged;

  if (!az_ctl_read_table (ctl, &table, error))
    return false;
  timeout_ms = CLAMP (az_ctl_remaining_ms (ctl), STATUS_TIMEOUT_MIN_MS, STATUS_TIMEOUT_MAX_MS);
  members = az_ctl_poll_members (ctl, &table, timeout_ms);
  merge_confirmations (confirmed, members, table.roster.roster_len, revision);
  az_ctl_count_acceptance (&table, members, revision, acceptance);
  g_free (members);
  is_unchanged = az_ctl_read_table (ctl, &table_after, error)
                 && table_after.table_version == table.table_version;
  az_owner_table_clear (&table);
  az_owner_table_clear (&table_after);
  return is_unchanged && az_ctl_is_accepted (acceptance);
}

static void
write_accepted_event (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  g_autofree char *revision = g_strdup_printf ("%" G_GUINT64_FORMAT, configuration->revision);
  g_autofree char *withdrawn = az_ctl_withdrawn_domains (configuration->objects);

  az_event_log_write (ctl->events, "accepted", "revision", revision, "publish_id",
                      configuration->publish_id, "withdrawn_domains", withdrawn, NULL);
}

int64_t
az_ctl_remaining_ms (const struct az_ctl *ctl)
{
  int64_t remaining_ms = az_time_diff_ms (ctl->deadline, az_clock_now (az_clock_system ()));

  return ctl->stopping ? 0 : MAX (remaining_ms, 0);
}

static bool
poll_until_accepted (struct az_ctl *ctl, uint64_t revision, struct az_ctl_acceptance *acceptance)
{
  g_autoptr (GHashTable) confirmed
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_autoptr (GError) error = NULL;

  for (;;)
    {
      g_clear_error (&error);
      if (poll_once (ctl, revision, confirmed, acceptance, &error))
        return true;
      if (az_ctl_remaining_ms (ctl) == 0)
        break;
      az_ctl_sleep (ctl, POLL_INTERVAL_MS);
    }
  if (error)
    g_printerr ("%s\n", error->message);
  return false;
}

int
az_ctl_await_acceptance (struct az_ctl *ctl, const struct az_configuration *configuration)
{
  struct az_ctl_acceptance acceptance = { 0 };
  bool accepted = poll_until_accepted (ctl, configuration->revision, &acceptance);

  if (accepted)
    write_accepted_event (ctl, configuration);
  g_print ("%u of %u entries have revision %" G_GUINT64_FORMAT " in force\n", acceptance.confirmed,
           acceptance.members, configuration->revision);
  g_print (accepted ? "accepted\n" : "published, not yet accepted\n");
  return accepted ? AZ_EXIT_SUCCESS : AZ_EXIT_NOT_ACCEPTED;
}
