#include "net/http_caller.h"
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A head that is longer than this is refused before it ends. Published is a limit of 16,384. */
#define HEAD_BYTES_MAX 65536

/* An input buffer up to this size isn't replaced by a smaller one. */
#define INPUT_SPARE_MAX 65536

/*
 * libh2o doesn't read from a connection while a request is in progress, so it detects a disconnect
 * only when it sends the response. A duplicate of the socket's descriptor is polled to detect it
 * earlier.
 *
 * libh2o keeps unfinished requests in the input buffer of the socket. Many connections can deliver
 * data in one iteration of the loop, so the buffer is checked after each read: @read is libh2o's
 * callback, which on_read() replaces. libh2o sets it again whenever it starts to read, which
 * happens on accept, after each request and after "100 Continue".
 */
struct az_http_caller
{
  uv_tcp_t tcp;
  uv_poll_t watch;
  int watched_fd;
  struct az_http_caller_owner owner;
  h2o_socket_t *socket; /* NULL after libh2o has closed it */
  h2o_socket_cb read;
  struct az_http_holder holder;
  GList resume_link; /* in the admission's queue if its data is set */
  size_t searched;   /* bytes of the head in which its end was searched for */
  bool has_head;     /* the head of the unfinished request is complete */
  bool has_request;  /* libh2o has a request whose handle was or is in the server's table */
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

static void
start_resuming (struct az_http_caller *caller)
{
  if (caller->resume_link.data)
    return;
  caller->resume_link.data = caller;
  g_queue_push_tail_link (az_http_admission_resuming (caller->owner.admission),
                          &caller->resume_link);
}

static void
stop_resuming (struct az_http_caller *caller)
{
  if (!caller->resume_link.data)
    return;
  caller->resume_link.data = NULL;
  g_queue_unlink (az_http_admission_resuming (caller->owner.admission), &caller->resume_link);
}

/* Runs when libh2o closes the connection. libh2o closes the TCP handle itself afterwards. */
static void
on_socket_closed (void *data)
{
  struct az_http_caller *caller = data;

  caller->socket = NULL;
  stop_resuming (caller);
  az_http_pool_remove (&caller->holder);
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

static bool
start_disconnect_watch (struct az_http_caller *caller)
{
  uv_os_fd_t fd;

  if (uv_fileno ((uv_handle_t *)&caller->tcp, &fd) < 0)
    return false;
  caller->watched_fd = dup (fd);
  if (caller->watched_fd < 0)
    return false;
  /* The duplicate has the lowest free number. */
  if (caller->watched_fd >= az_http_admission_descriptors_max (caller->owner.admission)
      || uv_poll_init (caller->tcp.loop, &caller->watch, caller->watched_fd) < 0)
    {
      close (caller->watched_fd);
      return false;
    }
  caller->watch.data = caller;
  caller->n_open_handles++;
  uv_poll_start (&caller->watch, UV_DISCONNECT, on_disconnect);
  return true;
}

static int64_t
now_ms (const struct az_http_caller *caller)
{
  return (int64_t)uv_now (caller->tcp.loop);
}

static size_t
held_bytes (const struct az_http_caller *caller)
{
  return caller->socket->input->size
         + uv_stream_get_write_queue_size ((const uv_stream_t *)&caller->tcp);
}

static void
set_phase (struct az_http_caller *caller, enum az_http_phase phase)
{
  if (caller->holder.phase == AZ_HTTP_CUT)
    phase = AZ_HTTP_CUT;
  az_http_pool_update (&caller->holder, phase, held_bytes (caller), now_ms (caller));
}

/* Searches for an empty line. libh2o also accepts lines that end without a carriage return, and
 * ignores one empty line before the request. */
static bool
find_head_end (struct az_http_caller *caller)
{
  const h2o_buffer_t *input = caller->socket->input;
  size_t i = MAX (caller->searched, 4);

  for (; i < input->size; i++)
    if (input->bytes[i] == '\n'
        && (input->bytes[i - 1] == '\n'
            || (input->bytes[i - 1] == '\r' && input->bytes[i - 2] == '\n')))
      return true;
  caller->searched = input->size;
  return false;
}

/* libh2o frees the input buffer of a request only when all bytes in it are consumed. If the next
 * request has begun, its first bytes would keep a buffer as large as the former request. */
static void
shrink_input (struct az_http_caller *caller)
{
  h2o_buffer_t *input = caller->socket->input;
  h2o_buffer_t *smaller;

  if (caller->has_head || input->capacity <= INPUT_SPARE_MAX || input->size > input->capacity / 8)
    return;
  h2o_buffer_init (&smaller, &h2o_socket_buffer_prototype);
  memcpy (h2o_buffer_reserve (&smaller, input->size).base, input->bytes, input->size);
  smaller->size = input->size;
  h2o_buffer_dispose (&caller->socket->input);
  caller->socket->input = smaller;
}

static enum az_http_phase
phase_of_unfinished (struct az_http_caller *caller)
{
  if (caller->socket->input->size == 0)
    {
      caller->has_head = false;
      caller->searched = 0;
      return caller->holder.phase == AZ_HTTP_NEW ? AZ_HTTP_NEW : AZ_HTTP_IDLE;
    }
  if (!caller->has_head)
    caller->has_head = find_head_end (caller);
  shrink_input (caller);
  return caller->has_head ? AZ_HTTP_BODY : AZ_HTTP_HEAD;
}

static void
limit_bytes (struct az_http_caller *caller)
{
  const struct az_http_ledger *ledger = az_http_ledger_process ();
  size_t bytes_max = az_http_limits_get ()->request_buffer_bytes;
  struct az_http_holder *holder;

  if (caller->holder.phase == AZ_HTTP_HEAD && caller->socket->input->size > HEAD_BYTES_MAX)
    az_http_caller_cut (caller, AZ_HTTP_CAUSE_HEAD_LENGTH);
  while ((holder = az_http_ledger_choose (ledger, bytes_max, now_ms (caller))))
    az_http_caller_cut (az_http_caller_from_holder (holder), AZ_HTTP_CAUSE_MEMORY);
}

static void
on_read (h2o_socket_t *socket, const char *error);

static void
watch_reads (struct az_http_caller *caller)
{
  if (caller->socket->_cb.read == on_read)
    return;
  caller->read = caller->socket->_cb.read;
  caller->socket->_cb.read = on_read;
}

/* Notes what the caller does now, unless it has a request, whose phases the server sets. */
static void
observe (struct az_http_caller *caller)
{
  h2o_socket_t *socket = caller->socket;

  if (!socket || caller->has_request)
    return;
  if (!h2o_socket_is_reading (socket))
    {
      /* libh2o sends an error or "100 Continue". */
      set_phase (caller, AZ_HTTP_ANSWER);
      start_resuming (caller);
      return;
    }
  watch_reads (caller);
  set_phase (caller, phase_of_unfinished (caller));
  limit_bytes (caller);
}

static void
on_read (h2o_socket_t *socket, const char *error)
{
  struct az_http_caller *caller = socket->on_close.data;

  caller->read (socket, error);
  observe (caller);
}

void
az_http_callers_resume (GQueue *resuming)
{
  GList *link;

  /* A caller from which libh2o doesn't read yet joins the end of the queue again. */
  for (guint n = g_queue_get_length (resuming); n > 0; n--)
    {
      struct az_http_caller *caller;

      link = g_queue_peek_head_link (resuming);
      if (!link)
        return;
      caller = link->data;
      stop_resuming (caller);
      observe (caller);
    }
}

static struct az_http_caller *
refuse (struct az_http_caller *caller)
{
  az_http_limits_count (AZ_HTTP_CAUSE_DESCRIPTORS);
  uv_close ((uv_handle_t *)&caller->tcp, on_handle_closed);
  return NULL;
}

struct az_http_caller *
az_http_caller_accept (uv_stream_t *listener,
                       h2o_accept_ctx_t *accept,
                       const struct az_http_caller_owner *owner)
{
  struct az_http_caller *caller = g_new0 (struct az_http_caller, 1);

  caller->owner = *owner;
  caller->n_open_handles = 1;
  uv_tcp_init (listener->loop, &caller->tcp);
  if (uv_accept (listener, (uv_stream_t *)&caller->tcp) < 0 || !start_disconnect_watch (caller))
    return refuse (caller);
  uv_tcp_nodelay (&caller->tcp, 1);
  caller->socket = h2o_uv_socket_create ((uv_stream_t *)&caller->tcp, on_handle_closed);
  caller->socket->on_close.cb = on_socket_closed;
  caller->socket->on_close.data = caller;
  az_http_pool_add (az_http_admission_pool (owner->admission), &caller->holder, now_ms (caller));
  h2o_accept (accept, caller->socket);
  observe (caller);
  return caller;
}

struct az_http_caller *
az_http_caller_from_request (h2o_req_t *request)
{
  return request->conn->callbacks->get_socket (request->conn)->on_close.data;
}

struct az_http_caller *
az_http_caller_from_holder (struct az_http_holder *holder)
{
  return (struct az_http_caller *)(void *)((char *)holder
                                           - offsetof (struct az_http_caller, holder));
}

void
az_http_caller_begin_request (struct az_http_caller *caller, uint32_t handle)
{
  caller->request_handle = handle;
  caller->has_request = true;
  set_phase (caller, AZ_HTTP_RUNNING);
}

void
az_http_caller_answered (struct az_http_caller *caller)
{
  caller->request_handle = 0;
  if (!caller->socket || !caller->has_request)
    return;
  /* Otherwise libh2o only waits for the next iteration of the loop to end the request. */
  if (uv_stream_get_write_queue_size ((const uv_stream_t *)&caller->tcp) == 0)
    return;
  set_phase (caller, AZ_HTTP_ANSWER);
  limit_bytes (caller);
}

void
az_http_caller_end_request (struct az_http_caller *caller)
{
  caller->request_handle = 0;
  caller->has_request = false;
  caller->has_head = false;
  caller->searched = 0;
  if (!caller->socket)
    return;
  set_phase (caller, AZ_HTTP_IDLE);
  start_resuming (caller);
}

bool
az_http_caller_is_disconnected (const struct az_http_caller *caller)
{
  return caller->is_disconnected;
}

static void
shut_down_socket (struct az_http_caller *caller, int how)
{
  if (!caller->socket)
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

void
az_http_caller_cut (struct az_http_caller *caller, enum az_http_cause cause)
{
  h2o_socket_t *socket = caller->socket;

  az_http_limits_count (cause);
  set_phase (caller, AZ_HTTP_CUT);
  /* Frees the buffer at once; libh2o handles this like a connection that its caller has closed.
     While libh2o writes, only the failure of the write makes it close the connection. */
  if (!h2o_socket_is_reading (socket))
    {
      shut_down_socket (caller, SHUT_RDWR);
      return;
    }
  watch_reads (caller);
  caller->read (socket, h2o_socket_error_closed);
}

bool
az_http_caller_is_cut (const struct az_http_caller *caller)
{
  return caller->holder.phase == AZ_HTTP_CUT;
}
