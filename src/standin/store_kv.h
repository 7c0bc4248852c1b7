#ifndef AZUREROCK_STANDIN_STORE_KV_H
#define AZUREROCK_STANDIN_STORE_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** struct az_standin_kv - keys of the stand-in store; each change increments an index, which
 * becomes the modify index of the changed keys */
struct az_standin_kv;

struct az_standin_entry
{
  char *key;
  char *value;
  size_t length;
  uint64_t create_index;
  uint64_t modify_index;
  uint64_t lock_index;
  char *session; /* id of the session that holds the key, or NULL */
};

enum az_standin_verb
{
  AZ_STANDIN_SET,
  AZ_STANDIN_CAS,
  AZ_STANDIN_CHECK, /* compares the index without writing */
};

/** struct az_standin_write - one operation; fails if @verb isn't AZ_STANDIN_SET and @index differs
 * from the modify index of the key, which is 0 for a missing key */
struct az_standin_write
{
  enum az_standin_verb verb;
  char *key;
  char *value;
  size_t length;
  uint64_t index;
};

/**
 * az_standin_kv_create - creates an empty store
 * @on_change: called after each change
 */
struct az_standin_kv *
az_standin_kv_create (void (*on_change) (void *context), void *context);
void
az_standin_kv_destroy (struct az_standin_kv *kv);

const struct az_standin_entry *
az_standin_kv_get (const struct az_standin_kv *kv, const char *key);

/** az_standin_kv_list - entries whose key starts with @prefix, sorted by key; unref the array */
GPtrArray *
az_standin_kv_list (const struct az_standin_kv *kv, const char *prefix);

/** az_standin_kv_get_index - index of the last change of @key, or of all keys with this prefix if
 * @recurse; deletions count as changes; at least 1 */
uint64_t
az_standin_kv_get_index (const struct az_standin_kv *kv, const char *key, bool recurse);

/**
 * az_standin_kv_write - applies all of @writes at one index, or none of them
 * @failed: receives the position of the first write whose index comparison failed
 */
bool
az_standin_kv_write (struct az_standin_kv *kv,
                     const struct az_standin_write *writes,
                     size_t n_writes,
                     size_t *failed);

/** az_standin_kv_acquire - writes a key and locks it for @session, unless another session holds it
 */
bool
az_standin_kv_acquire (struct az_standin_kv *kv,
                       const struct az_standin_write *write,
                       const char *session);
void
az_standin_kv_delete (struct az_standin_kv *kv, const char *key);

/** az_standin_kv_delete_locked_by - deletes every key that @session holds */
void
az_standin_kv_delete_locked_by (struct az_standin_kv *kv, const char *session);

#endif
