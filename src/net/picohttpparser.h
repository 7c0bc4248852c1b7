#ifndef AZUREROCK_NET_PICOHTTPPARSER_H
#define AZUREROCK_NET_PICOHTTPPARSER_H

#include <sys/types.h>

/*
 * The parser of HTTP/1 that libh2o contains and exports; its package has no header for it.
 */
struct phr_header
{
  const char *name;
  size_t name_len;
  const char *value;
  size_t value_len;
};

struct phr_chunked_decoder
{
  size_t bytes_left_in_chunk;
  char consume_trailer;
  char hex_count;
  char state;
};

/* Length of the response head; -1: malformed, -2: incomplete. */
int
phr_parse_response (const char *data,
                    size_t length,
                    int *minor_version,
                    int *status,
                    const char **message,
                    size_t *message_length,
                    struct phr_header *headers,
                    size_t *n_headers,
                    size_t last_length);

/* Decodes in place; bytes after the last chunk, or -1: malformed, -2: incomplete. */
ssize_t
phr_decode_chunked (struct phr_chunked_decoder *decoder, char *data, size_t *length);

#endif
