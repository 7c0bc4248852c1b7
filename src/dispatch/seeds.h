#ifndef AZUREROCK_DISPATCH_SEEDS_H
#define AZUREROCK_DISPATCH_SEEDS_H

#include <glib.h>
#include <stdint.h>

/** az_seed_address - returns the host of @seed ("ip:port") with @port; free it with g_free() */
char *
az_seed_address (const char *seed, int64_t port);

#endif
