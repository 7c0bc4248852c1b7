#include "proto/xdr_bounded.h"
#include <stdbool.h>
#include <string.h>

/* The smallest encoded size of an array element: XDR encodes everything in units of four bytes. */
#define ELEMENT_BYTES_MIN 4

/* Reads the next length without consuming it and checks that the rest of the record can hold as
 * many elements. In a memory stream, x_handy is the number of bytes left. */
static bool
peek_length (XDR *xdrs, u_int element_size, u_int *length)
{
  u_int position = XDR_GETPOS (xdrs);

  if (!xdr_u_int (xdrs, length))
    return false;
  if (*length > (u_int)xdrs->x_handy / element_size)
    return false;
  return XDR_SETPOS (xdrs, position);
}

bool_t
az_xdr_string (XDR *xdrs, char **text, u_int max)
{
  char *empty = (char *)"";
  u_int length = 0;

  if (xdrs->x_op == XDR_ENCODE && !*text)
    return xdr_string (xdrs, &empty, max);
  if (xdrs->x_op != XDR_DECODE)
    return xdr_string (xdrs, text, max);
  if (!peek_length (xdrs, 1, &length) || !xdr_string (xdrs, text, max))
    return FALSE;
  return strlen (*text) == length;
}

bool_t
az_xdr_bytes (XDR *xdrs, char **bytes, u_int *length, u_int max)
{
  u_int next = 0;

  if (xdrs->x_op == XDR_DECODE && !peek_length (xdrs, 1, &next))
    return FALSE;
  return xdr_bytes (xdrs, bytes, length, max);
}

bool_t
az_xdr_array (XDR *xdrs, char **rows, u_int *count, u_int max, u_int row_size, xdrproc_t row)
{
  u_int next = 0;

  if (xdrs->x_op == XDR_DECODE && !peek_length (xdrs, ELEMENT_BYTES_MIN, &next))
    return FALSE;
  return xdr_array (xdrs, rows, count, max, row_size, row);
}
