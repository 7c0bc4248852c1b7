#ifndef AZUREROCK_SIDECAR_LINKS_H
#define AZUREROCK_SIDECAR_LINKS_H

#include "azurerock/clock.h"
#include <stdbool.h>
#include <stdint.h>

/* The gateways that a sidecar knows: with which of them it keeps sessions, when it tries to connect
 * to one again, and when it should look for others in the store. */
struct az_links;

struct az_links *
az_links_create (const char *instance, const struct az_clock *clock);
void
az_links_destroy (struct az_links *links);

/** az_links_add - Return: whether the address is new */
bool
az_links_add (struct az_links *links, const char *address);

/** az_links_next - a gateway to connect to now, which is tried from then on; NULL if there is none
 */
const char *
az_links_next (struct az_links *links);
void
az_links_opened (struct az_links *links, const char *address, uint32_t session);
void
az_links_refused (struct az_links *links, const char *address);
void
az_links_closed (struct az_links *links, uint32_t session);

/** az_links_surplus - a session without tasks that other gateways should have, or 0 */
uint32_t
az_links_surplus (const struct az_links *links,
                  bool (*is_idle) (const void *context, uint32_t session),
                  const void *context);

/** az_links_settled_ms - time since the last session was lost, or since the start */
int64_t
az_links_settled_ms (const struct az_links *links);

/** az_links_wants_members - whether to read the list of gateways; counts as read from then on */
bool
az_links_wants_members (struct az_links *links);

#endif
