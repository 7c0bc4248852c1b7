#ifndef AZUREROCK_CONFIG_OBJECT_SET_H
#define AZUREROCK_CONFIG_OBJECT_SET_H

#include "azurerock/objects.h"
#include "config/object_schema.h"

/* Every object structure starts with its name; rows are sorted by name. */
struct az_object_set
{
  GArray *tables[AZ_OBJECT_KINDS];
  GStringChunk *strings;
  GPtrArray *references; /* arrays of indexes that objects point to */
};

struct az_object_set *
az_object_set_create (void);

void *
az_object_set_row (const struct az_object_set *set, enum az_object_kind kind, uint32_t index);

/** az_object_set_find - index of the object of @kind, or -1 */
int
az_object_set_find (const struct az_object_set *set, enum az_object_kind kind, const char *name);

/** struct az_object_source - one JSON object and the file it was read from */
struct az_object_source
{
  const json_t *json;
  const char *file;
};

/**
 * az_object_sources_check - builds a set from sources
 * @origin: named as file in findings on the whole set
 *
 * Return: the set, or NULL if @errors has any finding.
 */
struct az_object_set *
az_object_sources_check (const struct az_object_source *sources,
                         size_t count,
                         const char *origin,
                         GPtrArray *errors);

/** struct az_object_place - where a finding is: file, "kind/name" and field */
struct az_object_place
{
  GPtrArray *errors;
  const char *file;
  const char *object;
};

void
az_object_report (const struct az_object_place *place, const char *field, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/** az_object_name_is_valid - 1 to 64 characters of A-Z a-z 0-9 . _ -, not starting with '.' */
bool
az_object_name_is_valid (const char *name);

/** az_object_fields_read - checks the fields of @json and writes them into @row */
void
az_object_fields_read (struct az_object_set *set,
                       enum az_object_kind kind,
                       const json_t *json,
                       void *row,
                       const struct az_object_place *place);

/**
 * az_object_set_check_rules - rules that concern several fields or the whole set
 * @places: one for each object in canonical order and one for the whole set
 */
void
az_object_set_check_rules (const struct az_object_set *set, const struct az_object_place *places);

#endif
