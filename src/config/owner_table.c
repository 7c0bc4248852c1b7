#include "azurerock/configuration.h"
#include "azurerock/job_id.h"
#include <string.h>

void
az_owner_table_copy (struct az_table *to, const struct az_table *from)
{
  uint32_t n_roster = from->roster.roster_len;
  uint32_t n_partitions = from->partitions.partitions_len;

  to->table_version = from->table_version;
  to->roster.roster_len = n_roster;
  to->roster.roster_val = g_new0 (az_roster_entry, n_roster);
  for (uint32_t i = 0; i < n_roster; i++)
    {
      const az_roster_entry *source = &from->roster.roster_val[i];
      az_roster_entry *entry = &to->roster.roster_val[i];

      *entry = *source;
      entry->instance = g_strdup (source->instance);
      entry->domain = g_strdup (source->domain);
      entry->rpc_address = g_strdup (source->rpc_address);
      entry->http_address = g_strdup (source->http_address);
    }
  to->partitions.partitions_len = n_partitions;
  to->partitions.partitions_val
      = g_memdup2 (from->partitions.partitions_val, n_partitions * sizeof (az_partition));
}

void
az_owner_table_clear (struct az_table *table)
{
  xdr_free ((xdrproc_t)xdr_az_table, (char *)table);
  memset (table, 0, sizeof *table);
}

uint64_t
az_owner_table_find_owner (const struct az_table *table, const char *job_id)
{
  const az_partition *partition;
  uint32_t index;
  int64_t time_ms;

  if (!az_job_id_parse (job_id, &time_ms))
    return 0;
  index = az_job_id_partition (job_id);
  if (index >= table->partitions.partitions_len)
    return 0;
  partition = &table->partitions.partitions_val[index];
  return (uint64_t)time_ms >= partition->from_ms ? partition->owner : partition->previous;
}

bool
az_owner_table_has_member (const struct az_table *table, uint64_t incarnation)
{
  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    if (table->roster.roster_val[i].incarnation == incarnation)
      return true;
  return false;
}
