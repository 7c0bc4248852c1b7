#include "azurerock/store_client.h"
#include "store/store_answer.h"
#include <jansson.h>
#include <string.h>

/* The store normally answers within milliseconds. Without new evidence of freshness, which a read
 * gives, an entry stops starting tasks after AZ_FRESHNESS_LIMIT_MS. The timeout is below that
 * limit, so that one slow read doesn't use up all of it. */
#define CALL_TIMEOUT_MS 2000

/* One watch, one session renewal and a few reads and writes run at the same time. */
#define CONNECTIONS_MAX 6

struct az_store_client
{
  struct az_http_client *http;
};

struct call
{
  struct az_http_client *http;
  enum az_store_call_kind kind;
  void (*done) (void *context, const struct az_store_answer *answer);
  void *context;
};

struct az_store_client *
az_store_client_create (uv_loop_t *loop, const char *address)
{
  struct az_store_client *client = g_new0 (struct az_store_client, 1);

  client->http = az_http_client_create (loop, address, CONNECTIONS_MAX);
  return client;
}

void
az_store_client_destroy (struct az_store_client *client)
{
  if (!client)
    return;
  az_http_client_destroy (client->http);
  g_free (client);
}

static void
on_response (void *context, const struct az_http_response *response)
{
  struct call *call = context;
  struct az_store_answer answer;

  if (response->result == AZ_HTTP_LOST)
    az_http_client_drop_idle (call->http);
  az_store_answer_read (call->kind, response, &answer);
  call->done (call->context, &answer);
  az_store_answer_clear (&answer);
  g_free (call);
}

static void
send_call (struct az_store_client *client,
           const struct call *call,
           const char *method,
           const char *path,
           const char *body,
           int64_t timeout_ms)
{
  struct call *copy = g_memdup2 (call, sizeof *call);

  copy->http = client->http;
  az_http_client_request (client->http, method, path, NULL, 0, body, body ? strlen (body) : 0,
                          timeout_ms, on_response, copy);
}

static char *
escape (const char *key)
{
  return g_uri_escape_string (key, "/", FALSE);
}

void
az_store_client_get (struct az_store_client *client,
                     const char *key,
                     bool recurse,
                     void (*done) (void *context, const struct az_store_answer *answer),
                     void *context)
{
  const struct call call = { .kind = AZ_STORE_CALL_READ, .done = done, .context = context };
  g_autofree char *escaped = escape (key);
  g_autofree char *path
      = g_strdup_printf ("/v1/kv/%s?consistent%s", escaped, recurse ? "&recurse" : "");

  send_call (client, &call, "GET", path, NULL, CALL_TIMEOUT_MS);
}

void
az_store_client_watch (struct az_store_client *client,
                       const char *prefix,
                       uint64_t index,
                       int64_t wait_ms,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context)
{
  const struct call call = { .kind = AZ_STORE_CALL_WATCH, .done = done, .context = context };
  g_autofree char *escaped = escape (prefix);
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s?keys&consistent&index=%" G_GUINT64_FORMAT
                                           "&wait=%" G_GINT64_FORMAT "ms",
                                           escaped, index, wait_ms);

  send_call (client, &call, "GET", path, NULL, wait_ms + CALL_TIMEOUT_MS);
}

static json_t *
print_check (const struct az_store_write *write)
{
  if (write->expected_index == 0)
    return json_pack ("{s:{s:s, s:s}}", "KV", "Verb", "check-not-exists", "Key", write->key);
  return json_pack ("{s:{s:s, s:s, s:I}}", "KV", "Verb", "check-index", "Key", write->key, "Index",
                    (json_int_t)write->expected_index);
}

static json_t *
print_write (const struct az_store_write *write)
{
  g_autofree char *value = g_base64_encode ((const guchar *)write->value, write->length);

  return json_pack ("{s:{s:s, s:s, s:s, s:I}}", "KV", "Verb", "cas", "Key", write->key, "Value",
                    value, "Index", (json_int_t)write->expected_index);
}

void
az_store_client_write (struct az_store_client *client,
                       const struct az_store_write *writes,
                       size_t n_writes,
                       void (*done) (void *context, const struct az_store_answer *answer),
                       void *context)
{
  const struct call call = { .kind = AZ_STORE_CALL_WRITE, .done = done, .context = context };
  json_t *operations = json_array ();
  char *body;

  for (size_t i = 0; i < n_writes; i++)
    json_array_append_new (operations,
                           writes[i].value ? print_write (&writes[i]) : print_check (&writes[i]));
  body = json_dumps (operations, JSON_COMPACT);
  send_call (client, &call, "PUT", "/v1/txn", body, CALL_TIMEOUT_MS);
  free (body);
  json_decref (operations);
}

void
az_store_client_create_session (struct az_store_client *client,
                                int64_t ttl_ms,
                                void (*done) (void *context, const struct az_store_answer *answer),
                                void *context)
{
  const struct call call
      = { .kind = AZ_STORE_CALL_CREATE_SESSION, .done = done, .context = context };
  g_autofree char *body = g_strdup_printf (
      "{\"TTL\":\"%" G_GINT64_FORMAT "ms\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}", ttl_ms);

  send_call (client, &call, "PUT", "/v1/session/create", body, CALL_TIMEOUT_MS);
}

void
az_store_client_renew_session (struct az_store_client *client,
                               const char *session,
                               void (*done) (void *context, const struct az_store_answer *answer),
                               void *context)
{
  const struct call call
      = { .kind = AZ_STORE_CALL_RENEW_SESSION, .done = done, .context = context };
  g_autofree char *path = g_strconcat ("/v1/session/renew/", session, NULL);

  send_call (client, &call, "PUT", path, NULL, CALL_TIMEOUT_MS);
}

void
az_store_client_destroy_session (struct az_store_client *client,
                                 const char *session,
                                 void (*done) (void *context, const struct az_store_answer *answer),
                                 void *context)
{
  const struct call call
      = { .kind = AZ_STORE_CALL_DESTROY_SESSION, .done = done, .context = context };
  g_autofree char *path = g_strconcat ("/v1/session/destroy/", session, NULL);

  send_call (client, &call, "PUT", path, NULL, CALL_TIMEOUT_MS);
}

void
az_store_client_acquire (struct az_store_client *client,
                         const char *key,
                         const char *value,
                         const char *session,
                         void (*done) (void *context, const struct az_store_answer *answer),
                         void *context)
{
  const struct call call = { .kind = AZ_STORE_CALL_ACQUIRE, .done = done, .context = context };
  g_autofree char *escaped = escape (key);
  g_autofree char *path = g_strdup_printf ("/v1/kv/%s?acquire=%s", escaped, session);

  send_call (client, &call, "PUT", path, value, CALL_TIMEOUT_MS);
}
