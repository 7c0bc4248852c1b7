#ifndef AZUREROCK_SIDECAR_ANNOUNCEMENT_RECORD_H
#define AZUREROCK_SIDECAR_ANNOUNCEMENT_RECORD_H

#include "azurerock/upstream_call.h"
#include <stdbool.h>

/*
 * Record in the store of the last announcement of a sidecar's upstream, so that a restarted sidecar
 * needn't wait for a heartbeat.
 */

/** Prefix of the keys of the records; there is one per sidecar instance. */
#define AZ_ANNOUNCEMENTS_PREFIX "azurerock/upstreams/"

/** az_announcement_record_encode - returns JSON text; free with g_free() */
char *
az_announcement_record_encode (const struct az_upstream_announcement *announcement);

/** az_announcement_record_decode - returns false if the text is invalid; the decoded sequence is 0,
 * below that of any heartbeat */
bool
az_announcement_record_decode (const char *text, struct az_upstream_announcement *announcement);

#endif
