#include "net/http_exchange.h"
#include <string.h>

static void
append (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text));
}

static void
append_header (GByteArray *out, const char *name, const char *value)
{
  append (out, name);
  append (out, ": ");
  append (out, value);
  append (out, "\r\n");
}

struct az_http_exchange *
az_http_exchange_create (const char *host,
                         const char *method,
                         const char *path,
                         const struct az_http_header *headers,
                         size_t n_headers,
                         const void *body,
                         size_t body_length)
{
  struct az_http_exchange *exchange = g_new0 (struct az_http_exchange, 1);
  GByteArray *out = g_byte_array_sized_new ((guint)body_length + 512);
  char length[24];

  append (out, method);
  append (out, " ");
  append (out, path);
  append (out, " HTTP/1.1\r\n");
  append_header (out, "host", host);
  g_snprintf (length, sizeof length, "%zu", body_length);
  if (body_length > 0 || (strcmp (method, "GET") != 0 && strcmp (method, "HEAD") != 0))
    append_header (out, "content-length", length);
  for (size_t i = 0; i < n_headers; i++)
    append_header (out, headers[i].name, headers[i].value);
  append (out, "\r\n");
  if (body_length > 0)
    g_byte_array_append (out, body, (guint)body_length);
  exchange->request = out;
  exchange->is_head = strcmp (method, "HEAD") == 0;
  return exchange;
}

void
az_http_exchange_destroy (struct az_http_exchange *exchange)
{
  g_byte_array_unref (exchange->request);
  g_free (exchange);
}
