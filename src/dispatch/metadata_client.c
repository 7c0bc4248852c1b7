#include "dispatch/metadata_client.h"
#include "azurerock/http_client.h"
#include "platform/store.h"
#include <glib.h>

/* A call that gets no response occupies its connection until it times out. Calls made while the
 * store hangs get none even after it has recovered. */
#define CONNECTIONS 6
#define CALL_TIMEOUT_MS 900

/* Time allowed for the response to a watch beyond the wait time given to the store. */
#define WATCH_EXTRA_MS 700

struct az_metadata_client
{
  struct az_http_client *http;
};

struct call
{
  struct az_metadata_client *client;
  void (*done) (void *context, struct az_metadata_answer *answer);
  void *context;
};

struct az_metadata_client *
az_metadata_client_create (uv_loop_t *loop, const char *address)
{
  struct az_metadata_client *client = g_new0 (struct az_metadata_client, 1);

  client->http = az_http_client_create (loop, address, CONNECTIONS);
  return client;
}

void
az_metadata_client_destroy (struct az_metadata_client *client)
{
  if (!client)
    return;
  az_http_client_destroy (client->http);
  g_free (client);
}

static void
on_response (void *context, const struct az_http_response *response)
{
  g_autofree struct call *call = context;
  struct az_metadata_answer answer;

  if (response->result == AZ_HTTP_LOST)
    az_http_client_drop_idle (call->client->http);
  platform_decode_store (response, &answer);
  call->done (call->context, &answer);
  az_metadata_answer_clear (&answer);
}

/* Takes ownership of @path and @body. */
static void
request (struct az_metadata_client *client,
         const char *method,
         char *path,
         char *body,
         int64_t timeout_ms,
         void (*done) (void *context, struct az_metadata_answer *answer),
         void *context)
{
  static const struct az_http_header json = { "content-type", "application/json" };
  struct call *call = g_new0 (struct call, 1);

  call->client = client;
  call->done = done;
  call->context = context;
  az_http_client_request (client->http, method, path, &json, body ? 1 : 0, body,
                          body ? strlen (body) : 0, timeout_ms, on_response, call);
  g_free (path);
  g_free (body);
}

void
az_metadata_get (struct az_metadata_client *client,
                 const char *key,
                 void (*done) (void *context, struct az_metadata_answer *answer),
                 void *context)
{
  request (client, "GET", platform_store_key_path (key), NULL, CALL_TIMEOUT_MS, done, context);
}

void
az_metadata_range (struct az_metadata_client *client,
                   const char *prefix,
                   const char *after,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context)
{
  request (client, "GET", platform_store_range_path (prefix, after), NULL, CALL_TIMEOUT_MS, done,
           context);
}

void
az_metadata_watch (struct az_metadata_client *client,
                   const char *prefix,
                   uint64_t after,
                   int64_t wait_ms,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context)
{
  request (client, "GET", platform_store_watch_path (prefix, after, wait_ms), NULL,
           wait_ms + WATCH_EXTRA_MS, done, context);
}

void
az_metadata_create_lease (struct az_metadata_client *client,
                          int64_t ttl_ms,
                          void (*done) (void *context, struct az_metadata_answer *answer),
                          void *context)
{
  request (client, "POST", g_strdup (PLATFORM_STORE_LEASE_PATH), platform_encode_lease (ttl_ms),
           CALL_TIMEOUT_MS, done, context);
}

void
az_metadata_renew_lease (struct az_metadata_client *client,
                         uint64_t lease,
                         void (*done) (void *context, struct az_metadata_answer *answer),
                         void *context)
{
  request (client, "POST", platform_store_renew_path (lease), NULL, CALL_TIMEOUT_MS, done, context);
}

void
az_metadata_write (struct az_metadata_client *client,
                   const char *key,
                   const char *value,
                   uint64_t lease,
                   void (*done) (void *context, struct az_metadata_answer *answer),
                   void *context)
{
  request (client, "POST", g_strdup (PLATFORM_STORE_WRITE_PATH),
           platform_encode_write (key, value, lease), CALL_TIMEOUT_MS, done, context);
}
