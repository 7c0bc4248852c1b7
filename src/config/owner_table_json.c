#include "azurerock/configuration.h"
#include <string.h>

/* Incarnations are stored as decimal strings, because jansson's integers are signed and can't hold
 * every unsigned 64-bit number. */
static json_t *
print_incarnation (uint64_t incarnation)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, incarnation);
  return json_string (text);
}

static bool
read_incarnation (const char *text, uint64_t *incarnation)
{
  guint64 number;

  if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &number, NULL))
    return false;
  *incarnation = number;
  return true;
}

static json_t *
print_roster_entry (const az_roster_entry *entry)
{
  return json_pack ("{s:o, s:s, s:s, s:s, s:s, s:I}", "incarnation",
                    print_incarnation (entry->incarnation), "instance", entry->instance, "domain",
                    entry->domain, "rpc_address", entry->rpc_address, "http_address",
                    entry->http_address, "joined", (json_int_t)entry->joined);
}

static json_t *
print_partition (const az_partition *partition)
{
  return json_pack ("{s:o, s:I, s:o}", "owner", print_incarnation (partition->owner), "from_ms",
                    (json_int_t)partition->from_ms, "previous",
                    print_incarnation (partition->previous));
}

char *
az_owner_table_format (const struct az_table *table)
{
  json_t *roster = json_array ();
  json_t *partitions = json_array ();
  json_t *json;
  char *text;

  for (uint32_t i = 0; i < table->roster.roster_len; i++)
    json_array_append_new (roster, print_roster_entry (&table->roster.roster_val[i]));
  for (uint32_t i = 0; i < table->partitions.partitions_len; i++)
    json_array_append_new (partitions, print_partition (&table->partitions.partitions_val[i]));
  json = json_pack ("{s:I, s:o, s:o}", "version", (json_int_t)table->table_version, "roster",
                    roster, "partitions", partitions);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static gboolean
fail (GError **error, const char *where, size_t index, const char *reason)
{
  g_set_error (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_TABLE,
               "owner table: %s[%zu]: %s", where, index, reason);
  return FALSE;
}

static gboolean
read_roster_entry (json_t *json, size_t index, az_roster_entry *entry, GError **error)
{
  const char *incarnation, *instance, *domain, *rpc_address, *http_address;
  json_int_t joined;
  json_error_t json_error;

  if (json_unpack_ex (json, &json_error, JSON_STRICT, "{s:s, s:s, s:s, s:s, s:s, s:I}",
                      "incarnation", &incarnation, "instance", &instance, "domain", &domain,
                      "rpc_address", &rpc_address, "http_address", &http_address, "joined", &joined)
      < 0)
    return fail (error, "roster", index, json_error.text);
  if (!read_incarnation (incarnation, &entry->incarnation) || entry->incarnation == 0)
    return fail (error, "roster", index,
                 "incarnation must be a decimal string from \"1\" to \"18446744073709551615\"");
  if (joined < 0)
    return fail (error, "roster", index, "joined must be at least 0");
  if (strlen (instance) > AZ_MAX_NAME || strlen (domain) > AZ_MAX_NAME
      || strlen (rpc_address) > AZ_MAX_ADDRESS || strlen (http_address) > AZ_MAX_ADDRESS)
    return fail (error, "roster", index,
                 "instance, domain, rpc_address and http_address must not be longer than 64 bytes");
  entry->instance = g_strdup (instance);
  entry->domain = g_strdup (domain);
  entry->rpc_address = g_strdup (rpc_address);
  entry->http_address = g_strdup (http_address);
  entry->joined = (uint64_t)joined;
  return TRUE;
}

static gboolean
read_partition (json_t *json, size_t index, az_partition *partition, GError **error)
{
  const char *owner, *previous;
  json_int_t from_ms;
  json_error_t json_error;

  if (json_unpack_ex (json, &json_error, JSON_STRICT, "{s:s, s:I, s:s}", "owner", &owner, "from_ms",
                      &from_ms, "previous", &previous)
      < 0)
    return fail (error, "partitions", index, json_error.text);
  if (!read_incarnation (owner, &partition->owner)
      || !read_incarnation (previous, &partition->previous))
    return fail (
        error, "partitions", index,
        "owner and previous must be decimal strings from \"0\" to \"18446744073709551615\"");
  if (from_ms < 0)
    return fail (error, "partitions", index, "from_ms must be at least 0");
  partition->from_ms = (uint64_t)from_ms;
  return TRUE;
}

static gboolean
read_members (json_t *roster, json_t *partitions, struct az_table *table, GError **error)
{
  table->roster.roster_val = g_new0 (az_roster_entry, json_array_size (roster));
  table->partitions.partitions_val = g_new0 (az_partition, AZ_PARTITIONS);
  for (size_t i = 0; i < json_array_size (roster); i++)
    {
      az_roster_entry entry = { 0 };

      if (!read_roster_entry (json_array_get (roster, i), i, &entry, error))
        return FALSE;
      table->roster.roster_val[table->roster.roster_len++] = entry;
    }
  table->partitions.partitions_len = AZ_PARTITIONS;
  for (size_t i = 0; i < AZ_PARTITIONS; i++)
    if (!read_partition (json_array_get (partitions, i), i, &table->partitions.partitions_val[i],
                         error))
      return FALSE;
  return TRUE;
}

static gboolean
read_table (json_t *json, struct az_table *table, GError **error)
{
  json_int_t version = 0;
  json_t *roster, *partitions;
  json_error_t json_error = { .text = "" };

  if (json_unpack_ex (json, &json_error, JSON_STRICT, "{s:I, s:o, s:o}", "version", &version,
                      "roster", &roster, "partitions", &partitions)
          < 0
      || version < 1 || !json_is_array (roster) || json_array_size (roster) > AZ_MAX_ENTRIES
      || json_array_size (partitions) != AZ_PARTITIONS)
    {
      g_set_error (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_TABLE, "owner table: %s",
                   json_error.text[0] ? json_error.text
                                      : "version must be at least 1, roster must have at most 64 "
                                        "entries, and partitions must have 64");
      return FALSE;
    }
  table->table_version = (uint64_t)version;
  return read_members (roster, partitions, table, error);
}

gboolean
az_owner_table_parse (const char *document, size_t length, struct az_table *table, GError **error)
{
  json_error_t json_error;
  json_t *json = json_loadb (document, length, JSON_REJECT_DUPLICATES, &json_error);
  gboolean valid;

  memset (table, 0, sizeof *table);
  if (!json)
    {
      g_set_error (error, AZ_CONFIGURATION_ERROR, AZ_CONFIGURATION_ERROR_SYNTAX,
                   "owner table: line %d, column %d: %s", json_error.line, json_error.column,
                   json_error.text);
      return FALSE;
    }
  valid = read_table (json, table, error);
  if (!valid)
    az_owner_table_clear (table);
  json_decref (json);
  return valid;
}
