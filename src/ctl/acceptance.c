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

bool
az_ctl_is_accepted (const struct az_ctl_acceptance *acceptance)
{
  uint32_t needed = (acceptance->members + 1) / 2;
  uint32_t needed_counted = (acceptance->counted + 1) / 2;

  return needed_counted > 0 && acceptance->counted_confirmed >= needed_counted
         && acceptance->confirmed >= needed;
}
