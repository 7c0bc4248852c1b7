#ifndef AZUREROCK_NET_HTTP_CONNECTION_H
#define AZUREROCK_NET_HTTP_CONNECTION_H

#include "net/http_exchange.h"
#include "net/http_response.h"
#include <uv.h>

/** Connection of the HTTP client; carries one request at a time. */
struct az_http_connection;

/**
 * struct az_http_connection_owner - what the client is told, never from within a call
 * @idle: the connection is open and can take a request; @just_connected: it was being connected
 * @answered: the response to @exchange is in @reader; followed by @idle or @closed
 * @closed: the connection is gone; @exchange, which may be NULL, was on it and may have reached
 *          the server if it was written
 */
struct az_http_connection_owner
{
  uv_loop_t *loop;
  const struct sockaddr *target;
  void (*idle) (void *context, struct az_http_connection *connection, bool just_connected);
  void (*answered) (void *context,
                    struct az_http_exchange *exchange,
                    const struct az_http_reader *reader);
  void (*closed) (void *context,
                  struct az_http_connection *connection,
                  struct az_http_exchange *exchange,
                  const char *reason);
  void (*freed) (void *context);
  void *context;
};

/** az_http_connection_create - connects; ends in @idle or @closed */
struct az_http_connection *
az_http_connection_create (const struct az_http_connection_owner *owner);

/**
 * az_http_connection_send - writes a request on an idle connection
 *
 * Return: false if the system took no byte of it; the connection is then of no use and must be
 * dropped.
 */
bool
az_http_connection_send (struct az_http_connection *connection, struct az_http_exchange *exchange);

/** az_http_connection_drop - closes it without a call of @closed; @freed follows */
void
az_http_connection_drop (struct az_http_connection *connection);

/** az_http_connection_is_open - whether it has been connected */
bool
az_http_connection_is_open (const struct az_http_connection *connection);

#endif
