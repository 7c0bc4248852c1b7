#include "standin/store.h"
#include "standin/store_query.h"
#include <string.h>

/* A session that is created without a TTL would never expire, and no component needs that; it gets
 * a default TTL. */
#define TTL_DEFAULT_MS 10000
#define TTL_MIN_MS 100

static bool
parse_ttl (const struct az_http_request *request, int64_t *ttl_ms)
{
  json_t *json = json_loadb (request->body, request->body_length, 0, NULL);
  const char *text = json_string_value (json_object_get (json, "TTL"));
  bool valid = true;

  *ttl_ms = TTL_DEFAULT_MS;
  if (request->body_length > 0 && !json_is_object (json))
    valid = false;
  else if (text)
    valid = az_standin_parse_duration (text, ttl_ms) && *ttl_ms >= TTL_MIN_MS;
  json_decref (json);
  return valid;
}

static void
serve_create (struct az_standin_store *store, const struct az_http_request *request)
{
  int64_t ttl_ms;

  if (!parse_ttl (request, &ttl_ms))
    {
      az_standin_store_answer_text (store, request->handle, 400, "malformed TTL");
      return;
    }
  az_standin_store_answer (
      store, request->handle, 200,
      json_pack ("{s:s}", "ID", az_standin_sessions_add (store->sessions, ttl_ms)));
}

static void
serve_renew (struct az_standin_store *store, const struct az_http_request *request, const char *id)
{
  if (az_standin_sessions_renew (store->sessions, id))
    az_standin_store_answer (store, request->handle, 200, json_pack ("[{s:s}]", "ID", id));
  else
    az_standin_store_answer_text (store, request->handle, 404, "no such session");
}

void
az_standin_store_serve_session (struct az_standin_store *store,
                                const struct az_http_request *request)
{
  const char *operation = request->path + strlen ("/v1/session/");

  if (!strcmp (operation, "create"))
    serve_create (store, request);
  else if (g_str_has_prefix (operation, "renew/"))
    serve_renew (store, request, operation + strlen ("renew/"));
  else if (g_str_has_prefix (operation, "destroy/"))
    {
      az_standin_sessions_remove (store->sessions, operation + strlen ("destroy/"));
      az_standin_store_answer (store, request->handle, 200, json_true ());
    }
  else
    az_standin_store_answer_text (store, request->handle, 404, "no such endpoint");
}
