#ifndef AZUREROCK_METADATA_H
#define AZUREROCK_METADATA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct az_metadata_item - a key of the platform's store, or its removal */
struct az_metadata_item
{
  char *key;
  char *value; /* NUL-terminated after @length bytes; NULL if the key was removed */
  size_t length;
  uint64_t revision;
};

enum az_metadata_result
{
  AZ_METADATA_OK,
  AZ_METADATA_HISTORY_GONE, /* a watch asked for history that is no longer held */
  AZ_METADATA_NOT_FOUND,
  AZ_METADATA_CONFLICT,
  AZ_METADATA_FAILED,  /* refused or unreadable */
  AZ_METADATA_UNKNOWN, /* no answer */
};

/** struct az_metadata_answer - @revision is that of the whole store; free with
 * az_metadata_answer_clear() */
struct az_metadata_answer
{
  enum az_metadata_result result;
  uint64_t revision;
  struct az_metadata_item *items;
  size_t n_items;
  bool has_more;
  uint64_t lease;
  size_t n_unreadable;
};

void
az_metadata_answer_clear (struct az_metadata_answer *answer);

#endif
