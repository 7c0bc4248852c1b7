#ifndef AZUREROCK_NET_ADDRESS_H
#define AZUREROCK_NET_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/** az_address_parse - parses "ip:port" or "[ip6]:port"; host names are not resolved */
bool
az_address_parse (const char *text, struct sockaddr_storage *address);

/** az_address_is_endpoint - whether a connection can be made to the address: its port isn't 0 */
bool
az_address_is_endpoint (const char *text);

/** az_address_format - formats an address as az_address_parse() reads it; free with g_free() */
char *
az_address_format (const struct sockaddr_storage *address);

#endif
