#ifndef AZUREROCK_SIDECAR_ANNOUNCEMENT_RECORD_H
#define AZUREROCK_SIDECAR_ANNOUNCEMENT_RECORD_H

#include "azurerock/upstream_call.h"
#include <stdbool.h>

/*
 * What a sidecar keeps in the store of its upstream's last announcement, so that its next life
 * needn't wait for a heartbeat.
 */

/** Keys below this prefix, one per sidecar instance, hold the records. */
#define AZ_ANNOUNCEMENTS_PREFIX "azurerock/upstreams/"

/** az_announcement_record_encode - JSON text; free with g_free() */
char *
az_announcement_record_encode (const struct az_upstream_announcement *announcement);

/** az_announcement_record_decode - false if the text is no record. The sequence is 0, below that
 * of any heartbeat. */
bool
az_announcement_record_decode (const char *text, struct az_upstream_announcement *announcement);

#endif
