#include "ctl/ctl.h"

/* A member is established if it joined before the current table version. The first table has no
 * earlier version, so its only member is established, too. */
static bool
is_established (const struct az_table *table, const az_roster_entry *entry)
{
  return entry->joined < table->table_version
         || (table->table_version == 1 && table->roster.roster_len == 1);
}

void
az_ctl_count_acceptance (const struct az_table *table,
                         const struct az_ctl_member *members,
                         uint64_t revision,
                         struct az_ctl_acceptance *acceptance)
{
  *acceptance = (struct az_ctl_acceptance){ .members = table->roster.roster_len };
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    {
      bool confirmed = members[i].answered && members[i].revision >= revision;
      bool established = is_established (table, members[i].entry);

      acceptance->confirmed += confirmed;
      acceptance->established += established;
      acceptance->established_confirmed += established && confirmed;
    }
}

/* Whether at least half, rounded up, of the members have confirmed. */
static bool
is_half (uint32_t confirmed, uint32_t members)
{
  return members > 0 && confirmed >= (members + 1) / 2;
}

/*
 * Half of the established members has a member in common with every majority of the previous
 * roster, by which entries that don't know this table version decide. Half of all members has one
 * in common with every majority of the current roster. The first condition alone is not enough: if
 * one of three members has just joined, a single member is half of the established ones, and the
 * other two are a majority that doesn't know the revision.
 */
bool
az_ctl_is_accepted (const struct az_ctl_acceptance *acceptance)
{
  return is_half (acceptance->established_confirmed, acceptance->established)
         && is_half (acceptance->confirmed, acceptance->members);
}
