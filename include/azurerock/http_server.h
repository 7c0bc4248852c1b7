#ifndef AZUREROCK_HTTP_SERVER_H
#define AZUREROCK_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** HTTP/1.1 server that runs libh2o on a libuv loop. */
struct az_http_server;

struct az_http_request
{
  uint32_t handle; /* valid until the response, or until @disconnected is called */
  const char *method;
  const char *path;  /* without query */
  const char *query; /* after '?', or "" */
  const char *host;  /* host that the request names, with a port if given */
  const char *body;
  size_t body_length;
};

/**
 * struct az_http_handlers - callbacks of the server
 * @request: a complete request; respond now or later with az_http_server_respond()
 * @disconnected: the caller disconnected before the response; the handle is invalid from now on
 */
struct az_http_handlers
{
  void (*request) (void *context, const struct az_http_request *request);
  void (*disconnected) (void *context, uint32_t handle);
  void *context;
};

/**
 * az_http_server_create - starts to serve on "ip:port"; port 0 selects a free port
 * @max_body: requests with a longer body get status 413 and don't reach @handlers. A listener for
 *   which it is 0 serves readiness or metrics and has a limit of connections of its own, so that
 *   it can be reached while all connections of callers are in use.
 *
 * az_http_limits_set() sets limits that all listeners of the process share.
 */
struct az_http_server *
az_http_server_create (uv_loop_t *loop,
                       const char *address,
                       size_t max_body,
                       const struct az_http_handlers *handlers,
                       GError **error);
const char *
az_http_server_local_address (const struct az_http_server *server);

/** az_http_server_respond - sends the response to a request; ignores invalid handles */
void
az_http_server_respond (struct az_http_server *server,
                        uint32_t handle,
                        int status,
                        const char *content_type,
                        const void *body,
                        size_t length);

/**
 * az_http_server_header - value of a request header
 * @name: lower case
 *
 * Return: a copy that is valid until the response, or NULL.
 */
const char *
az_http_server_header (struct az_http_server *server, uint32_t handle, const char *name);

/** az_http_server_set_header - adds a header to the response, before az_http_server_respond()
 * @name: lower case; copied
 * @value: copied
 */
void
az_http_server_set_header (struct az_http_server *server,
                           uint32_t handle,
                           const char *name,
                           const char *value);

/** az_http_server_abort - closes the caller's connection without a response; the stand-in programs
 * use it to lose responses on purpose */
void
az_http_server_abort (struct az_http_server *server, uint32_t handle);

/** az_http_server_close_after_responses - keeps serving, but closes each connection after its
 * next response, so that callers connect to other instances */
void
az_http_server_close_after_responses (struct az_http_server *server);

/** az_http_server_count_connections - number of open connections */
size_t
az_http_server_count_connections (const struct az_http_server *server);

/** az_http_server_stop_accepting - closes the listener and idle connections; other connections
 * close after the response to their request */
void
az_http_server_stop_accepting (struct az_http_server *server);

/** az_http_server_destroy - stops serving; the loop must run until the server is closed
 *
 * Handlers aren't called any more. Requests without a response, and those that have already
 * arrived, get status 503. Connections close when their callers have received all responses, or
 * after a short time.
 */
void
az_http_server_destroy (struct az_http_server *server);

#define AZ_HTTP_ERROR (az_http_error_quark ())
GQuark
az_http_error_quark (void);

#endif
