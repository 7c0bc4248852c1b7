#ifndef AZUREROCK_DISPATCH_METADATA_CLIENT_H
#define AZUREROCK_DISPATCH_METADATA_CLIENT_H

#include "azurerock/metadata.h"
#include <uv.h>

/* Asynchronous calls to the platform's metadata store. Each callback runs exactly once, and never
 * before the call that it belongs to has returned. */
struct az_metadata_client;

struct az_metadata_client *
az_metadata_client_create (uv_loop_t *loop, const char *address);
void
az_metadata_client_destroy (struct az_metadata_client *client);

/** az_metadata_get - reads one key; the result is %AZ_METADATA_NOT_FOUND if it doesn't exist */
void
az_metadata_get (struct az_metadata_client *client,
                 const char *key,
                 void (*done) (void *context, struct az_metadata_answer *answer),
                 void *context);

/** az_metadata_range - reads one page of the keys below @prefix that follow the key @after (NULL:
 * from the first key) */
void
az_metadata_range (struct az_metadata_client *client,
                   const char *prefix,
                   const char *after,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);

/** az_metadata_watch - reads the changes below @prefix since the revision @after; the store waits
 * up to @wait_ms for one */
void
az_metadata_watch (struct az_metadata_client *client,
                   const char *prefix,
                   uint64_t after,
                   int64_t wait_ms,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);
void
az_metadata_create_lease (struct az_metadata_client *client,
                          int64_t ttl_ms,
                          void (*done) (void *context, struct az_metadata_answer *answer),
                          void *context);
void
az_metadata_renew_lease (struct az_metadata_client *client,
                         uint64_t lease,
                         void (*done) (void *context, struct az_metadata_answer *answer),
                         void *context);

/** az_metadata_write - sets one key; the store deletes it when @lease expires */
void
az_metadata_write (struct az_metadata_client *client,
                   const char *key,
                   const char *value,
                   uint64_t lease,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);

#endif
