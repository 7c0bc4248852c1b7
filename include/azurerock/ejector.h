#ifndef AZUREROCK_EJECTOR_H
#define AZUREROCK_EJECTOR_H

#include "azurerock/clock.h"
#include "azurerock/objects.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Outlier ejection: stops sending tasks to members whose failure rate is far above that of the
 * others. At most max_share_percent of the members are ejected, so that a faulty job can't eject
 * the whole fleet.
 */
struct az_ejector;

struct az_ejector *
az_ejector_create (const struct az_clock *clock);
void
az_ejector_destroy (struct az_ejector *ejector);
void
az_ejector_set_policy (struct az_ejector *ejector, const struct az_ejection_policy *policy);

/** az_ejector_add - adds a member; @member is a handle chosen by the caller */
void
az_ejector_add (struct az_ejector *ejector, uint32_t member);
void
az_ejector_remove (struct az_ejector *ejector, uint32_t member);
void
az_ejector_report (struct az_ejector *ejector, uint32_t member, bool success);

/** az_ejector_can_start - whether a task may be sent to the member; an ejected member whose
 * ejection time has passed gets one task at a time as a probe, whose result readmits it or ejects
 * it again */
bool
az_ejector_can_start (struct az_ejector *ejector, uint32_t member);

/** az_ejector_record_start - records that a task was sent to the member; if the member is ejected,
 * the task is its probe */
void
az_ejector_record_start (struct az_ejector *ejector, uint32_t member);

/** az_ejector_record_cancel - records that the member didn't start the task that was sent; if that
 * was a probe, another one may be sent */
void
az_ejector_record_cancel (struct az_ejector *ejector, uint32_t member);
bool
az_ejector_is_ejected (const struct az_ejector *ejector, uint32_t member);
uint32_t
az_ejector_n_ejected (const struct az_ejector *ejector);

#endif
