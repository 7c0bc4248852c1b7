#ifndef AZUREROCK_STANDIN_STORE_QUERY_H
#define AZUREROCK_STANDIN_STORE_QUERY_H

#include <stdbool.h>
#include <stdint.h>

/** az_standin_query_get - decoded value of @name in a query, "" without value, NULL if absent */
char *
az_standin_query_get (const char *query, const char *name);

/** az_standin_query_has - whether @name is in the query */
bool
az_standin_query_has (const char *query, const char *name);

/** az_standin_query_number - value of @name; false if it is present and not a number */
bool
az_standin_query_number (const char *query, const char *name, uint64_t *number);

/** az_standin_parse_duration - milliseconds of "500ms", "5s" or "1m"; false if malformed */
bool
az_standin_parse_duration (const char *text, int64_t *ms);

#endif
