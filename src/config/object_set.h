#ifndef AZUREROCK_CONFIG_OBJECT_SET_H
#define AZUREROCK_CONFIG_OBJECT_SET_H

#include "azurerock/objects.h"
#include "config/object_schema.h"

/* Each table holds the objects of one kind, sorted by name. Every object structure begins with a
 * pointer to its name. */
struct az_object_set
{
  GArray *tables[AZ_OBJECT_KINDS];
  GStringChunk *strings;
  GPtrArray *references; /* owns the arrays of indexes that objects point to */
};

struct az_object_set *
az_object_set_create (void);

void *
az_object_set_row (const struct az_object_set *set, enum az_object_kind kind, uint32_t index);

/** az_object_set_find - returns the index of the named object among those of @kind, or -1 */
int
az_object_set_find (const struct az_object_set *set, enum az_object_kind kind, const char *name);

/** struct az_object_source - one JSON object and the file it was read from */
struct az_object_source
{
  const json_t *json;
  const char *file;
};

/**
 * az_object_sources_check - checks the sources and builds a set from them
 * @origin: file name in errors that concern the whole set
 * @errors: receives each error
 *
 * Return: the set, or NULL if @errors is not empty.
 */
struct az_object_set *
az_object_sources_check (const struct az_object_source *sources,
                         size_t count,
                         const char *origin,
                         GPtrArray *errors);

/**
 * struct az_object_location - location of an error
 * @errors: list that receives the error
 * @object: "kind/name", or NULL if the error concerns the whole file or set
 */
struct az_object_location
{
  GPtrArray *errors;
  const char *file;
  const char *object;
};

/** az_object_report - appends an error; @field is the path of the field, or NULL */
void
az_object_report (const struct az_object_location *location,
                  const char *field,
                  const char *format,
                  ...) G_GNUC_PRINTF (3, 4);

/** az_object_name_is_valid - accepts 1 to 64 characters of A-Z a-z 0-9 . _ -, the first not '.' */
bool
az_object_name_is_valid (const char *name);

/** az_object_fields_read - checks the fields of @json and stores their values in @row */
void
az_object_fields_read (struct az_object_set *set,
                       enum az_object_kind kind,
                       const json_t *json,
                       void *row,
                       const struct az_object_location *location);

/**
 * az_object_set_check_rules - checks the rules that concern several fields or the whole set
 * @locations: locations of all objects in canonical order, then the location of the whole set
 */
void
az_object_set_check_rules (const struct az_object_set *set,
                           const struct az_object_location *locations);

#endif
