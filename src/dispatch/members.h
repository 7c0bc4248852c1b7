#ifndef AZUREROCK_DISPATCH_MEMBERS_H
#define AZUREROCK_DISPATCH_MEMBERS_H

/** Keys below this prefix hold the addresses of gateways, for those who know none. */
#define AZ_MEMBERS_PREFIX "azurerock/gateways/"

#endif
