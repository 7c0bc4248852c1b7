#ifndef AZUREROCK_STANDIN_STORE_QUERY_H
#define AZUREROCK_STANDIN_STORE_QUERY_H

#include <stdbool.h>
#include <stdint.h>

/** az_standin_query_get - URL-decoded value of parameter @name, "" if it has none, NULL if absent;
 * free with g_free() */
char *
az_standin_query_get (const char *query, const char *name);

bool
az_standin_query_has (const char *query, const char *name);

/** az_standin_query_get_number - value of @name, 0 if absent; false if it isn't a number */
bool
az_standin_query_get_number (const char *query, const char *name, uint64_t *number);

/** az_standin_parse_duration - parses a duration such as "500ms", "5s" or "1m"; false if malformed
 */
bool
az_standin_parse_duration (const char *text, int64_t *ms);

#endif
