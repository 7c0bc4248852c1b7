#include "standin/store.h"
#include <string.h>

static void
abort_answer (struct az_standin_store *store, uint32_t handle)
{
  store->must_drop_answer = false;
  store->lost_answers++;
  az_http_server_abort (store->server, handle);
}

void
az_standin_store_answer_text (struct az_standin_store *store,
                              uint32_t handle,
                              int status,
                              const char *text)
{
  if (store->must_drop_answer)
    abort_answer (store, handle);
  else
    az_http_server_respond (store->server, handle, status, "text/plain", text, strlen (text));
}

void
az_standin_store_answer (struct az_standin_store *store, uint32_t handle, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_ENCODE_ANY);

  json_decref (json);
  if (store->must_drop_answer)
    abort_answer (store, handle);
  else
    az_http_server_respond (store->server, handle, status, "application/json", text, strlen (text));
  free (text);
}

void
az_standin_store_fail (struct az_standin_store *store, uint32_t handle)
{
  store->failed++;
  if (store->faults.outage == AZ_STANDIN_OUTAGE_CLOSE)
    az_http_server_abort (store->server, handle);
  else
    az_standin_store_answer_text (store, handle, 500, "the store is out of service");
}

void
az_standin_store_inject_lost_answer (struct az_standin_store *store)
{
  if (store->faults.lose_write_answers == 0)
    return;
  store->faults.lose_write_answers--;
  store->must_drop_answer = true;
}

json_t *
az_standin_entry_print (const struct az_standin_entry *entry, bool with_value)
{
  g_autofree char *value
      = with_value ? g_base64_encode ((const guchar *)entry->value, entry->length) : NULL;
  json_t *json
      = json_pack ("{s:s, s:i, s:s?, s:I, s:I, s:I}", "Key", entry->key, "Flags", 0, "Value", value,
                   "LockIndex", (json_int_t)entry->lock_index, "CreateIndex",
                   (json_int_t)entry->create_index, "ModifyIndex", (json_int_t)entry->modify_index);

  if (entry->session)
    json_object_set_new (json, "Session", json_string (entry->session));
  return json;
}
