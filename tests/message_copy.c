#include "message_copy.h"

struct az_message *
message_copy (const struct az_message *message)
{
  struct az_message *copy = g_new0 (struct az_message, 1);
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_az_message, (void *)message);
  char *bytes = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, bytes, size, XDR_ENCODE);
  g_assert_true (xdr_az_message (&xdr, (struct az_message *)message));
  xdr_destroy (&xdr);
  xdrmem_create (&xdr, bytes, size, XDR_DECODE);
  g_assert_true (xdr_az_message (&xdr, copy));
  xdr_destroy (&xdr);
  g_free (bytes);
  return copy;
}

void
message_free (void *message)
{
  if (!message)
    return;
  xdr_free ((xdrproc_t)xdr_az_message, message);
  g_free (message);
}
