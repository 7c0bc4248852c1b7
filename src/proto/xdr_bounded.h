#ifndef AZUREROCK_PROTO_XDR_BOUNDED_H
#define AZUREROCK_PROTO_XDR_BOUNDED_H

#include <rpc/rpc.h>

/*
 * Replacements for functions of libtirpc; the generated codec is compiled with AZ_XDR_REPLACE. When
 * decoding, they reject a length that the rest of the record can't hold, before memory is allocated
 * for it, and strings that contain a NUL. When encoding, a NULL string becomes "".
 */
bool_t
az_xdr_string (XDR *xdrs, char **text, u_int max);
bool_t
az_xdr_bytes (XDR *xdrs, char **bytes, u_int *length, u_int max);
bool_t
az_xdr_array (XDR *xdrs, char **rows, u_int *count, u_int max, u_int row_size, xdrproc_t row);

#ifdef AZ_XDR_REPLACE
#define xdr_string az_xdr_string
#define xdr_bytes az_xdr_bytes
#define xdr_array az_xdr_array
#endif

#endif
