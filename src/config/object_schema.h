#ifndef AZUREROCK_CONFIG_OBJECT_SCHEMA_H
#define AZUREROCK_CONFIG_OBJECT_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The canonical form of a set lists kinds in this order, which is alphabetical. */
enum az_object_kind
{
  AZ_OBJECT_DOMAIN,
  AZ_OBJECT_POLICY,
  AZ_OBJECT_SERVICE,
  AZ_OBJECT_TEAM,
  AZ_OBJECT_UPSTREAM,
  AZ_OBJECT_KINDS,
};

enum az_object_field_type
{
  AZ_FIELD_NAME,       /* const char * */
  AZ_FIELD_BOOLEAN,    /* bool */
  AZ_FIELD_UINT32,     /* uint32_t */
  AZ_FIELD_INT64,      /* int64_t */
  AZ_FIELD_REFERENCE,  /* uint32_t, index of an object of kind @target */
  AZ_FIELD_REFERENCES, /* const uint32_t *, with a uint32_t count at @count_offset */
  AZ_FIELD_MEMBERS,    /* nested structure with the fields @members */
};

struct az_object_field
{
  const char *name;
  size_t offset;
  size_t count_offset;
  int64_t minimum;
  int64_t maximum;
  int64_t default_value; /* used if the field is absent */
  const struct az_object_field *members;
  size_t n_members;
  enum az_object_field_type type;
  enum az_object_kind target;
  bool required;
};

/** struct az_object_schema - fields of one kind of object, without "kind" and "name" */
struct az_object_schema
{
  const char *kind;
  size_t size;
  const struct az_object_field *fields;
  size_t n_fields;
};

extern const struct az_object_schema az_object_schemas[AZ_OBJECT_KINDS];

/** az_object_kind_find - returns the kind with this name, or -1 */
int
az_object_kind_find (const char *name);

/** az_object_field_find - returns the field with this name, or NULL */
const struct az_object_field *
az_object_field_find (const struct az_object_field *fields, size_t n_fields, const char *name);

#endif
