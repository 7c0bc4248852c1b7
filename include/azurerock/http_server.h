#ifndef AZUREROCK_HTTP_SERVER_H
#define AZUREROCK_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** HTTP/1.1 server on libuv through libh2o. */
struct az_http_server;

struct az_http_request
{
  uint32_t handle; /* names the request until it is answered or gone */
  const char *method;
  const char *path;  /* without query */
  const char *query; /* after '?', or "" */
  const char *host;  /* that the request was sent to, with a port if it names one */
  const char *body;
  size_t body_length;
};

/**
 * struct az_http_handlers - what the owner of a server is told
 * @request: one whole request; answer now or later with az_http_server_respond()
 * @gone: the caller closed before the answer; the handle is invalid afterwards
 */
struct az_http_handlers
{
  void (*request) (void *context, const struct az_http_request *request);
  void (*gone) (void *context, uint32_t handle);
  void *context;
};

/**
 * az_http_server_create - serves on "ip:port"; port 0 picks one
 * @max_body: longer bodies are answered 413 without a call of @handlers
 */
struct az_http_server *
az_http_server_create (uv_loop_t *loop,
                       const char *address,
                       size_t max_body,
                       const struct az_http_handlers *handlers,
                       GError **error);
const char *
az_http_server_local_address (const struct az_http_server *server);

/** az_http_server_respond - answers; unknown handles are ignored. @content_type e.g.
 * "application/json" */
void
az_http_server_respond (struct az_http_server *server,
                        uint32_t handle,
                        int status,
                        const char *content_type,
                        const void *body,
                        size_t length);

/**
 * az_http_server_header - value of a header of an open request
 * @name: lower case
 *
 * Return: a copy that is valid until the answer, or NULL.
 */
const char *
az_http_server_header (struct az_http_server *server, uint32_t handle, const char *name);

/** az_http_server_set_header - adds a header, lower case, to the answer that follows; both strings
 * are copied */
void
az_http_server_set_header (struct az_http_server *server,
                           uint32_t handle,
                           const char *name,
                           const char *value);

/** az_http_server_abort - closes the caller's connection without an answer; stand-ins use it to
 * lose answers */
void
az_http_server_abort (struct az_http_server *server, uint32_t handle);

/** az_http_server_close_after_responses - goes on serving, but ends each connection with its next
 * response, so that callers turn to other instances */
void
az_http_server_close_after_responses (struct az_http_server *server);

/** az_http_server_n_connections - open connections of callers */
size_t
az_http_server_n_connections (const struct az_http_server *server);

/** az_http_server_stop_accepting - closes the listener; open connections are answered and then
 * closed */
void
az_http_server_stop_accepting (struct az_http_server *server);
void
az_http_server_destroy (struct az_http_server *server);

#define AZ_HTTP_ERROR (az_http_error_quark ())
GQuark
az_http_error_quark (void);

#endif
