#include "store/store_answer.h"
#include <jansson.h>
#include <string.h>

static bool
changes_state (enum az_store_call_kind kind)
{
  return kind != AZ_STORE_CALL_READ && kind != AZ_STORE_CALL_WATCH;
}

static void
set_error (struct az_store_answer *answer, enum az_store_result result, const char *error)
{
  answer->result = result;
  answer->error = g_strdup (error);
}

static bool
read_entry (const json_t *json, struct az_store_value *value)
{
  const char *key = json_string_value (json_object_get (json, "Key"));
  const char *encoded = json_string_value (json_object_get (json, "Value"));
  json_int_t index = json_integer_value (json_object_get (json, "ModifyIndex"));
  g_autofree guchar *bytes = NULL;

  if (!key || index <= 0)
    return false;
  bytes = encoded ? g_base64_decode (encoded, &value->length) : NULL;
  value->key = g_strdup (key);
  value->value = g_malloc (value->length + 1);
  if (bytes)
    memcpy (value->value, bytes, value->length);
  value->value[value->length] = '\0';
  value->modify_index = (uint64_t)index;
  return true;
}

static bool
read_key (const json_t *json, struct az_store_value *value)
{
  value->key = g_strdup (json_string_value (json));
  return value->key != NULL;
}

static bool
read_values (enum az_store_call_kind kind, const json_t *json, struct az_store_answer *answer)
{
  size_t count = json_array_size (json);
  struct az_store_value *values = g_new0 (struct az_store_value, count + 1);

  answer->values = values;
  answer->n_values = count;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *item = json_array_get (json, i);

      if (kind == AZ_STORE_CALL_WATCH ? !read_key (item, &values[i])
                                      : !read_entry (item, &values[i]))
        return false;
    }
  return json_is_array (json);
}

/* Reads the index of the written keys. They share one index, which is higher than those of the keys
 * that were only compared. */
static bool
read_written_index (const json_t *json, struct az_store_answer *answer)
{
  const json_t *results = json_object_get (json, "Results");

  for (size_t i = 0; i < json_array_size (results); i++)
    {
      const json_t *entry = json_object_get (json_array_get (results, i), "KV");
      json_int_t index = json_integer_value (json_object_get (entry, "ModifyIndex"));

      answer->index = MAX (answer->index, (uint64_t)MAX (index, 0));
    }
  return json_is_array (results);
}

/* Returns false if the body of a successful response is malformed. */
static bool
read_body (enum az_store_call_kind kind, const json_t *json, struct az_store_answer *answer)
{
  switch (kind)
    {
    case AZ_STORE_CALL_READ:
    case AZ_STORE_CALL_WATCH:
      return read_values (kind, json, answer);
    case AZ_STORE_CALL_CREATE_SESSION:
      answer->session = g_strdup (json_string_value (json_object_get (json, "ID")));
      return answer->session != NULL;
    case AZ_STORE_CALL_ACQUIRE:
      if (json_is_false (json))
        set_error (answer, AZ_STORE_CONFLICT,
                   "the key is held by another session, or this session has expired");
      return json_is_boolean (json);
    case AZ_STORE_CALL_WRITE:
      return read_written_index (json, answer);
    case AZ_STORE_CALL_RENEW_SESSION:
    case AZ_STORE_CALL_DESTROY_SESSION:
      break;
    }
  return true;
}

static void
read_success (enum az_store_call_kind kind,
              const struct az_http_response *response,
              struct az_store_answer *answer)
{
  json_t *json = json_loadb (response->body, response->body_length, JSON_DECODE_ANY, NULL);

  answer->result = AZ_STORE_OK;
  if (response->index)
    answer->index = g_ascii_strtoull (response->index, NULL, 10);
  if (!read_body (kind, json, answer))
    {
      az_store_answer_clear (answer);
      set_error (answer, changes_state (kind) ? AZ_STORE_UNKNOWN : AZ_STORE_FAILED,
                 "the store's response is malformed");
    }
  json_decref (json);
}

/* A write that was answered with a 5xx status may have taken effect, because the status may be
 * returned after the write was passed on. */
static void
read_failure (enum az_store_call_kind kind, int status, struct az_store_answer *answer)
{
  g_autofree char *error = g_strdup_printf ("the store answered with HTTP status %d", status);

  if (status == 404 && kind == AZ_STORE_CALL_RENEW_SESSION)
    set_error (answer, AZ_STORE_CONFLICT, "the session has expired");
  else if (status == 409)
    set_error (answer, AZ_STORE_CONFLICT, "a key was changed by another writer");
  else if (status >= 500 && changes_state (kind))
    set_error (answer, AZ_STORE_UNKNOWN, error);
  else
    set_error (answer, AZ_STORE_FAILED, error);
}

void
az_store_answer_read (enum az_store_call_kind kind,
                      const struct az_http_response *response,
                      struct az_store_answer *answer)
{
  static const struct az_http_response empty_list = { .body = "[]", .body_length = 2 };

  memset (answer, 0, sizeof *answer);
  if (response->result == AZ_HTTP_NOT_SENT)
    set_error (answer, AZ_STORE_FAILED, response->error);
  else if (response->result == AZ_HTTP_LOST)
    set_error (answer, changes_state (kind) ? AZ_STORE_UNKNOWN : AZ_STORE_FAILED, response->error);
  else if (response->status == 404 && !changes_state (kind))
    {
      struct az_http_response response_without_keys = empty_list;

      response_without_keys.index = response->index;
      read_success (kind, &response_without_keys, answer);
    }
  else if (response->status == 200)
    read_success (kind, response, answer);
  else
    read_failure (kind, response->status, answer);
}

void
az_store_answer_clear (struct az_store_answer *answer)
{
  for (size_t i = 0; i < answer->n_values; i++)
    {
      g_free (answer->values[i].key);
      g_free (answer->values[i].value);
    }
  g_free ((void *)answer->values);
  g_free ((char *)answer->session);
  g_free ((char *)answer->error);
  memset (answer, 0, sizeof *answer);
}
