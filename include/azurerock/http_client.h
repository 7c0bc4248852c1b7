#ifndef AZUREROCK_HTTP_CLIENT_H
#define AZUREROCK_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** HTTP/1.1 client on a libuv loop, with keep-alive connections to one server. */
struct az_http_client;

struct az_http_header
{
  const char *name; /* lower case */
  const char *value;
};

enum az_http_result
{
  AZ_HTTP_ANSWERED, /* status and body are valid */
  AZ_HTTP_NOT_SENT, /* no byte was written, so the server has not received the request */
  AZ_HTTP_LOST,     /* the connection failed or the request timed out after a byte was written */
};

struct az_http_response
{
  enum az_http_result result;
  bool is_refused; /* not sent because nothing listens at the server's address */
  int status;
  const char *body;
  size_t body_length;
  const char *error; /* reason for the log, unless answered */
  const char *index; /* value of the x-consul-index header, or NULL */
};

/** az_http_client_create - creates a client of the server at "ip:port"; host names are not resolved
 * @connections: maximum number of connections */
struct az_http_client *
az_http_client_create (uv_loop_t *loop, const char *address, unsigned connections);
void
az_http_client_destroy (struct az_http_client *client);

/** az_http_client_limit_wait - requests that have waited for a connection for @limit_ms end with
 * AZ_HTTP_NOT_SENT; for requests whose reasons may be outdated later */
void
az_http_client_limit_wait (struct az_http_client *client, int64_t limit_ms);

/**
 * az_http_client_request - sends one request, once a connection is free
 * @path: path and query
 * @headers: @n_headers headers; copied
 * @body: copied
 * @timeout_ms: time until the complete response must have arrived, including the wait for a
 * connection
 * @done: called exactly once, never from within this call
 *
 * Return: handle for az_http_client_cancel().
 */
uint32_t
az_http_client_request (struct az_http_client *client,
                        const char *method,
                        const char *path,
                        const struct az_http_header *headers,
                        size_t n_headers,
                        const void *body,
                        size_t body_length,
                        int64_t timeout_ms,
                        void (*done) (void *context, const struct az_http_response *response),
                        void *context);

/** az_http_client_cancel - ends a request with AZ_HTTP_LOST or, if no byte was written, with
 * AZ_HTTP_NOT_SENT; @done is called later */
void
az_http_client_cancel (struct az_http_client *client, uint32_t request);

/**
 * az_http_client_drop_idle - closes the connections that carry no request
 *
 * Call it when a request got no response: the path of all connections may have failed without a
 * reset, and the next requests would time out on the others one after the other.
 */
void
az_http_client_drop_idle (struct az_http_client *client);

#endif
