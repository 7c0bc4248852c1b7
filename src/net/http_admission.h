#ifndef AZUREROCK_NET_HTTP_ADMISSION_H
#define AZUREROCK_NET_HTTP_ADMISSION_H

#include "net/http_pool.h"
#include <stdbool.h>
#include <sys/socket.h>
#include <uv.h>

/** Listener of a server with the limits of its connections: accepts while there is room, makes
 * room, and closes connections that take too long. */
struct az_http_admission;

/**
 * struct az_http_admission_owner - callbacks of the server
 * @accept: accepts a connection; returns false if the system gave no descriptor for it
 * @stopped: the listener is closed
 * @freed: the object is about to be freed; no callback follows
 */
struct az_http_admission_owner
{
  bool (*accept) (void *context, uv_stream_t *stream);
  void (*stopped) (void *context);
  void (*freed) (void *context);
  void *context;
};

/** az_http_admission_create - creates an object that doesn't listen yet
 * @is_status: the listener serves readiness or metrics
 */
struct az_http_admission *
az_http_admission_create (uv_loop_t *loop,
                          bool is_status,
                          const struct az_http_admission_owner *owner);

/** az_http_admission_open - listens; see az_listener_open() */
int
az_http_admission_open (struct az_http_admission *admission, struct sockaddr_storage *address);

/** az_http_admission_stop - closes the listener */
void
az_http_admission_stop (struct az_http_admission *admission);

/** az_http_admission_destroy - call after @stopped, when no connection is left */
void
az_http_admission_destroy (struct az_http_admission *admission);

/** az_http_admission_pool - connections of the listener */
struct az_http_pool *
az_http_admission_pool (struct az_http_admission *admission);

/** az_http_admission_descriptors_max - the first descriptor that no connection may have, so that
 * some are left */
int64_t
az_http_admission_descriptors_max (const struct az_http_admission *admission);

/** az_http_admission_resuming - callers from which libh2o may read again; they are watched before
 * the loop polls */
GQueue *
az_http_admission_resuming (struct az_http_admission *admission);

#endif
