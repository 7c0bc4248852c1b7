#include "standin/store_kv.h"
#include <string.h>

struct az_standin_kv
{
  GTree *entries;
  GHashTable *deletion_indexes; /* maps a deleted key to the index of its deletion */
  uint64_t index;
  void (*on_change) (void *context);
  void *context;
};

static int
compare_keys (const void *a, const void *b, void *context)
{
  (void)context;
  return strcmp (a, b);
}

static void
destroy_entry (void *data)
{
  struct az_standin_entry *entry = data;

  g_free (entry->key);
  g_free (entry->value);
  g_free (entry->session);
  g_free (entry);
}

struct az_standin_kv *
az_standin_kv_create (void (*on_change) (void *context), void *context)
{
  struct az_standin_kv *kv = g_new0 (struct az_standin_kv, 1);

  kv->entries = g_tree_new_full (compare_keys, NULL, NULL, destroy_entry);
  kv->deletion_indexes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  /* Clients take index 0 as "no index known yet", so the first index is 1. */
  kv->index = 1;
  kv->on_change = on_change;
  kv->context = context;
  return kv;
}

void
az_standin_kv_destroy (struct az_standin_kv *kv)
{
  if (!kv)
    return;
  g_tree_unref (kv->entries);
  g_hash_table_unref (kv->deletion_indexes);
  g_free (kv);
}

const struct az_standin_entry *
az_standin_kv_get (const struct az_standin_kv *kv, const char *key)
{
  return g_tree_lookup (kv->entries, key);
}

GPtrArray *
az_standin_kv_list (const struct az_standin_kv *kv, const char *prefix)
{
  GPtrArray *list = g_ptr_array_new ();

  for (GTreeNode *node = g_tree_lower_bound (kv->entries, prefix); node;
       node = g_tree_node_next (node))
    {
      if (!g_str_has_prefix (g_tree_node_key (node), prefix))
        break;
      g_ptr_array_add (list, g_tree_node_value (node));
    }
  return list;
}

static uint64_t
get_deletion_index (const struct az_standin_kv *kv, const char *key, bool recurse)
{
  uint64_t index = 1;
  GHashTableIter iterator;
  void *name, *value;

  g_hash_table_iter_init (&iterator, kv->deletion_indexes);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    if (recurse ? g_str_has_prefix (name, key) : !strcmp (name, key))
      index = MAX (index, *(const uint64_t *)value);
  return index;
}

uint64_t
az_standin_kv_get_index (const struct az_standin_kv *kv, const char *key, bool recurse)
{
  uint64_t index = get_deletion_index (kv, key, recurse);
  const struct az_standin_entry *entry = az_standin_kv_get (kv, key);
  GPtrArray *list;

  if (!recurse)
    return entry ? MAX (index, entry->modify_index) : index;
  list = az_standin_kv_list (kv, key);
  for (guint i = 0; i < list->len; i++)
    {
      entry = g_ptr_array_index (list, i);
      index = MAX (index, entry->modify_index);
    }
  g_ptr_array_unref (list);
  return index;
}

static struct az_standin_entry *
set_entry (struct az_standin_kv *kv, const struct az_standin_write *write)
{
  struct az_standin_entry *entry = g_tree_lookup (kv->entries, write->key);

  if (!entry)
    {
      entry = g_new0 (struct az_standin_entry, 1);
      entry->key = g_strdup (write->key);
      entry->create_index = kv->index;
      g_tree_insert (kv->entries, entry->key, entry);
      g_hash_table_remove (kv->deletion_indexes, write->key);
    }
  g_free (entry->value);
  entry->value = g_memdup2 (write->value, write->length);
  entry->length = write->length;
  entry->modify_index = kv->index;
  return entry;
}

static bool
has_expected_index (const struct az_standin_kv *kv, const struct az_standin_write *write)
{
  const struct az_standin_entry *entry = az_standin_kv_get (kv, write->key);

  if (write->verb == AZ_STANDIN_SET)
    return true;
  return write->index == (entry ? entry->modify_index : 0);
}

bool
az_standin_kv_write (struct az_standin_kv *kv,
                     const struct az_standin_write *writes,
                     size_t n_writes,
                     size_t *failed)
{
  for (size_t i = 0; i < n_writes; i++)
    if (!has_expected_index (kv, &writes[i]))
      {
        *failed = i;
        return false;
      }
  kv->index++;
  for (size_t i = 0; i < n_writes; i++)
    if (writes[i].verb != AZ_STANDIN_CHECK)
      set_entry (kv, &writes[i]);
  kv->on_change (kv->context);
  return true;
}

bool
az_standin_kv_acquire (struct az_standin_kv *kv,
                       const struct az_standin_write *write,
                       const char *session)
{
  struct az_standin_entry *entry = g_tree_lookup (kv->entries, write->key);

  if (entry && entry->session && strcmp (entry->session, session) != 0)
    return false;
  kv->index++;
  entry = set_entry (kv, write);
  if (!entry->session)
    {
      entry->session = g_strdup (session);
      entry->lock_index++;
    }
  kv->on_change (kv->context);
  return true;
}

static void
remove_entry (struct az_standin_kv *kv, const char *key)
{
  uint64_t *index = g_new (uint64_t, 1);

  *index = kv->index;
  g_hash_table_replace (kv->deletion_indexes, g_strdup (key), index);
  g_tree_remove (kv->entries, key);
}

void
az_standin_kv_delete (struct az_standin_kv *kv, const char *key)
{
  if (!az_standin_kv_get (kv, key))
    return;
  kv->index++;
  remove_entry (kv, key);
  kv->on_change (kv->context);
}

void
az_standin_kv_delete_locked_by (struct az_standin_kv *kv, const char *session)
{
  GPtrArray *list = az_standin_kv_list (kv, "");
  bool found = false;

  kv->index++;
  for (guint i = 0; i < list->len; i++)
    {
      const struct az_standin_entry *entry = g_ptr_array_index (list, i);

      if (g_strcmp0 (entry->session, session) != 0)
        continue;
      remove_entry (kv, entry->key);
      found = true;
    }
  g_ptr_array_unref (list);
  if (found)
    kv->on_change (kv->context);
}
