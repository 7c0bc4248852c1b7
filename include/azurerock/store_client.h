#ifndef AZUREROCK_STORE_CLIENT_H
#define AZUREROCK_STORE_CLIENT_H

#include "azurerock/http_client.h"
#include <glib.h>
#include <stdint.h>

/*
 * Client of the platform's key-value store, which speaks the Consul KV HTTP protocol. All calls are
 * asynchronous. Each call invokes its callback @done exactly once, after the call has returned; the
 * answer is valid only during the callback.
 */
struct az_store_client;

enum az_store_result
{
  AZ_STORE_OK,
  AZ_STORE_CONFLICT, /* the compare-and-swap did not take effect */
  AZ_STORE_FAILED,   /* the call was refused or not sent, so a write had no effect */
  AZ_STORE_UNKNOWN,  /* the answer was lost, so a write may have taken effect */
};

struct az_store_value
{
  char *key;
  char *value; /* NUL-terminated after @length bytes */
  size_t length;
  uint64_t modify_index;
};

/**
 * struct az_store_answer - result of a call
 * @index: index of the store at a read; after az_store_client_write() the modify index of the
 * written keys
 * @values: keys that were read
 * @session: id of the session, after az_store_client_create_session()
 * @error: reason, unless @result is %AZ_STORE_OK
 */
struct az_store_answer
{
  enum az_store_result result;
  uint64_t index;
  const struct az_store_value *values;
  size_t n_values;
  const char *session;
  const char *error;
};

struct az_store_client *
az_store_client_create (uv_loop_t *loop, const char *address);
void
az_store_client_destroy (struct az_store_client *client);

/** az_store_client_get - consistent read of one key, or of all keys below it if @recurse */
void
az_store_client_get (struct az_store_client *client,
                     const char *key,
                     bool recurse,
                     void (*done) (void *context, const struct az_store_answer *answer),
                     void *context);

/**
 * az_store_client_watch - waits until the index of the keys below @prefix exceeds @index
 * @wait_ms: the store answers after this time if nothing has changed
 *
 * The answer holds the keys without their values, so that polling transfers little data.
 */
void
az_store_client_watch (struct az_store_client *client,
                       const char *prefix,
                       uint64_t index,
                       int64_t wait_ms,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context);

/**
 * struct az_store_write - compare-and-swap of one key
 * @value: new value, or NULL to only compare the index
 * @expected_index: required modification index; 0 if the key must not exist
 */
struct az_store_write
{
  const char *key;
  const char *value;
  size_t length;
  uint64_t expected_index;
};

/** az_store_client_write - applies either all of @writes or none */
void
az_store_client_write (struct az_store_client *client,
                       const struct az_store_write *writes,
                       size_t n_writes,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context);

/** az_store_client_create_session - creates a lease; its keys are deleted when it expires */
void
az_store_client_create_session (struct az_store_client *client,
                                int64_t ttl_ms,
                                void (*done) (void *context, const struct az_store_answer *answer),
                                void *context);

/** az_store_client_renew_session - restarts the TTL; %AZ_STORE_CONFLICT if it has expired */
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

/** az_store_client_acquire - writes @key and binds it to @session; %AZ_STORE_CONFLICT if another
 * session holds it or @session has expired */
void
az_store_client_acquire (struct az_store_client *client,
                         const char *key,
                         const char *value,
                         const char *session,
                         void (*done) (void *context, const struct az_store_answer *answer),
                         void *context);

#endif
