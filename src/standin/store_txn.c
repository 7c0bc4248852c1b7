#include "standin/store.h"
#include <string.h>

/* Largest number of operations in a transaction of the Consul protocol. */
#define OPERATIONS_MAX 64
#define VALUE_BYTES_MAX 1048576

static void
clear_write (void *data)
{
  struct az_standin_write *write = data;

  g_free (write->key);
  g_free (write->value);
}

static bool
parse_verb (const char *name, enum az_standin_verb *verb)
{
  static const struct
  {
    const char *name;
    enum az_standin_verb verb;
  } verbs[] = {
    { "set", AZ_STANDIN_SET },
    { "cas", AZ_STANDIN_CAS },
    { "check-index", AZ_STANDIN_CHECK },
    { "check-not-exists", AZ_STANDIN_CHECK },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (!strcmp (verbs[i].name, name))
      {
        *verb = verbs[i].verb;
        return true;
      }
  return false;
}

static const char *
parse_operation (json_t *json, struct az_standin_write *write)
{
  const char *verb, *key;
  const char *value = "";
  json_int_t index = 0;

  if (json_unpack (json, "{s:{s:s, s:s, s?s, s?I}}", "KV", "Verb", &verb, "Key", &key, "Value",
                   &value, "Index", &index)
          < 0
      || index < 0)
    return "an operation needs KV with Verb and Key";
  if (!parse_verb (verb, &write->verb))
    return "only the verbs set, cas, check-index and check-not-exists are supported";
  write->value = (char *)g_base64_decode (value, &write->length);
  write->key = g_strdup (key);
  write->index = (uint64_t)index;
  return write->length > VALUE_BYTES_MAX ? "the value is too large" : NULL;
}

static const char *
parse_operations (const json_t *json, GArray *writes)
{
  size_t count = json_array_size (json);

  if (!json_is_array (json) || count == 0 || count > OPERATIONS_MAX)
    return "the body must be an array of 1 to 64 operations";
  for (size_t i = 0; i < count; i++)
    {
      struct az_standin_write write = { 0 };
      const char *error_text = parse_operation (json_array_get (json, i), &write);

      g_array_append_val (writes, write);
      if (error_text)
        return error_text;
    }
  return NULL;
}

static void
answer_written (struct az_standin_store *store, uint32_t handle, const GArray *writes)
{
  json_t *results = json_array ();

  for (guint i = 0; i < writes->len; i++)
    {
      const char *key = g_array_index (writes, struct az_standin_write, i).key;
      const struct az_standin_entry *entry = az_standin_kv_get (store->kv, key);

      if (entry)
        json_array_append_new (results,
                               json_pack ("{s:o}", "KV", az_standin_entry_print (entry, false)));
    }
  az_standin_store_answer (store, handle, 200,
                           json_pack ("{s:o, s:n}", "Results", results, "Errors"));
}

static void
execute_writes (struct az_standin_store *store, uint32_t handle, const GArray *writes)
{
  size_t failed;

  if (az_standin_kv_write (store->kv, (const struct az_standin_write *)writes->data, writes->len,
                           &failed))
    {
      az_standin_store_inject_lost_answer (store);
      answer_written (store, handle, writes);
      return;
    }
  az_standin_store_answer (store, handle, 409,
                           json_pack ("{s:n, s:[{s:I, s:s}]}", "Results", "Errors", "OpIndex",
                                      (json_int_t)failed, "What", "the index is stale"));
}

void
az_standin_store_serve_txn (struct az_standin_store *store, const struct az_http_request *request)
{
  json_t *json = json_loadb (request->body, request->body_length, 0, NULL);
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (struct az_standin_write));
  const char *error_text;

  g_array_set_clear_func (writes, clear_write);
  error_text = parse_operations (json, writes);
  if (error_text)
    az_standin_store_answer_text (store, request->handle, 400, error_text);
  else
    execute_writes (store, request->handle, writes);
  g_array_unref (writes);
  json_decref (json);
}
