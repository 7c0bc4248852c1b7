#ifndef AZUREROCK_NET_LISTENER_H
#define AZUREROCK_NET_LISTENER_H

#include <stdbool.h>
#include <sys/socket.h>
#include <uv.h>

/** Listening socket that can pause. While it is paused, connections wait in the system's backlog.
 */
struct az_listener;

/**
 * struct az_listener_owner - callbacks of the owner
 * @accept: accepts a connection from @stream, or returns false if there is no room; the listener
 *   then pauses, and @stream keeps the connection
 * @failed: the system gave no descriptor or memory for a connection; the listener closes its
 *   socket, because libuv tries again at once and without end
 * @closed: the listener is closed and is about to be freed
 */
struct az_listener_owner
{
  bool (*accept) (void *context, uv_stream_t *stream);
  void (*failed) (void *context);
  void (*closed) (void *context);
  void *context;
};

struct az_listener *
az_listener_create (uv_loop_t *loop, const struct az_listener_owner *owner);

/**
 * az_listener_open - binds and listens
 * @address: with port 0, receives the port
 *
 * Return: a libuv status.
 */
int
az_listener_open (struct az_listener *listener, struct sockaddr_storage *address);

/** az_listener_resume - tries to accept the connection that waits, or to listen again */
void
az_listener_resume (struct az_listener *listener);

/** az_listener_close - stops listening and frees the listener after @closed */
void
az_listener_close (struct az_listener *listener);

#endif
