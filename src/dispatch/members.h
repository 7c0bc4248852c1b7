#ifndef AZUREROCK_DISPATCH_MEMBERS_H
#define AZUREROCK_DISPATCH_MEMBERS_H

/** Keys below this prefix hold the addresses of gateways, read by processes that have no other
 * source. */
#define AZ_MEMBERS_PREFIX "azurerock/gateways/"

#endif
