#ifndef AZUREROCK_STORE_CLIENT_H
#define AZUREROCK_STORE_CLIENT_H

#include "azurerock/http_client.h"
#include <glib.h>
#include <stdint.h>

/*
 * Client of the platform's key-value service in the Consul KV HTTP protocol. All calls are
 * asynchronous; each callback is called once and never from within the call.
 */
struct az_store_client;

enum az_store_result
{
  AZ_STORE_OK,
  AZ_STORE_CONFLICT, /* the compare-and-swap did not take effect */
  AZ_STORE_FAILED,   /* refused or never sent: took no effect */
  AZ_STORE_UNKNOWN,  /* the answer was lost: the write may have taken effect */
};

struct az_store_value
{
  char *key;
  char *value; /* NUL-terminated after @length bytes */
  size_t length;
  uint64_t modify_index;
};

/** struct az_store_answer - values are those of a read; index is X-Consul-Index, or the index of
 * the written keys after az_store_client_write() */
struct az_store_answer
{
  enum az_store_result result;
  uint64_t index;
  const struct az_store_value *values;
  size_t n_values;
  const char *session; /* id, after az_store_client_create_session() */
  const char *error;
};

struct az_store_client *
az_store_client_create (uv_loop_t *loop, const char *address);
void
az_store_client_destroy (struct az_store_client *client);

/** az_store_client_get - consistent read of one key (or of all keys below it if @recurse) */
void
az_store_client_get (struct az_store_client *client,
                     const char *key,
                     bool recurse,
                     void (*done) (void *context, const struct az_store_answer *answer),
                     void *context);

/**
 * az_store_client_watch - waits until the index of the keys below @prefix exceeds @index
 * @wait_ms: answers unchanged after this time
 *
 * The answer holds the keys without values, so that polling costs little.
 */
void
az_store_client_watch (struct az_store_client *client,
                       const char *prefix,
                       uint64_t index,
                       int64_t wait_ms,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context);

/** struct az_store_write - one compare-and-swap; index 0 means that the key must not exist. With
 * value NULL the key is only compared. */
struct az_store_write
{
  const char *key;
  const char *value;
  size_t length;
  uint64_t expected_index;
};

/** az_store_client_write - all of @writes take effect or none */
void
az_store_client_write (struct az_store_client *client,
                       const struct az_store_write *writes,
                       size_t n_writes,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context);

/** az_store_client_create_session - lease of @ttl_ms whose keys are deleted when it lapses */
void
az_store_client_create_session (struct az_store_client *client,
                                int64_t ttl_ms,
                                void (*done) (void *context, const struct az_store_answer *answer),
                                void *context);

/** az_store_client_renew_session - restarts the TTL; %AZ_STORE_CONFLICT if the session has lapsed
 */
void
az_store_client_renew_session (struct az_store_client *client,
                               const char *session,
                               void (*done) (void *context, const struct az_store_answer *answer),
                               void *context);
void
az_store_client_destroy_session (struct az_store_client *client,
                                 const char *session,
                                 void (*done) (void *context, const struct az_store_answer *answer),
                                 void *context);

/** az_store_client_acquire - writes @key held by @session; %AZ_STORE_CONFLICT if another session
 * holds it or @session has lapsed */
void
az_store_client_acquire (struct az_store_client *client,
                         const char *key,
                         const char *value,
                         const char *session,
                         void (*done) (void *context, const struct az_store_answer *answer),
                         void *context);

#endif
