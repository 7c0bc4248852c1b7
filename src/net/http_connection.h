#ifndef AZUREROCK_NET_HTTP_CONNECTION_H
#define AZUREROCK_NET_HTTP_CONNECTION_H

#include "net/http_exchange.h"
#include "net/http_response.h"
#include <uv.h>

/** Connection of the HTTP client. It carries one request at a time. */
struct az_http_connection;

/**
 * struct az_http_connection_owner - callbacks of the client; none is called from within a function
 * of this header
 * @idle: the connection is open and can send a request; @just_connected is true the first time
 * @answered: @reader holds the response to @exchange; @idle or @closed follows
 * @closed: the connection closed; @exchange is the request that it carried, which the server may
 *          have received, or NULL
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

/** az_http_connection_create - starts to connect; @idle or @closed follows */
struct az_http_connection *
az_http_connection_create (const struct az_http_connection_owner *owner);

/**
 * az_http_connection_send - writes a request on an idle connection
 *
 * Return: false if no byte was written; the caller must then drop the connection.
 */
bool
az_http_connection_send (struct az_http_connection *connection, struct az_http_exchange *exchange);

/** az_http_connection_drop - closes the connection without calling @closed; @freed follows */
void
az_http_connection_drop (struct az_http_connection *connection);

/** az_http_connection_is_open - whether the connection was established, even if it closed since */
bool
az_http_connection_is_open (const struct az_http_connection *connection);

/** az_http_connection_is_refused - whether nothing listened at the target */
bool
az_http_connection_is_refused (const struct az_http_connection *connection);

#endif
