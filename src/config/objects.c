#include "config/object_set.h"
#include <string.h>

struct az_object_set *
az_object_set_create (void)
{
  struct az_object_set *set = g_new0 (struct az_object_set, 1);

  for (int kind = 0; kind < AZ_OBJECT_KINDS; kind++)
    set->tables[kind] = g_array_new (FALSE, TRUE, (guint)az_object_schemas[kind].size);
  set->strings = g_string_chunk_new (1024);
  set->references = g_ptr_array_new_with_free_func (g_free);
  return set;
}

void
az_object_set_destroy (struct az_object_set *set)
{
  if (!set)
    return;
  for (int kind = 0; kind < AZ_OBJECT_KINDS; kind++)
    g_array_unref (set->tables[kind]);
  g_string_chunk_free (set->strings);
  g_ptr_array_unref (set->references);
  g_free (set);
}

void *
az_object_set_row (const struct az_object_set *set, enum az_object_kind kind, uint32_t index)
{
  return set->tables[kind]->data + index * az_object_schemas[kind].size;
}

int
az_object_set_find (const struct az_object_set *set, enum az_object_kind kind, const char *name)
{
  uint32_t low = 0;
  uint32_t high = set->tables[kind]->len;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const char *const *row = az_object_set_row (set, kind, middle);
      int order = strcmp (name, *row);

      if (order == 0)
        return (int)middle;
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return -1;
}

static const void *
get_table (const struct az_object_set *set, enum az_object_kind kind, uint32_t *count)
{
  *count = set->tables[kind]->len;
  return set->tables[kind]->data;
}

const struct az_domain *
az_object_set_domains (const struct az_object_set *set, uint32_t *count)
{
  return get_table (set, AZ_OBJECT_DOMAIN, count);
}

const struct az_service *
az_object_set_services (const struct az_object_set *set, uint32_t *count)
{
  return get_table (set, AZ_OBJECT_SERVICE, count);
}

const struct az_upstream *
az_object_set_upstreams (const struct az_object_set *set, uint32_t *count)
{
  return get_table (set, AZ_OBJECT_UPSTREAM, count);
}

const struct az_policy *
az_object_set_policies (const struct az_object_set *set, uint32_t *count)
{
  return get_table (set, AZ_OBJECT_POLICY, count);
}

const struct az_team *
az_object_set_teams (const struct az_object_set *set, uint32_t *count)
{
  return get_table (set, AZ_OBJECT_TEAM, count);
}

int
az_object_set_find_domain (const struct az_object_set *set, const char *name)
{
  return az_object_set_find (set, AZ_OBJECT_DOMAIN, name);
}

int
az_object_set_find_service (const struct az_object_set *set, const char *name)
{
  return az_object_set_find (set, AZ_OBJECT_SERVICE, name);
}

int
az_object_set_find_upstream (const struct az_object_set *set, const char *name)
{
  return az_object_set_find (set, AZ_OBJECT_UPSTREAM, name);
}

int
az_object_set_find_policy (const struct az_object_set *set, const char *name)
{
  return az_object_set_find (set, AZ_OBJECT_POLICY, name);
}

int
az_object_set_find_team (const struct az_object_set *set, const char *name)
{
  return az_object_set_find (set, AZ_OBJECT_TEAM, name);
}
