#include "standin/store_faults.h"
#include <glib.h>
#include <string.h>

/* Microseconds in a second and micro-tokens in a token. */
#define MICRO 1000000

static const char *const outages[] = {
  [AZ_STANDIN_OUTAGE_OFF] = "off",
  [AZ_STANDIN_OUTAGE_ERROR] = "error",
  [AZ_STANDIN_OUTAGE_CLOSE] = "close",
};

bool
az_standin_bucket_take (struct az_standin_bucket *bucket, struct timespec now)
{
  int64_t elapsed_us = MIN (az_time_diff_us (now, bucket->last_refill), MICRO);

  if (bucket->per_s == 0)
    return true;
  bucket->micro_tokens
      = MIN (bucket->micro_tokens + elapsed_us * bucket->per_s, bucket->per_s * MICRO);
  bucket->last_refill = now;
  if (bucket->micro_tokens < MICRO)
    return false;
  bucket->micro_tokens -= MICRO;
  return true;
}

static bool
parse_outage (const json_t *json, enum az_standin_outage *outage)
{
  const char *name = json_string_value (json);

  for (size_t i = 0; name && i < G_N_ELEMENTS (outages); i++)
    if (!strcmp (outages[i], name))
      {
        *outage = (enum az_standin_outage)i;
        return true;
      }
  return false;
}

/* Returns the integer field named @key, or NULL. */
static int64_t *
find_integer (struct az_standin_faults *faults, const char *key)
{
  if (!strcmp (key, "delay_ms"))
    return &faults->delay_ms;
  if (!strcmp (key, "lose_write_answers"))
    return &faults->lose_write_answers;
  if (!strcmp (key, "writes_per_s"))
    return &faults->writes.per_s;
  if (!strcmp (key, "reads_per_s"))
    return &faults->reads.per_s;
  return NULL;
}

const char *
az_standin_faults_update (struct az_standin_faults *faults, const json_t *json)
{
  struct az_standin_faults updated = *faults;
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    return "must be an object";
  json_object_foreach ((json_t *)json, key, value)
  {
    int64_t *number = find_integer (&updated, key);

    if (!strcmp (key, "outage"))
      {
        if (!parse_outage (value, &updated.outage))
          return "outage must be \"off\", \"error\" or \"close\"";
        continue;
      }
    if (!number)
      return "unknown field";
    if (!json_is_integer (value) || json_integer_value (value) < 0
        || json_integer_value (value) > MICRO)
      return "numbers must be integers from 0 to 1000000";
    *number = json_integer_value (value);
  }
  *faults = updated;
  return NULL;
}

json_t *
az_standin_faults_print (const struct az_standin_faults *faults)
{
  return json_pack ("{s:s, s:I, s:I, s:I, s:I}", "outage", outages[faults->outage], "delay_ms",
                    (json_int_t)faults->delay_ms, "lose_write_answers",
                    (json_int_t)faults->lose_write_answers, "writes_per_s",
                    (json_int_t)faults->writes.per_s, "reads_per_s",
                    (json_int_t)faults->reads.per_s);
}
