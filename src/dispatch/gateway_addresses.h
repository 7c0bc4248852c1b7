#ifndef AZUREROCK_DISPATCH_GATEWAY_ADDRESSES_H
#define AZUREROCK_DISPATCH_GATEWAY_ADDRESSES_H

/** Store keys with this prefix hold the peer addresses of gateways, for processes that have no
 * other way to find them. */
#define AZ_GATEWAYS_PREFIX "azurerock/gateways/"

#endif
