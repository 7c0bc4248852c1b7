#ifndef AZUREROCK_NET_PICOHTTPPARSER_H
#define AZUREROCK_NET_PICOHTTPPARSER_H

#include <sys/types.h>

/*
 * Declarations of picohttpparser, an HTTP/1 parser that libh2o contains and exports, but whose
 * header its package doesn't install.
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

/* Returns the length of the response head, -1 if it is malformed or -2 if it is incomplete.
 * @last_length is the length of @data in the previous call, or 0. */
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

/* Decodes @data in place and sets @length to the decoded length. Returns the number of bytes after
 * the last chunk, -1 if the data is malformed or -2 if it is incomplete. */
ssize_t
phr_decode_chunked (struct phr_chunked_decoder *decoder, char *data, size_t *length);

#endif
