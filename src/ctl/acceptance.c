#include "ctl/ctl.h"

/* The first table counts its only member: nobody was in the roster before. */
static bool
is_counted (const struct az_table *table, const az_roster_entry *entry)
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
      bool counted = is_counted (table, members[i].entry);

      acceptance->confirmed += confirmed;
      acceptance->counted += counted;
      acceptance->counted_confirmed += counted && confirmed;
    }
}

static bool
is_half (uint32_t confirmed, uint32_t members)
{
  return members > 0 && confirmed >= (members + 1) / 2;
}

/*
 * Half of the older members meets every majority of the roster before this table version, which
 * entries that don't know the version go by; half of all members meets every majority of the
 * present roster. The older members alone would not do: of three members of which one has just
 * joined, a single one is half of the older, and the other two are a majority.
 */
bool
az_ctl_is_accepted (const struct az_ctl_acceptance *acceptance)
{
  return is_half (acceptance->counted_confirmed, acceptance->counted)
         && is_half (acceptance->confirmed, acceptance->members);
}
