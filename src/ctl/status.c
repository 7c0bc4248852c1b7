#include "ctl/ctl.h"

#define STATUS_TIMEOUT_MS 1000

static void
print_configuration (const struct az_configuration *configuration)
{
  g_autofree char *withdrawn = NULL;

  if (!configuration)
    {
      g_print ("no configuration is published\n");
      return;
    }
  withdrawn = az_ctl_withdrawn_domains (configuration->objects);
  g_print ("revision %" G_GUINT64_FORMAT " by %s at %s: %s\n", configuration->revision,
           configuration->author, configuration->time, configuration->message);
  g_print ("withdrawn domains: %s\n", *withdrawn ? withdrawn : "none");
}

static void
print_member (const struct az_ctl_member *member)
{
  const az_roster_entry *entry = member->entry;

  g_print ("  %s domain %s http %s: ", entry->instance, entry->domain, entry->http_address);
  if (member->answered)
    g_print ("revision %" G_GUINT64_FORMAT "\n", member->revision);
  else
    g_print ("no answer\n");
}

static void
print_members (struct az_ctl *ctl, const struct az_table *table, uint64_t revision)
{
  struct az_ctl_member *members = az_ctl_poll_members (ctl, table, STATUS_TIMEOUT_MS);
  struct az_ctl_acceptance acceptance;

  g_print ("owner table version %" G_GUINT64_FORMAT ", %u entries\n",
           (uint64_t)table->table_version, table->roster.roster_len);
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    print_member (&members[i]);
  az_ctl_count_acceptance (table, members, revision, &acceptance);
  if (revision > 0)
    g_print ("%u of %u entries have revision %" G_GUINT64_FORMAT " in force: %s\n",
             acceptance.confirmed, acceptance.members, revision,
             az_ctl_is_accepted (&acceptance) ? "accepted" : "not yet accepted");
  g_free (members);
}

int
az_ctl_status (struct az_ctl *ctl)
{
  g_autoptr (GError) error = NULL;
  struct az_ctl_stored stored;
  struct az_table table;

  if (!az_ctl_read_configuration (ctl, &stored, &error))
    {
      g_printerr ("%s\n", error->message);
      return AZ_EXIT_FAILURE;
    }
  if (!az_ctl_read_table (ctl, &table, &error))
    {
      g_printerr ("%s\n", error->message);
      az_configuration_destroy (stored.configuration);
      return AZ_EXIT_FAILURE;
    }
  print_configuration (stored.configuration);
  print_members (ctl, &table, stored.configuration ? stored.configuration->revision : 0);
  az_owner_table_clear (&table);
  az_configuration_destroy (stored.configuration);
  return AZ_EXIT_SUCCESS;
}
