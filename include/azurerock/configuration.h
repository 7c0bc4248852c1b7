#ifndef AZUREROCK_CONFIGURATION_H
#define AZUREROCK_CONFIGURATION_H

#include "azurerock/objects.h"
#include "proto/gen/azurerock.h"

/*
 * Documents in the key-value store: the published configuration at "azurerock/config" and the owner
 * table, which assigns each job id to an entry, at "azurerock/owners" (design page, sections 3.2
 * and 5.1).
 */
#define AZ_STORE_KEY_PREFIX "azurerock/"
#define AZ_STORE_KEY_CONFIG "azurerock/config"
#define AZ_STORE_KEY_OWNERS "azurerock/owners"
#define AZ_STORE_KEY_HISTORY "azurerock/history/"
#define AZ_STORE_KEY_ENTRIES "azurerock/entries/"

enum az_configuration_error
{
  AZ_CONFIGURATION_ERROR_SYNTAX,
  AZ_CONFIGURATION_ERROR_OBJECTS,
  AZ_CONFIGURATION_ERROR_TABLE,
};

#define AZ_CONFIGURATION_ERROR (az_configuration_error_quark ())
GQuark
az_configuration_error_quark (void);

/** struct az_configuration - one published revision; @publish_id is unique to the publication */
struct az_configuration
{
  uint64_t revision;
  char *publish_id;
  char *author;
  char *time; /* ISO 8601, UTC */
  char *message;
  struct az_object_set *objects;
};

/** az_configuration_parse - parses a stored document; free with az_configuration_destroy() */
struct az_configuration *
az_configuration_parse (const char *document, size_t length, GError **error);

/** az_configuration_format - formats the document to store; free with g_free() */
char *
az_configuration_format (const struct az_configuration *configuration);
void
az_configuration_destroy (struct az_configuration *configuration);

/** az_owner_table_parse - parses a stored owner table; free @table with az_owner_table_clear() */
gboolean
az_owner_table_parse (const char *document, size_t length, struct az_table *table, GError **error);

/** az_owner_table_format - formats the document to store; free with g_free() */
char *
az_owner_table_format (const struct az_table *table);
void
az_owner_table_copy (struct az_table *to, const struct az_table *from);
void
az_owner_table_clear (struct az_table *table);

/** az_owner_table_find_owner - returns the incarnation of the entry that owns @job_id, or 0 if no
 * entry does or the id is malformed */
uint64_t
az_owner_table_find_owner (const struct az_table *table, const char *job_id);

/** az_owner_table_has_member - checks whether an entry with @incarnation is in the roster, the
 * table's list of member entries */
bool
az_owner_table_has_member (const struct az_table *table, uint64_t incarnation);

#endif
