#ifndef AZUREROCK_METADATA_H
#define AZUREROCK_METADATA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct az_metadata_item - a key of the platform's store, or the deletion of one */
struct az_metadata_item
{
  char *key;
  char *value; /* NUL-terminated after @length bytes; NULL if the key was deleted */
  size_t length;
  uint64_t revision;
};

enum az_metadata_result
{
  AZ_METADATA_OK,
  AZ_METADATA_HISTORY_COMPACTED, /* the store has discarded the revisions that a watch asked for */
  AZ_METADATA_NOT_FOUND,
  AZ_METADATA_CONFLICT,
  AZ_METADATA_FAILED,  /* the store refused the call, or its answer is malformed */
  AZ_METADATA_UNKNOWN, /* no answer; a write may have been applied */
};

/**
 * struct az_metadata_answer - answer of the store; free with az_metadata_answer_clear()
 * @revision: revision of the whole store
 * @has_more: whether the range that was read has more pages
 * @n_unreadable: malformed items that were skipped
 */
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
