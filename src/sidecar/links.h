#ifndef AZUREROCK_SIDECAR_LINKS_H
#define AZUREROCK_SIDECAR_LINKS_H

#include "azurerock/clock.h"
#include <stdbool.h>
#include <stdint.h>

/* Set of the gateways that a sidecar knows. It decides with which of them to keep sessions, when to
 * connect to one again, and when to read the addresses of gateways from the store. */
struct az_links;

struct az_links *
az_links_create (const char *instance, const struct az_clock *clock);
void
az_links_destroy (struct az_links *links);

/** az_links_add - returns false if the address is known already or the limit is reached */
bool
az_links_add (struct az_links *links, const char *address);

/** az_links_next_to_connect - returns a gateway to connect to now, or NULL, and marks it as
 * connecting */
const char *
az_links_next_to_connect (struct az_links *links);
void
az_links_opened (struct az_links *links, const char *address, uint32_t session);
void
az_links_connect_failed (struct az_links *links, const char *address);
void
az_links_closed (struct az_links *links, uint32_t session);

/** az_links_surplus_session - returns a session to close in favour of other gateways, or 0
 * @can_retire: whether the session may be chosen
 */
uint32_t
az_links_surplus_session (const struct az_links *links,
                          bool (*can_retire) (const void *context, uint32_t session),
                          const void *context);

/** az_links_since_last_session_ms - time since the last open session was closed, or since the start
 */
int64_t
az_links_since_last_session_ms (const struct az_links *links);

/** az_links_is_gateways_read_due - whether to read the addresses from the store now; if so,
 * restarts the interval */
bool
az_links_is_gateways_read_due (struct az_links *links);

#endif
