#include "azurerock/http_server.h"
#include "azurerock/table.h"
#include "net/address.h"
#include "net/broken_pipe.h"
#include "net/http_admission.h"
#include "net/http_caller.h"
#include <string.h>

/* Keep-alive connections of callers and load balancers may be idle for this long between
 * requests. */
#define IDLE_TIMEOUT_MS 60000

/* How long a destroyed server waits for its callers to read the responses. Processes destroy their
 * servers near the end of their grace period. */
#define DRAIN_TIMEOUT_MS 100

/* Common non-IANA status for a caller that disconnected before the response. */
#define STATUS_CLIENT_CLOSED_REQUEST 499

#define STATUS_UNAVAILABLE 503

GQuark
az_http_error_quark (void)
{
  return g_quark_from_static_string ("az-http-error-quark");
}

struct az_http_server
{
  struct az_http_admission *admission;
  uv_timer_t close_timer;
  unsigned n_open_handles; /* @admission and @close_timer */
  h2o_globalconf_t configuration;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  struct az_http_handlers handlers;
  struct az_table_rows *requests; /* rows are struct pending */
  GHashTable *callers;
  char *local_address;
  bool closes_after_response;
  bool stopped; /* the listener is closed or closing */
  bool listener_closed;
  bool destroyed;
};

struct handler
{
  h2o_handler_t h2o;
  struct az_http_server *server;
};

struct pending
{
  h2o_req_t *request;
  struct az_http_caller *caller;
};

/* Allocated in the memory pool of a request, so that on_request_freed() runs when libh2o frees the
 * request. */
struct tracker
{
  struct az_http_server *server;
  struct az_http_caller *caller;
  uint32_t handle;
};

static void
on_handle_closed (void *context)
{
  struct az_http_server *server = context;

  if (--server->n_open_handles > 0)
    return;
  h2o_config_dispose (&server->configuration);
  az_table_rows_destroy (server->requests);
  g_hash_table_unref (server->callers);
  g_free (server->local_address);
  g_free (server);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  on_handle_closed (handle->data);
}

/* h2o_context_dispose() closes handles that are part of the context, so the server is freed one
 * loop iteration later. */
static void
on_context_disposed (uv_timer_t *timer)
{
  struct az_http_server *server = timer->data;

  uv_close ((uv_handle_t *)timer, on_timer_closed);
  az_http_admission_destroy (server->admission);
}

static void
dispose_if_unused (struct az_http_server *server)
{
  if (!server->destroyed || !server->listener_closed || g_hash_table_size (server->callers) > 0)
    return;
  server->listener_closed = false;
  h2o_context_dispose (&server->context);
  uv_timer_start (&server->close_timer, on_context_disposed, 0, 0);
}

static void
on_caller_freed (void *context, struct az_http_caller *caller)
{
  struct az_http_server *server = context;

  g_hash_table_remove (server->callers, caller);
  dispose_if_unused (server);
}

static void
send_response (struct az_http_server *server,
               uint32_t handle,
               int status,
               const char *content_type,
               const void *body,
               size_t length)
{
  struct pending *pending = az_table_rows_get (server->requests, handle);
  h2o_req_t *request = pending->request;

  struct az_http_caller *caller = pending->caller;

  az_table_rows_remove (server->requests, handle);
  if (server->stopped || server->closes_after_response)
    request->http1_is_persistent = 0;
  request->res.status = status;
  request->res.reason = status < 300 ? "OK" : "Error";
  request->res.content_length = length;
  h2o_add_header (&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, content_type,
                  strlen (content_type));
  h2o_send_inline (request, body, length);
  az_http_caller_answered (caller);
}

static void
notify_disconnected (struct az_http_server *server, uint32_t handle)
{
  if (!server->destroyed)
    server->handlers.disconnected (server->handlers.context, handle);
}

static void
on_caller_disconnected (void *context, uint32_t handle)
{
  struct az_http_server *server = context;
  struct pending *pending = az_table_rows_get (server->requests, handle);

  if (!pending)
    return;
  /* libh2o closes the connection only after a response. */
  pending->request->http1_is_persistent = 0;
  send_response (server, handle, STATUS_CLIENT_CLOSED_REQUEST, "text/plain", "", 0);
  notify_disconnected (server, handle);
}

static void
on_request_freed (void *memory)
{
  struct tracker *tracker = memory;
  struct az_http_server *server = tracker->server;

  az_http_caller_end_request (tracker->caller);
  if (!az_table_rows_get (server->requests, tracker->handle))
    return;
  az_table_rows_remove (server->requests, tracker->handle);
  notify_disconnected (server, tracker->handle);
}

static char *
copy_text (h2o_req_t *request, const char *text, size_t length)
{
  return h2o_strdup (&request->pool, text, length).base;
}

static uint32_t
track_request (struct az_http_server *server, h2o_req_t *request)
{
  struct tracker *tracker
      = h2o_mem_alloc_shared (&request->pool, sizeof *tracker, on_request_freed);
  struct pending *pending;

  tracker->server = server;
  tracker->handle = az_table_rows_add (server->requests, (void **)&pending);
  pending->request = request;
  pending->caller = az_http_caller_from_request (request);
  tracker->caller = pending->caller;
  az_http_caller_begin_request (pending->caller, tracker->handle);
  return tracker->handle;
}

/* After the process was paused, a disconnect may be noticed before the request is read. */
static void
end_if_disconnected (struct az_http_server *server, uint32_t handle)
{
  const struct pending *pending = az_table_rows_get (server->requests, handle);

  if (pending && az_http_caller_is_disconnected (pending->caller))
    on_caller_disconnected (server, handle);
}

static bool
is_refused (struct az_http_server *server, uint32_t handle)
{
  const struct pending *pending = az_table_rows_get (server->requests, handle);

  return server->destroyed || az_http_caller_is_cut (pending->caller);
}

static int
handle_request (h2o_handler_t *handler, h2o_req_t *request)
{
  struct az_http_server *server = ((struct handler *)handler)->server;
  size_t path_length = request->query_at == SIZE_MAX ? request->path.len : request->query_at;
  struct az_http_request received = {
    .method = copy_text (request, request->method.base, request->method.len),
    .path = copy_text (request, request->path.base, path_length),
    .query = "",
    .host = copy_text (request, request->authority.base, request->authority.len),
    .body = request->entity.base ? request->entity.base : "",
    .body_length = request->entity.len,
  };

  if (path_length < request->path.len)
    received.query = copy_text (request, request->path.base + path_length + 1,
                                request->path.len - path_length - 1);
  received.handle = track_request (server, request);
  if (is_refused (server, received.handle))
    {
      request->http1_is_persistent = 0;
      send_response (server, received.handle, STATUS_UNAVAILABLE, "text/plain", "", 0);
      return 0;
    }
  server->handlers.request (server->handlers.context, &received);
  end_if_disconnected (server, received.handle);
  return 0;
}

static bool
on_connection (void *context, uv_stream_t *stream)
{
  struct az_http_server *server = context;
  const struct az_http_caller_owner owner = {
    .disconnected = on_caller_disconnected,
    .freed = on_caller_freed,
    .context = server,
    .admission = server->admission,
  };
  struct az_http_caller *caller = az_http_caller_accept (stream, &server->accept, &owner);

  if (caller)
    g_hash_table_add (server->callers, caller);
  return caller != NULL;
}

static void
init_configuration (struct az_http_server *server, size_t max_body)
{
  h2o_globalconf_t *configuration = &server->configuration;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  struct handler *handler;

  h2o_config_init (configuration);
  configuration->server_name = h2o_iovec_init (H2O_STRLIT ("azurerock"));
  configuration->max_request_entity_size = max_body;
  configuration->http1.req_timeout = IDLE_TIMEOUT_MS;
  configuration->http1.upgrade_to_http2 = 0;
  host = h2o_config_register_host (configuration, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->h2o.on_req = handle_request;
  handler->server = server;
  server->accept.ctx = &server->context;
  server->accept.hosts = configuration->hosts;
}

static void
on_listener_closed (void *context)
{
  struct az_http_server *server = context;

  server->listener_closed = true;
  dispose_if_unused (server);
}

static struct az_http_server *
create_server (uv_loop_t *loop, size_t max_body, const struct az_http_handlers *handlers)
{
  struct az_http_server *server = g_new0 (struct az_http_server, 1);
  const struct az_http_admission_owner owner
      = { on_connection, on_listener_closed, on_handle_closed, server };

  server->handlers = *handlers;
  server->requests = az_table_rows_create (sizeof (struct pending));
  server->callers = g_hash_table_new (NULL, NULL);
  init_configuration (server, max_body);
  h2o_context_init (&server->context, loop, &server->configuration);
  server->admission = az_http_admission_create (loop, max_body == 0, &owner);
  uv_timer_init (loop, &server->close_timer);
  server->close_timer.data = server;
  server->n_open_handles = 2;
  return server;
}

struct az_http_server *
az_http_server_create (uv_loop_t *loop,
                       const char *address,
                       size_t max_body,
                       const struct az_http_handlers *handlers,
                       GError **error)
{
  struct az_http_server *server;
  struct sockaddr_storage bound;
  int status;

  if (!az_address_parse (address, &bound))
    {
      g_set_error (error, AZ_HTTP_ERROR, 0, "%s: not a numeric address and port", address);
      return NULL;
    }
  az_broken_pipe_ignore ();
  server = create_server (loop, max_body, handlers);
  status = az_http_admission_open (server->admission, &bound);
  if (status < 0)
    {
      g_set_error (error, AZ_HTTP_ERROR, 0, "%s: %s", address, uv_strerror (status));
      az_http_server_destroy (server);
      return NULL;
    }
  server->local_address = az_address_format (&bound);
  return server;
}

const char *
az_http_server_local_address (const struct az_http_server *server)
{
  return server->local_address;
}

void
az_http_server_respond (struct az_http_server *server,
                        uint32_t handle,
                        int status,
                        const char *content_type,
                        const void *body,
                        size_t length)
{
  if (az_table_rows_get (server->requests, handle))
    send_response (server, handle, status, content_type, body, length);
}

const char *
az_http_server_header (struct az_http_server *server, uint32_t handle, const char *name)
{
  struct pending *pending = az_table_rows_get (server->requests, handle);
  const h2o_headers_t *headers;
  ssize_t found;

  if (!pending)
    return NULL;
  headers = &pending->request->headers;
  found = h2o_find_header_by_str (headers, name, strlen (name), SIZE_MAX);
  if (found == -1)
    return NULL;
  return copy_text (pending->request, headers->entries[found].value.base,
                    headers->entries[found].value.len);
}

void
az_http_server_set_header (struct az_http_server *server,
                           uint32_t handle,
                           const char *name,
                           const char *value)
{
  struct pending *pending = az_table_rows_get (server->requests, handle);
  h2o_req_t *request;

  if (!pending)
    return;
  request = pending->request;
  h2o_add_header_by_str (&request->pool, &request->res.headers,
                         copy_text (request, name, strlen (name)), strlen (name), 1, NULL,
                         copy_text (request, value, strlen (value)), strlen (value));
}

void
az_http_server_abort (struct az_http_server *server, uint32_t handle)
{
  struct pending *pending = az_table_rows_get (server->requests, handle);

  if (!pending)
    return;
  az_http_caller_close_now (pending->caller);
  /* libh2o closes the connection only after a response, which nobody receives. */
  pending->request->http1_is_persistent = 0;
  send_response (server, handle, STATUS_CLIENT_CLOSED_REQUEST, "text/plain", "", 0);
}

static void
close_listener (struct az_http_server *server)
{
  if (server->stopped)
    return;
  server->stopped = true;
  az_http_admission_stop (server->admission);
}

static void
for_each_caller (struct az_http_server *server, void (*call) (struct az_http_caller *caller))
{
  GHashTableIter iterator;
  gpointer caller;

  g_hash_table_iter_init (&iterator, server->callers);
  while (g_hash_table_iter_next (&iterator, &caller, NULL))
    call (caller);
}

void
az_http_server_close_after_responses (struct az_http_server *server)
{
  server->closes_after_response = true;
}

size_t
az_http_server_count_connections (const struct az_http_server *server)
{
  return g_hash_table_size (server->callers);
}

void
az_http_server_stop_accepting (struct az_http_server *server)
{
  close_listener (server);
  for_each_caller (server, az_http_caller_close_if_idle);
}

/* Responses that callers haven't read by now are lost. */
static void
on_drain_timeout (uv_timer_t *timer)
{
  struct az_http_server *server = timer->data;

  for_each_caller (server, az_http_caller_close_now);
}

void
az_http_server_destroy (struct az_http_server *server)
{
  uint32_t handle;

  if (!server)
    return;
  server->destroyed = true;
  close_listener (server);
  while ((handle = az_table_rows_next (server->requests, 0)))
    send_response (server, handle, STATUS_UNAVAILABLE, "text/plain", "", 0);
  for_each_caller (server, az_http_caller_close_if_idle);
  uv_timer_start (&server->close_timer, on_drain_timeout, DRAIN_TIMEOUT_MS, 0);
  dispose_if_unused (server);
}
