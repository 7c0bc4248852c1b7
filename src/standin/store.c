#include "standin/store.h"
#include <string.h>

static const char *const call_names[AZ_STANDIN_N_CALLS] = {
  [AZ_STANDIN_CALL_GET] = "get",
  [AZ_STANDIN_CALL_LIST] = "list",
  [AZ_STANDIN_CALL_WATCH] = "watch",
  [AZ_STANDIN_CALL_PUT] = "put",
  [AZ_STANDIN_CALL_DELETE] = "delete",
  [AZ_STANDIN_CALL_TXN] = "txn",
  [AZ_STANDIN_CALL_SESSION_CREATE] = "session_create",
  [AZ_STANDIN_CALL_SESSION_RENEW] = "session_renew",
  [AZ_STANDIN_CALL_SESSION_DESTROY] = "session_destroy",
  [AZ_STANDIN_CALL_UNKNOWN] = "unknown",
};

static void
on_session_ended (void *context, const char *id)
{
  struct az_standin_store *store = context;

  az_standin_kv_delete_locked_by (store->kv, id);
}

void
az_standin_store_init (struct az_standin_store *store, uv_loop_t *loop)
{
  memset (store, 0, sizeof *store);
  store->loop = loop;
  store->clock = az_clock_system ();
  store->kv = az_standin_kv_create (az_standin_store_wake, store);
  store->sessions = az_standin_sessions_create (loop, on_session_ended, store);
  store->waiting = g_ptr_array_new ();
}

void
az_standin_store_clear (struct az_standin_store *store)
{
  az_standin_sessions_destroy (store->sessions);
  az_standin_kv_destroy (store->kv);
  g_ptr_array_unref (store->waiting);
}

static json_t *
print_stats (const struct az_standin_store *store)
{
  json_t *json
      = json_pack ("{s:I, s:I, s:I, s:I}", "limited", (json_int_t)store->limited, "failed",
                   (json_int_t)store->failed, "lost_answers", (json_int_t)store->lost_answers,
                   "waiting", (json_int_t)store->waiting->len);

  for (int call = 0; call < AZ_STANDIN_N_CALLS; call++)
    json_object_set_new (json, call_names[call], json_integer ((json_int_t)store->calls[call]));
  return json;
}

static void
update_faults (struct az_standin_store *store, const struct az_http_request *request)
{
  json_t *json = json_loadb (request->body, request->body_length, 0, NULL);
  enum az_standin_outage before = store->faults.outage;
  const char *error_text = az_standin_faults_update (&store->faults, json);

  json_decref (json);
  if (error_text)
    {
      az_standin_store_answer_text (store, request->handle, 400, error_text);
      return;
    }
  if (store->faults.outage != AZ_STANDIN_OUTAGE_OFF)
    az_standin_store_fail_waiting (store);
  if (store->faults.outage != before)
    az_standin_sessions_set_paused (store->sessions, store->faults.outage != AZ_STANDIN_OUTAGE_OFF);
  az_standin_store_answer (store, request->handle, 200, az_standin_faults_print (&store->faults));
}

/* Serves the fault settings and the statistics. Injected faults and rate limits don't apply to
 * these requests, so that faults can be cleared at any time. */
static bool
serve_control (struct az_standin_store *store, const struct az_http_request *request)
{
  if (!g_str_has_prefix (request->path, "/standin/"))
    return false;
  if (!strcmp (request->path, "/standin/stats"))
    az_standin_store_answer (store, request->handle, 200, print_stats (store));
  else if (strcmp (request->path, "/standin/faults") != 0)
    az_standin_store_answer_text (store, request->handle, 404, "no such endpoint");
  else if (!strcmp (request->method, "PUT"))
    update_faults (store, request);
  else
    az_standin_store_answer (store, request->handle, 200, az_standin_faults_print (&store->faults));
  return true;
}

void
az_standin_store_handle_request (void *context, const struct az_http_request *request)
{
  struct az_standin_store *store = context;
  enum az_standin_call call = az_standin_store_classify (request);
  struct az_standin_bucket *bucket;

  if (serve_control (store, request))
    return;
  store->calls[call]++;
  bucket = az_standin_store_is_write (call) ? &store->faults.writes : &store->faults.reads;
  if (store->faults.outage != AZ_STANDIN_OUTAGE_OFF)
    az_standin_store_fail (store, request->handle);
  else if (!az_standin_bucket_take (bucket, az_clock_now (store->clock)))
    {
      store->limited++;
      az_standin_store_answer_text (store, request->handle, 429, "over the limit of calls");
    }
  else if (store->faults.delay_ms > 0)
    az_standin_store_wait (store, request, store->faults.delay_ms, false);
  else
    az_standin_store_serve (store, request);
}
