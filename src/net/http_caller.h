#ifndef AZUREROCK_NET_HTTP_CALLER_H
#define AZUREROCK_NET_HTTP_CALLER_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/** Connection of a caller to the HTTP server. */
struct az_http_caller;

/**
 * struct az_http_caller_owner - callbacks of the server
 * @disconnected: the caller disconnected while request @handle had no response yet
 * @freed: @caller is about to be freed; no callback follows
 */
struct az_http_caller_owner
{
  void (*disconnected) (void *context, uint32_t handle);
  void (*freed) (void *context, struct az_http_caller *caller);
  void *context;
};

/** az_http_caller_accept - accepts a connection from @listener; returns NULL if that fails */
struct az_http_caller *
az_http_caller_accept (uv_stream_t *listener,
                       h2o_accept_ctx_t *accept,
                       const struct az_http_caller_owner *owner);

/** az_http_caller_from_request - connection on which @request arrived */
struct az_http_caller *
az_http_caller_from_request (h2o_req_t *request);

/** az_http_caller_set_request - sets the handle of the request in progress, or 0 */
void
az_http_caller_set_request (struct az_http_caller *caller, uint32_t handle);

/** az_http_caller_is_disconnected - whether the caller has disconnected, also if no request was in
 * progress then */
bool
az_http_caller_is_disconnected (const struct az_http_caller *caller);

/** az_http_caller_close_if_idle - closes the connection unless it has a request in progress */
void
az_http_caller_close_if_idle (struct az_http_caller *caller);

/** az_http_caller_close_now - closes the connection even if a request is in progress */
void
az_http_caller_close_now (struct az_http_caller *caller);

#endif
