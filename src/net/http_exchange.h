#ifndef AZUREROCK_NET_HTTP_EXCHANGE_H
#define AZUREROCK_NET_HTTP_EXCHANGE_H

#include "azurerock/http_client.h"
#include <glib.h>

struct az_http_connection;

/**
 * struct az_http_exchange - one request and its result
 * @send_by_ms: the request is not sent after this time; UINT64_MAX if that is not limited
 * @connection: connection that carries the request; NULL while no byte of it was written
 * @is_ended: @result and @error are set, but @done has not been called yet
 */
struct az_http_exchange
{
  uint32_t handle;
  GByteArray *request;
  bool is_head;
  uint64_t deadline_ms;
  uint64_t send_by_ms;
  struct az_http_connection *connection;
  bool is_ended;
  enum az_http_result result;
  const char *error; /* string constant */
  void (*done) (void *context, const struct az_http_response *response);
  void *context;
};

/** az_http_exchange_create - formats a request to @host */
struct az_http_exchange *
az_http_exchange_create (const char *host,
                         const char *method,
                         const char *path,
                         const struct az_http_header *headers,
                         size_t n_headers,
                         const void *body,
                         size_t body_length);
void
az_http_exchange_destroy (struct az_http_exchange *exchange);

#endif
