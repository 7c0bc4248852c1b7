#ifndef AZUREROCK_NET_HTTP_RESPONSE_H
#define AZUREROCK_NET_HTTP_RESPONSE_H

#include "net/picohttpparser.h"
#include <glib.h>
#include <stdbool.h>

/** Longer response bodies are rejected as malformed. */
#define AZ_HTTP_RESPONSE_BODY_MAX_BYTES (64u * 1024 * 1024)

enum az_http_progress
{
  AZ_HTTP_INCOMPLETE,
  AZ_HTTP_COMPLETE,
  AZ_HTTP_MALFORMED,
};

/** struct az_http_reader - incremental parser of one response; az_http_reader_reset() clears it */
struct az_http_reader
{
  GByteArray *data;
  size_t head_length;    /* 0 until the head is complete */
  size_t scanned_length; /* bytes of an incomplete head that were parsed before */
  int status;
  bool no_body;    /* response to HEAD, or status 204 or 304 */
  bool keep_alive; /* the connection can be reused */
  bool chunked;
  bool until_close; /* the body ends when the connection closes */
  size_t body_length;
  struct phr_chunked_decoder decoder;
  char index[32]; /* value of x-consul-index, or "" */
};

void
az_http_reader_reset (struct az_http_reader *reader, bool no_body);

/** az_http_reader_append - parses bytes received from the server */
enum az_http_progress
az_http_reader_append (struct az_http_reader *reader, const char *data, size_t length);

/** az_http_reader_end - handles end-of-file from the server */
enum az_http_progress
az_http_reader_end (struct az_http_reader *reader);

#endif
