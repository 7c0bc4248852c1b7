#ifndef AZUREROCK_DISPATCH_METADATA_READ_H
#define AZUREROCK_DISPATCH_METADATA_READ_H

#include "dispatch/metadata_client.h"

/**
 * struct az_metadata_read - receiver of all keys below a prefix
 * @item: called for each key, in order
 * @done: called once, as the last callback. @revision is that of the store at the first page; the
 *   pages are no snapshot, so changes since then may or may not be included. A watch from this
 *   revision reports them. If @result isn't %AZ_METADATA_OK, items may be missing.
 */
struct az_metadata_read
{
  void (*item) (void *context, const struct az_metadata_item *item);
  void (*done) (void *context, enum az_metadata_result result, uint64_t revision);
  void *context;
};

/** az_metadata_read_all - reads all keys below @prefix, page by page; @read is copied */
void
az_metadata_read_all (struct az_metadata_client *client,
                      const char *prefix,
                      const struct az_metadata_read *read);

#endif
