#ifndef AZUREROCK_NET_HTTP_CALLER_H
#define AZUREROCK_NET_HTTP_CALLER_H

#include "net/http_admission.h"
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

/** Connection of a caller to the HTTP server. */
struct az_http_caller;

/**
 * struct az_http_caller_owner - callbacks of the server
 * @disconnected: the caller disconnected while request @handle had no response yet
 * @freed: @caller is about to be freed; no callback follows
 * @admission: limits of the listener
 */
struct az_http_caller_owner
{
  void (*disconnected) (void *context, uint32_t handle);
  void (*freed) (void *context, struct az_http_caller *caller);
  void *context;
  struct az_http_admission *admission;
};

/** az_http_caller_accept - accepts a connection from @listener
 *
 * Return: NULL if that fails, in which case the connection is closed.
 */
struct az_http_caller *
az_http_caller_accept (uv_stream_t *listener,
                       h2o_accept_ctx_t *accept,
                       const struct az_http_caller_owner *owner);

/** az_http_caller_from_request - connection on which @request arrived */
struct az_http_caller *
az_http_caller_from_request (h2o_req_t *request);

struct az_http_caller *
az_http_caller_from_holder (struct az_http_holder *holder);

/** az_http_caller_begin_request - a complete request with this handle is in progress */
void
az_http_caller_begin_request (struct az_http_caller *caller, uint32_t handle);

/** az_http_caller_answered - the response has been passed to libh2o, or the caller has gone */
void
az_http_caller_answered (struct az_http_caller *caller);

/** az_http_caller_end_request - libh2o has freed the request */
void
az_http_caller_end_request (struct az_http_caller *caller);

/** az_http_caller_is_disconnected - whether the caller has disconnected, also if no request was in
 * progress then */
bool
az_http_caller_is_disconnected (const struct az_http_caller *caller);

/** az_http_caller_close_if_idle - closes the connection unless it has a request in progress */
void
az_http_caller_close_if_idle (struct az_http_caller *caller);

/** az_http_caller_cut - closes the connection because of a limit; not while a request is in
 * progress */
void
az_http_caller_cut (struct az_http_caller *caller, enum az_http_cause cause);

/** az_http_caller_is_cut - whether requests that still arrive must not run */
bool
az_http_caller_is_cut (const struct az_http_caller *caller);

/** az_http_callers_resume - watches what libh2o reads from the callers in @resuming; call it before
 * the loop polls */
void
az_http_callers_resume (GQueue *resuming);

/** az_http_caller_close_now - closes the connection even if a request is in progress */
void
az_http_caller_close_now (struct az_http_caller *caller);

#endif
