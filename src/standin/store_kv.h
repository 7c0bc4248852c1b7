#ifndef AZUREROCK_STANDIN_STORE_KV_H
#define AZUREROCK_STANDIN_STORE_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The keys of the stand-in store. Every change raises one index, which the changed keys get. */
struct az_standin_kv;

struct az_standin_entry
{
  char *key;
  char *value;
  size_t length;
  uint64_t create_index;
  uint64_t modify_index;
  uint64_t lock_index;
  char *session; /* holder, or NULL */
};

enum az_standin_verb
{
  AZ_STANDIN_SET,
  AZ_STANDIN_CAS,
  AZ_STANDIN_CHECK, /* compares and writes nothing */
};

/** struct az_standin_write - one operation; @index counts unless it is a plain set */
struct az_standin_write
{
  enum az_standin_verb verb;
  char *key;
  char *value;
  size_t length;
  uint64_t index;
};

/**
 * az_standin_kv_create - empty store
 * @changed: called after each change
 */
struct az_standin_kv *
az_standin_kv_create (void (*changed) (void *context), void *context);
void
az_standin_kv_destroy (struct az_standin_kv *kv);

const struct az_standin_entry *
az_standin_kv_get (const struct az_standin_kv *kv, const char *key);

/** az_standin_kv_list - entries whose key starts with @prefix, in order; unref the array */
GPtrArray *
az_standin_kv_list (const struct az_standin_kv *kv, const char *prefix);

/** az_standin_kv_index - index of the last change of @key, or below it if @recurse; at least 1 */
uint64_t
az_standin_kv_index (const struct az_standin_kv *kv, const char *key, bool recurse);

/**
 * az_standin_kv_write - applies all of @writes at one index, or none
 * @failed: receives the number of the write whose comparison failed
 */
bool
az_standin_kv_write (struct az_standin_kv *kv,
                     const struct az_standin_write *writes,
                     size_t n_writes,
                     size_t *failed);

/** az_standin_kv_acquire - writes a key and makes @session its holder, unless another holds it */
bool
az_standin_kv_acquire (struct az_standin_kv *kv,
                       const struct az_standin_write *write,
                       const char *session);
void
az_standin_kv_delete (struct az_standin_kv *kv, const char *key);

/** az_standin_kv_delete_held - deletes every key that @session holds */
void
az_standin_kv_delete_held (struct az_standin_kv *kv, const char *session);

#endif
