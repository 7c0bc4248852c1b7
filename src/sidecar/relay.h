#ifndef AZUREROCK_SIDECAR_RELAY_H
#define AZUREROCK_SIDECAR_RELAY_H

#include "azurerock/clock.h"
#include "azurerock/message.h"
#include "dispatch/metadata_read.h"

/*
 * Reads what operators have published on behalf of gateways that the store doesn't serve, and
 * answers them with NODE_CATALOG, NODE_EVIDENCE and NODE_WITHDRAWN. One read at a time serves all
 * requests that arrive meanwhile.
 */
struct az_relay;

/**
 * struct az_relay_io - calls and messages
 * @read: reads all that operators have published
 */
struct az_relay_io
{
  void (*read) (void *context, const struct az_metadata_read *read);
  void (*send) (void *context, uint32_t session, const struct az_message *message);
  void *context;
};

struct az_relay *
az_relay_create (const struct az_clock *clock, const struct az_relay_io *io);

/** az_relay_destroy - call when no read is in progress */
void
az_relay_destroy (struct az_relay *relay);

/** az_relay_request - the gateway of @session requests what operators have published; it has
 * configuration @catalog_version, or 0 if it has none
 *
 * There is no answer if the store can't be read; the gateway repeats its request. */
void
az_relay_request (struct az_relay *relay, uint32_t session, uint64_t catalog_version);

/** az_relay_session_closed - forgets the request of @session */
void
az_relay_session_closed (struct az_relay *relay, uint32_t session);

#endif
