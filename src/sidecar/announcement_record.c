#include "sidecar/announcement_record.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

char *
az_announcement_record_encode (const struct az_upstream_announcement *announcement)
{
  const struct az_resources *capacity = &announcement->capacity;
  json_t *labels = json_array ();
  json_t *record;
  char *text;
  char *copy;

  for (guint i = 0; i < announcement->labels->len; i++)
    json_array_append_new (labels, json_string (announcement->labels->pdata[i]));
  record = json_pack ("{s:s,s:s,s:s,s:s,s:I,s:b,s:i,s:i,s:i,s:o}", "instance",
                      announcement->instance, "service", announcement->service, "address",
                      announcement->address, "domain", announcement->domain, "born_ms",
                      (json_int_t)announcement->started_ms, "draining", announcement->is_draining,
                      "cpu_milli", (int)capacity->cpu_milli, "memory_mb", (int)capacity->memory_mb,
                      "accelerators", (int)capacity->accelerators, "labels", labels);
  text = json_dumps (record, JSON_COMPACT);
  copy = g_strdup (text);
  free (text);
  json_decref (record);
  return copy;
}

/* Returns NULL unless all of @labels are strings. */
static GPtrArray *
unpack_labels (json_t *labels)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  for (size_t i = 0; i < json_array_size (labels); i++)
    {
      const char *name = json_string_value (json_array_get (labels, i));

      if (!name)
        return NULL;
      g_ptr_array_add (names, g_strdup (name));
    }
  return g_steal_pointer (&names);
}

static bool
unpack_record (json_t *record, struct az_upstream_announcement *announcement)
{
  const char *instance;
  const char *service;
  const char *address;
  const char *domain;
  json_int_t started_ms;
  json_t *labels;
  GPtrArray *names;
  int is_draining;
  int cpu_milli;
  int memory_mb;
  int accelerators;

  if (json_unpack (record, "{s:s,s:s,s:s,s:s,s:I,s:b,s:i,s:i,s:i,s:o}", "instance", &instance,
                   "service", &service, "address", &address, "domain", &domain, "born_ms",
                   &started_ms, "draining", &is_draining, "cpu_milli", &cpu_milli, "memory_mb",
                   &memory_mb, "accelerators", &accelerators, "labels", &labels)
      != 0)
    return false;
  names = unpack_labels (labels);
  if (!names || cpu_milli < 0 || memory_mb < 0 || accelerators < 0)
    {
      g_clear_pointer (&names, g_ptr_array_unref);
      return false;
    }
  *announcement = (struct az_upstream_announcement){
    .instance = g_strdup (instance),
    .service = g_strdup (service),
    .address = g_strdup (address),
    .domain = g_strdup (domain),
    .started_ms = started_ms,
    .is_draining = is_draining,
    .capacity = { (u_int)cpu_milli, (u_int)memory_mb, (u_int)accelerators },
    .labels = names,
    .clock_ms = -1,
  };
  return true;
}

bool
az_announcement_record_decode (const char *text, struct az_upstream_announcement *announcement)
{
  json_t *record = json_loads (text, 0, NULL);
  bool decoded = unpack_record (record, announcement);

  json_decref (record);
  if (!decoded || !az_upstream_announcement_find_invalid (announcement))
    return decoded;
  az_upstream_announcement_clear (announcement);
  return false;
}
