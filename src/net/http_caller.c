#include "net/http_caller.h"
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * libh2o doesn't read from a connection while a request is in progress, so it detects a disconnect
 * only when it sends the response. A duplicate of the socket's descriptor is polled to detect it
 * earlier.
 */
struct az_http_caller
{
  uv_tcp_t tcp;
  uv_poll_t watch;
  int watched_fd;
  struct az_http_caller_owner owner;
  uint32_t request_handle;
  bool is_disconnected;
  unsigned n_open_handles;
};

static void
on_handle_closed (uv_handle_t *handle)
{
  struct az_http_caller *caller;

  caller = handle->type == UV_POLL ? handle->data : (struct az_http_caller *)(void *)handle;
  if (--caller->n_open_handles > 0)
    return;
  caller->owner.freed (caller->owner.context, caller);
  g_free (caller);
}

/* Runs when libh2o closes the connection. libh2o closes the TCP handle itself afterwards. */
static void
on_socket_closed (void *data)
{
  struct az_http_caller *caller = data;

  if (caller->watched_fd < 0)
    return;
  uv_close ((uv_handle_t *)&caller->watch, on_handle_closed);
  close (caller->watched_fd);
  caller->watched_fd = -1;
}

static void
on_disconnect (uv_poll_t *watch, int status, int events)
{
  struct az_http_caller *caller = watch->data;
  uint32_t request_handle = caller->request_handle;

  (void)status;
  (void)events;
  uv_poll_stop (watch);
  caller->is_disconnected = true;
  caller->request_handle = 0;
  if (request_handle)
    caller->owner.disconnected (caller->owner.context, request_handle);
}

/* If this fails, a disconnect is detected only when libh2o sends the response. */
static void
start_disconnect_watch (struct az_http_caller *caller)
{
  uv_os_fd_t fd;

  caller->watched_fd = -1;
  if (uv_fileno ((uv_handle_t *)&caller->tcp, &fd) < 0)
    return;
  caller->watched_fd = dup (fd);
  if (caller->watched_fd < 0)
    return;
  if (uv_poll_init (caller->tcp.loop, &caller->watch, caller->watched_fd) < 0)
    {
      close (caller->watched_fd);
      caller->watched_fd = -1;
      return;
    }
  caller->watch.data = caller;
  caller->n_open_handles++;
  uv_poll_start (&caller->watch, UV_DISCONNECT, on_disconnect);
}

struct az_http_caller *
az_http_caller_accept (uv_stream_t *listener,
                       h2o_accept_ctx_t *accept,
                       const struct az_http_caller_owner *owner)
{
  struct az_http_caller *caller = g_new0 (struct az_http_caller, 1);
  h2o_socket_t *socket;

  caller->owner = *owner;
  caller->n_open_handles = 1;
  caller->watched_fd = -1;
  uv_tcp_init (listener->loop, &caller->tcp);
  if (uv_accept (listener, (uv_stream_t *)&caller->tcp) < 0)
    {
      uv_close ((uv_handle_t *)&caller->tcp, on_handle_closed);
      return NULL;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  start_disconnect_watch (caller);
  socket = h2o_uv_socket_create ((uv_stream_t *)&caller->tcp, on_handle_closed);
  socket->on_close.cb = on_socket_closed;
  socket->on_close.data = caller;
  h2o_accept (accept, socket);
  return caller;
}

struct az_http_caller *
az_http_caller_from_request (h2o_req_t *request)
{
  return request->conn->callbacks->get_socket (request->conn)->on_close.data;
}

void
az_http_caller_set_request (struct az_http_caller *caller, uint32_t handle)
{
  caller->request_handle = handle;
}

bool
az_http_caller_is_disconnected (const struct az_http_caller *caller)
{
  return caller->is_disconnected;
}

static void
shut_down_socket (struct az_http_caller *caller, int how)
{
  if (caller->watched_fd < 0)
    return;
  uv_poll_stop (&caller->watch);
  shutdown (caller->watched_fd, how);
}

void
az_http_caller_close_if_idle (struct az_http_caller *caller)
{
  /* libh2o first serves the requests that have arrived, then reads end-of-file and closes. */
  if (!caller->request_handle)
    shut_down_socket (caller, SHUT_RD);
}

void
az_http_caller_close_now (struct az_http_caller *caller)
{
  shut_down_socket (caller, SHUT_RDWR);
}
