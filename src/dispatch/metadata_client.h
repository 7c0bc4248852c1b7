#ifndef AZUREROCK_DISPATCH_METADATA_CLIENT_H
#define AZUREROCK_DISPATCH_METADATA_CLIENT_H

#include "azurerock/metadata.h"
#include <uv.h>

/* Calls to the platform's metadata store; each callback is called once and never from within the
 * call. */
struct az_metadata_client;

struct az_metadata_client *
az_metadata_client_create (uv_loop_t *loop, const char *address);
void
az_metadata_client_destroy (struct az_metadata_client *client);

/** az_metadata_get - one key; %AZ_METADATA_NOT_FOUND without items if there is none */
void
az_metadata_get (struct az_metadata_client *client,
                 const char *key,
                 void (*done) (void *context, struct az_metadata_answer *answer),
                 void *context);

/** az_metadata_range - items below @prefix, those behind the key @after (NULL: from the first) */
void
az_metadata_range (struct az_metadata_client *client,
                   const char *prefix,
                   const char *after,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);

/** az_metadata_watch - changes below @prefix after a revision, waiting up to @wait_ms for one */
void
az_metadata_watch (struct az_metadata_client *client,
                   const char *prefix,
                   uint64_t after,
                   int64_t wait_ms,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);
void
az_metadata_lease (struct az_metadata_client *client,
                   int64_t ttl_ms,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);
void
az_metadata_renew (struct az_metadata_client *client,
                   uint64_t lease,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);

/** az_metadata_write - sets one key under a lease */
void
az_metadata_write (struct az_metadata_client *client,
                   const char *key,
                   const char *value,
                   uint64_t lease,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context);

#endif
