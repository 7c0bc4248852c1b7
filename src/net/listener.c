#include "net/listener.h"
#include <glib.h>

#define BACKLOG 1024

struct az_listener
{
  uv_tcp_t tcp;
  uv_loop_t *loop;
  struct sockaddr_storage address; /* port 0 until the first success */
  struct az_listener_owner owner;
  bool is_listening;
  bool is_resetting; /* @tcp is closed to be opened again */
  bool has_waiting;  /* @tcp has a connection that wasn't accepted for lack of room */
  bool is_closing;
};

static void
on_closed (uv_handle_t *handle)
{
  struct az_listener *listener = handle->data;

  listener->owner.closed (listener->owner.context);
  g_free (listener);
}

static void
init_socket (struct az_listener *listener)
{
  uv_tcp_init (listener->loop, &listener->tcp);
  listener->tcp.data = listener;
}

static void
on_reset (uv_handle_t *handle)
{
  struct az_listener *listener = handle->data;

  listener->is_resetting = false;
  if (listener->is_closing)
    on_closed (handle);
  else
    init_socket (listener);
}

static void
reset (struct az_listener *listener)
{
  listener->is_listening = false;
  listener->has_waiting = false;
  listener->is_resetting = true;
  uv_close ((uv_handle_t *)&listener->tcp, on_reset);
}

/* Other errors concern one connection that has already gone. */
static bool
is_out_of_resources (int status)
{
  return status == UV_EMFILE || status == UV_ENFILE || status == UV_ENOBUFS || status == UV_ENOMEM;
}

static void
on_connection (uv_stream_t *stream, int status)
{
  struct az_listener *listener = stream->data;

  if (status == 0)
    {
      listener->has_waiting = !listener->owner.accept (listener->owner.context, stream);
      return;
    }
  if (!is_out_of_resources (status))
    return;
  listener->owner.failed (listener->owner.context);
  reset (listener);
}

struct az_listener *
az_listener_create (uv_loop_t *loop, const struct az_listener_owner *owner)
{
  struct az_listener *listener = g_new0 (struct az_listener, 1);

  listener->loop = loop;
  listener->owner = *owner;
  init_socket (listener);
  return listener;
}

static int
listen_on (struct az_listener *listener, struct sockaddr_storage *address)
{
  int length = sizeof *address;
  int status = uv_tcp_bind (&listener->tcp, (struct sockaddr *)address, 0);

  if (status == 0)
    status = uv_listen ((uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
  if (status == 0)
    status = uv_tcp_getsockname (&listener->tcp, (struct sockaddr *)address, &length);
  return status;
}

int
az_listener_open (struct az_listener *listener, struct sockaddr_storage *address)
{
  int status = listen_on (listener, address);

  listener->is_listening = status == 0;
  listener->address = *address;
  return status;
}

void
az_listener_resume (struct az_listener *listener)
{
  if (listener->is_resetting || listener->is_closing)
    return;
  if (listener->has_waiting)
    listener->has_waiting
        = !listener->owner.accept (listener->owner.context, (uv_stream_t *)&listener->tcp);
  else if (!listener->is_listening && az_listener_open (listener, &listener->address) < 0)
    reset (listener);
}

void
az_listener_close (struct az_listener *listener)
{
  if (listener->is_closing)
    return;
  listener->is_closing = true;
  if (!listener->is_resetting)
    uv_close ((uv_handle_t *)&listener->tcp, on_closed);
}
