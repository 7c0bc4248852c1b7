#include "net/address.h"
#include <glib.h>
#include <string.h>
#include <uv.h>

#define PORT_MAX 65535

static bool
parse_port (const char *text, int *port)
{
  guint64 number;

  if (!g_ascii_string_to_unsigned (text, 10, 0, PORT_MAX, &number, NULL))
    return false;
  *port = (int)number;
  return true;
}

bool
az_address_parse (const char *text, struct sockaddr_storage *address)
{
  const char *colon = strrchr (text, ':');
  char host[64];
  size_t length;
  int port;

  memset (address, 0, sizeof *address);
  if (!colon || !parse_port (colon + 1, &port))
    return false;
  length = (size_t)(colon - text);
  if (length == 0 || length >= sizeof host)
    return false;
  memcpy (host, text, length);
  host[length] = '\0';
  if (host[0] != '[')
    return uv_ip4_addr (host, port, (struct sockaddr_in *)address) == 0;
  if (host[length - 1] != ']')
    return false;
  host[length - 1] = '\0';
  return uv_ip6_addr (host + 1, port, (struct sockaddr_in6 *)address) == 0;
}

bool
az_address_is_endpoint (const char *text)
{
  struct sockaddr_storage address;

  if (!az_address_parse (text, &address))
    return false;
  if (address.ss_family == AF_INET6)
    return ((const struct sockaddr_in6 *)&address)->sin6_port != 0;
  return ((const struct sockaddr_in *)&address)->sin_port != 0;
}

char *
az_address_format (const struct sockaddr_storage *address)
{
  const struct sockaddr_in6 *ip6 = (const struct sockaddr_in6 *)address;
  const struct sockaddr_in *ip4 = (const struct sockaddr_in *)address;
  char host[64] = "";

  if (address->ss_family == AF_INET6)
    {
      uv_ip6_name (ip6, host, sizeof host);
      return g_strdup_printf ("[%s]:%u", host, (unsigned)g_ntohs (ip6->sin6_port));
    }
  uv_ip4_name (ip4, host, sizeof host);
  return g_strdup_printf ("%s:%u", host, (unsigned)g_ntohs (ip4->sin_port));
}
