#ifndef AZUREROCK_EJECTOR_H
#define AZUREROCK_EJECTOR_H

#include "azurerock/clock.h"
#include "azurerock/objects.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Outlier ejection: keeps work from workers that fail what others complete. At most a stated
 * share of members is ejected, so that a bad job can't eject the fleet.
 */
struct az_ejector;

struct az_ejector *
az_ejector_create (const struct az_clock *clock);
void
az_ejector_destroy (struct az_ejector *ejector);
void
az_ejector_set_policy (struct az_ejector *ejector, const struct az_ejection_policy *policy);

/** az_ejector_add - a member; @member is a handle of the caller */
void
az_ejector_add (struct az_ejector *ejector, uint32_t member);
void
az_ejector_remove (struct az_ejector *ejector, uint32_t member);
void
az_ejector_report (struct az_ejector *ejector, uint32_t member, bool success);

/** az_ejector_may_start - whether a task may be sent; for an ejected member whose time has come,
 * one probe at a time */
bool
az_ejector_may_start (struct az_ejector *ejector, uint32_t member);

/** az_ejector_started - counts the probe of a member that is being probed */
void
az_ejector_started (struct az_ejector *ejector, uint32_t member);

/** az_ejector_cancelled - a start was refused: a probe may be sent again */
void
az_ejector_cancelled (struct az_ejector *ejector, uint32_t member);
bool
az_ejector_is_ejected (const struct az_ejector *ejector, uint32_t member);
uint32_t
az_ejector_n_ejected (const struct az_ejector *ejector);

#endif
