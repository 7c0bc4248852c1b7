#include "azurerock/upstream_call.h"
#include "net/address.h"
#include <string.h>

void
az_upstream_lists_clear (struct az_upstream_lists *lists)
{
  for (size_t i = 0; i < lists->n_active; i++)
    g_free (lists->active[i].task);
  for (size_t i = 0; i < lists->n_ended; i++)
    g_free (lists->ended[i].task);
  g_free (lists->active);
  g_free (lists->ended);
  memset (lists, 0, sizeof *lists);
}

void
az_upstream_announcement_copy (const struct az_upstream_announcement *from,
                               struct az_upstream_announcement *to)
{
  *to = *from;
  to->instance = g_strdup (from->instance);
  to->service = g_strdup (from->service);
  to->address = g_strdup (from->address);
  to->domain = g_strdup (from->domain);
  to->labels = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < from->labels->len; i++)
    g_ptr_array_add (to->labels, g_strdup (from->labels->pdata[i]));
}

void
az_upstream_announcement_clear (struct az_upstream_announcement *announcement)
{
  g_free (announcement->instance);
  g_free (announcement->service);
  g_free (announcement->address);
  g_free (announcement->domain);
  g_clear_pointer (&announcement->labels, g_ptr_array_unref);
  memset (announcement, 0, sizeof *announcement);
}

static bool
is_name (const char *text)
{
  return text && text[0] && strlen (text) < AZ_MAX_NAME && g_utf8_validate (text, -1, NULL);
}

static bool
are_names (const GPtrArray *labels)
{
  for (guint i = 0; i < labels->len; i++)
    if (!is_name (labels->pdata[i]))
      return false;
  return labels->len <= AZ_MAX_LABELS;
}

const char *
az_upstream_announcement_find_invalid (const struct az_upstream_announcement *announcement)
{
  const struct az_resources *capacity = &announcement->capacity;

  if (!is_name (announcement->instance))
    return "instance";
  if (!is_name (announcement->service))
    return "service";
  if (!announcement->address || !az_address_is_endpoint (announcement->address))
    return "address";
  if (!is_name (announcement->domain))
    return "domain";
  if (!announcement->labels || !are_names (announcement->labels))
    return "labels";
  if (MAX (MAX (capacity->cpu_milli, capacity->memory_mb), capacity->accelerators) > INT32_MAX)
    return "capacity";
  return NULL;
}

const char *
az_upstream_result_name (enum az_upstream_result result)
{
  static const char *const names[] = {
    [AZ_UPSTREAM_OK] = "ok",
    [AZ_UPSTREAM_FENCED] = "fenced",
    [AZ_UPSTREAM_STALE_ATTEMPT] = "old-attempt",
    [AZ_UPSTREAM_LEASE_EXPIRED] = "late",
    [AZ_UPSTREAM_NO_ROOM] = "no-room",
    [AZ_UPSTREAM_UNHEALTHY] = "unhealthy",
    [AZ_UPSTREAM_OTHER_INSTANCE] = "other-instance",
    [AZ_UPSTREAM_INVALID] = "invalid",
    [AZ_UPSTREAM_NOT_SENT] = "not-sent",
    [AZ_UPSTREAM_UNANSWERED] = "unanswered",
  };

  return names[result];
}
