#include "net/http_response.h"
#include <string.h>

#define HEADERS_MAX 64
#define HEAD_BYTES_MAX 65536

/* A buffer with more data than this is freed before the next request instead of being reused. */
#define IDLE_BUFFER_MAX_BYTES 65536

struct head
{
  struct phr_header headers[HEADERS_MAX];
  size_t n_headers;
  int minor_version;
};

void
az_http_reader_reset (struct az_http_reader *reader, bool no_body)
{
  GByteArray *data = reader->data;

  if (data && data->len > IDLE_BUFFER_MAX_BYTES)
    g_clear_pointer (&data, g_byte_array_unref);
  if (!data)
    data = g_byte_array_new ();
  g_byte_array_set_size (data, 0);
  memset (reader, 0, sizeof *reader);
  reader->data = data;
  reader->no_body = no_body;
}

static bool
is_header (const struct phr_header *header, const char *name)
{
  return header->name && header->name_len == strlen (name)
         && !g_ascii_strncasecmp (header->name, name, header->name_len);
}

static bool
has_value (const struct phr_header *header, const char *value)
{
  return header->value_len == strlen (value)
         && !g_ascii_strncasecmp (header->value, value, header->value_len);
}

static bool
parse_content_length (const struct phr_header *header, size_t *length)
{
  char text[24];
  guint64 number;

  if (header->value_len >= sizeof text)
    return false;
  memcpy (text, header->value, header->value_len);
  text[header->value_len] = '\0';
  if (!g_ascii_string_to_unsigned (text, 10, 0, AZ_HTTP_RESPONSE_BODY_MAX_BYTES, &number, NULL))
    return false;
  *length = (size_t)number;
  return true;
}

/* Rejects a second content-length, and content-length together with transfer-encoding: recipients
 * could disagree on where such a response ends. */
static bool
apply_headers (struct az_http_reader *reader, const struct head *head)
{
  bool has_length = false;

  reader->keep_alive = head->minor_version >= 1;
  for (size_t i = 0; i < head->n_headers; i++)
    {
      const struct phr_header *header = &head->headers[i];

      if (is_header (header, "connection"))
        reader->keep_alive = !has_value (header, "close") && head->minor_version >= 1;
      else if (is_header (header, "transfer-encoding"))
        reader->chunked = true;
      else if (is_header (header, "x-consul-index"))
        g_snprintf (reader->index, sizeof reader->index, "%.*s", (int)header->value_len,
                    header->value);
      else if (is_header (header, "content-length"))
        {
          if (has_length || !parse_content_length (header, &reader->body_length))
            return false;
          has_length = true;
        }
    }
  if (reader->chunked && has_length)
    return false;
  if (reader->status == 204 || reader->status == 304)
    reader->no_body = true;
  reader->until_close = !reader->chunked && !has_length && !reader->no_body;
  if (reader->until_close)
    reader->keep_alive = false;
  return true;
}

/* Parses the response head and skips informational (1xx) responses. 101 is an error. */
static enum az_http_progress
parse_head (struct az_http_reader *reader)
{
  const char *message;
  size_t message_length;
  struct head head;
  int length;

  do
    {
      head.n_headers = HEADERS_MAX;
      length = phr_parse_response ((const char *)reader->data->data, reader->data->len,
                                   &head.minor_version, &reader->status, &message, &message_length,
                                   head.headers, &head.n_headers, reader->scanned_length);
      if (length == -2 && reader->data->len <= HEAD_BYTES_MAX)
        {
          reader->scanned_length = reader->data->len;
          return AZ_HTTP_INCOMPLETE;
        }
      if (length < 0 || reader->status == 101)
        return AZ_HTTP_MALFORMED;
      if (reader->status < 200)
        {
          g_byte_array_remove_range (reader->data, 0, (guint)length);
          reader->scanned_length = 0;
        }
    }
  while (reader->status < 200);
  if (!apply_headers (reader, &head))
    return AZ_HTTP_MALFORMED;
  reader->head_length = (size_t)length;
  reader->decoder.consume_trailer = 1;
  return AZ_HTTP_COMPLETE;
}

/* Decodes the last @n_new_bytes bytes of the buffer in place. */
static enum az_http_progress
decode_chunks (struct az_http_reader *reader, size_t n_new_bytes)
{
  size_t decoded = n_new_bytes;
  ssize_t n_trailing_bytes = phr_decode_chunked (
      &reader->decoder, (char *)reader->data->data + reader->data->len - n_new_bytes, &decoded);

  if (n_trailing_bytes == -1)
    return AZ_HTTP_MALFORMED;
  reader->body_length += decoded;
  g_byte_array_set_size (reader->data, (guint)(reader->head_length + reader->body_length));
  if (n_trailing_bytes > 0)
    reader->keep_alive = false;
  return n_trailing_bytes == -2 ? AZ_HTTP_INCOMPLETE : AZ_HTTP_COMPLETE;
}

static enum az_http_progress
parse_body (struct az_http_reader *reader, size_t n_new_bytes)
{
  size_t available = reader->data->len - reader->head_length;

  if (available > AZ_HTTP_RESPONSE_BODY_MAX_BYTES)
    return AZ_HTTP_MALFORMED;
  if (reader->no_body)
    {
      reader->body_length = 0;
      reader->keep_alive = reader->keep_alive && available == 0;
      return AZ_HTTP_COMPLETE;
    }
  if (reader->chunked)
    return decode_chunks (reader, n_new_bytes);
  if (reader->until_close)
    {
      reader->body_length = available;
      return AZ_HTTP_INCOMPLETE;
    }
  if (available > reader->body_length)
    reader->keep_alive = false;
  return available >= reader->body_length ? AZ_HTTP_COMPLETE : AZ_HTTP_INCOMPLETE;
}

enum az_http_progress
az_http_reader_append (struct az_http_reader *reader, const char *data, size_t length)
{
  enum az_http_progress progress;

  g_byte_array_append (reader->data, (const guint8 *)data, (guint)length);
  if (reader->head_length == 0)
    {
      progress = parse_head (reader);
      if (progress != AZ_HTTP_COMPLETE)
        return progress;
      length = reader->data->len - reader->head_length;
    }
  return parse_body (reader, length);
}

enum az_http_progress
az_http_reader_end (struct az_http_reader *reader)
{
  return reader->head_length > 0 && reader->until_close ? AZ_HTTP_COMPLETE : AZ_HTTP_MALFORMED;
}
