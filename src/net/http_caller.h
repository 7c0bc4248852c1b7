#ifndef AZUREROCK_NET_HTTP_CALLER_H
#define AZUREROCK_NET_HTTP_CALLER_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/** Connection of a caller to the HTTP server. */
struct az_http_caller;

/**
 * struct az_http_caller_owner - what the server is told
 * @disconnected: the caller closed while @handle was not answered
 * @freed: the last use of this structure
 */
struct az_http_caller_owner
{
  void (*disconnected) (void *context, uint32_t handle);
  void (*freed) (void *context, struct az_http_caller *caller);
  void *context;
};

/** az_http_caller_accept - takes a connection from @listener, or returns NULL */
struct az_http_caller *
az_http_caller_accept (uv_stream_t *listener,
                       h2o_accept_ctx_t *accept,
                       const struct az_http_caller_owner *owner);

/** az_http_caller_from_request - the connection that @request came on */
struct az_http_caller *
az_http_caller_from_request (h2o_req_t *request);

/** az_http_caller_set_request - request in progress, 0 for none */
void
az_http_caller_set_request (struct az_http_caller *caller, uint32_t handle);

/** az_http_caller_close_when_idle - closes the connection once it has no request in progress */
void
az_http_caller_close_when_idle (struct az_http_caller *caller);

/** az_http_caller_close_now - closes the connection without waiting */
void
az_http_caller_close_now (struct az_http_caller *caller);

#endif
