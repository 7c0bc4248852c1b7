#include "standin/store.h"
#include "standin/store_query.h"
#include <string.h>

#define KV_PREFIX "/v1/kv/"
#define SESSION_PREFIX "/v1/session/"

/* Largest value that the platform's store accepts. */
#define VALUE_BYTES_MAX 1048576

/* Default and maximum wait time of a blocking read in the Consul protocol. */
#define WAIT_DEFAULT_MS 300000
#define WAIT_MAX_MS 600000

/* Returns the decoded key in the path of a request, or NULL if its encoding is malformed; free with
 * g_free(). */
static char *
get_key (const struct az_http_request *request)
{
  return g_uri_unescape_string (request->path + strlen (KV_PREFIX), NULL);
}

static bool
is_list (const struct az_http_request *request)
{
  return az_standin_query_has (request->query, "recurse")
         || az_standin_query_has (request->query, "keys");
}

enum az_standin_call
az_standin_store_classify (const struct az_http_request *request)
{
  if (!strcmp (request->path, "/v1/txn"))
    return AZ_STANDIN_CALL_TXN;
  if (g_str_has_prefix (request->path, SESSION_PREFIX "create"))
    return AZ_STANDIN_CALL_SESSION_CREATE;
  if (g_str_has_prefix (request->path, SESSION_PREFIX "renew/"))
    return AZ_STANDIN_CALL_SESSION_RENEW;
  if (g_str_has_prefix (request->path, SESSION_PREFIX "destroy/"))
    return AZ_STANDIN_CALL_SESSION_DESTROY;
  if (!g_str_has_prefix (request->path, KV_PREFIX))
    return AZ_STANDIN_CALL_UNKNOWN;
  if (!strcmp (request->method, "PUT"))
    return AZ_STANDIN_CALL_PUT;
  if (!strcmp (request->method, "DELETE"))
    return AZ_STANDIN_CALL_DELETE;
  if (az_standin_query_has (request->query, "index"))
    return AZ_STANDIN_CALL_WATCH;
  return is_list (request) ? AZ_STANDIN_CALL_LIST : AZ_STANDIN_CALL_GET;
}

bool
az_standin_store_is_write (enum az_standin_call call)
{
  return call != AZ_STANDIN_CALL_GET && call != AZ_STANDIN_CALL_LIST
         && call != AZ_STANDIN_CALL_WATCH;
}

bool
az_standin_store_has_changed (const struct az_standin_store *store,
                              const struct az_http_request *request)
{
  g_autofree char *key = get_key (request);
  uint64_t index = 0;

  az_standin_query_get_number (request->query, "index", &index);
  return key && az_standin_kv_get_index (store->kv, key, is_list (request)) > index;
}

static void
set_index_header (struct az_standin_store *store,
                  const struct az_http_request *request,
                  const char *key)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT,
              az_standin_kv_get_index (store->kv, key, is_list (request)));
  az_http_server_set_header (store->server, request->handle, "x-consul-index", text);
}

static json_t *
print_list (GPtrArray *list, bool keys_only)
{
  json_t *array = json_array ();

  for (guint i = 0; i < list->len; i++)
    {
      const struct az_standin_entry *entry = g_ptr_array_index (list, i);

      json_array_append_new (array, keys_only ? json_string (entry->key)
                                              : az_standin_entry_print (entry, true));
    }
  return array;
}

static void
answer_read (struct az_standin_store *store, const struct az_http_request *request, const char *key)
{
  const struct az_standin_entry *entry = az_standin_kv_get (store->kv, key);
  GPtrArray *list = g_ptr_array_new ();

  set_index_header (store, request, key);
  if (is_list (request))
    {
      g_ptr_array_unref (list);
      list = az_standin_kv_list (store->kv, key);
    }
  else if (entry)
    g_ptr_array_add (list, (void *)entry);
  if (list->len == 0)
    az_standin_store_answer_text (store, request->handle, 404, "");
  else
    az_standin_store_answer (store, request->handle, 200,
                             print_list (list, az_standin_query_has (request->query, "keys")));
  g_ptr_array_unref (list);
}

static bool
parse_wait_ms (const struct az_http_request *request, int64_t *ms)
{
  g_autofree char *wait = az_standin_query_get (request->query, "wait");

  *ms = WAIT_DEFAULT_MS;
  if (wait && !az_standin_parse_duration (wait, ms))
    return false;
  *ms = MIN (*ms, WAIT_MAX_MS);
  return true;
}

static void
serve_read (struct az_standin_store *store, const struct az_http_request *request, const char *key)
{
  uint64_t index;
  int64_t wait_ms;

  if (!az_standin_query_get_number (request->query, "index", &index)
      || !parse_wait_ms (request, &wait_ms))
    az_standin_store_answer_text (store, request->handle, 400, "malformed index or wait");
  else if (index == 0 || az_standin_query_has (request->query, "woken")
           || az_standin_store_has_changed (store, request))
    answer_read (store, request, key);
  else
    az_standin_store_wait (store, request, wait_ms, true);
}

static bool
write_key (struct az_standin_store *store,
           const struct az_http_request *request,
           const struct az_standin_write *write)
{
  g_autofree char *session = az_standin_query_get (request->query, "acquire");
  size_t failed;

  if (!session)
    return az_standin_kv_write (store->kv, write, 1, &failed);
  return az_standin_sessions_has (store->sessions, session)
         && az_standin_kv_acquire (store->kv, write, session);
}

static void
serve_put (struct az_standin_store *store, const struct az_http_request *request, char *key)
{
  struct az_standin_write write
      = { .key = key, .value = (char *)request->body, .length = request->body_length };
  bool written;

  if (request->body_length > VALUE_BYTES_MAX)
    {
      az_standin_store_answer_text (store, request->handle, 413, "the value is too large");
      return;
    }
  if (az_standin_query_has (request->query, "cas"))
    write.verb = AZ_STANDIN_CAS;
  if (!az_standin_query_get_number (request->query, "cas", &write.index))
    {
      az_standin_store_answer_text (store, request->handle, 400, "malformed cas");
      return;
    }
  written = write_key (store, request, &write);
  if (written)
    az_standin_store_inject_lost_answer (store);
  az_standin_store_answer (store, request->handle, 200, json_boolean (written));
}

static void
serve_delete (struct az_standin_store *store,
              const struct az_http_request *request,
              const char *key)
{
  az_standin_kv_delete (store->kv, key);
  az_standin_store_inject_lost_answer (store);
  az_standin_store_answer (store, request->handle, 200, json_true ());
}

static void
serve_key (struct az_standin_store *store, const struct az_http_request *request)
{
  g_autofree char *key = get_key (request);

  if (!key || (*key == '\0' && !is_list (request)))
    az_standin_store_answer_text (store, request->handle, 400, "missing key name");
  else if (!strcmp (request->method, "GET"))
    serve_read (store, request, key);
  else if (!strcmp (request->method, "PUT"))
    serve_put (store, request, key);
  else if (!strcmp (request->method, "DELETE"))
    serve_delete (store, request, key);
  else
    az_standin_store_answer_text (store, request->handle, 405, "method not allowed");
}

void
az_standin_store_serve (struct az_standin_store *store, const struct az_http_request *request)
{
  if (g_str_has_prefix (request->path, KV_PREFIX))
    serve_key (store, request);
  else if (!strcmp (request->path, "/v1/txn") && !strcmp (request->method, "PUT"))
    az_standin_store_serve_txn (store, request);
  else if (g_str_has_prefix (request->path, SESSION_PREFIX) && !strcmp (request->method, "PUT"))
    az_standin_store_serve_session (store, request);
  else
    az_standin_store_answer_text (store, request->handle, 404, "no such endpoint");
}
