#ifndef AZUREROCK_CTL_PUBLISH_H
#define AZUREROCK_CTL_PUBLISH_H

#include "ctl/ctl.h"

/** az_ctl_history_key - key of the audit record of @revision; free with g_free() */
char *
az_ctl_history_key (uint64_t revision);

/** az_ctl_report_conflict - prints how the set differs from what another publisher stored */
int
az_ctl_report_conflict (struct az_ctl *ctl, const struct az_object_set *set);

/**
 * az_ctl_resolve - finds out whether a publication whose answer was lost took effect
 *
 * Reads the audit record of its revision, which was written in the same transaction and never
 * changes, and compares the publish id.
 *
 * Return: %AZ_EXIT_SUCCESS, %AZ_EXIT_CONFLICT, or %AZ_EXIT_FAILURE if the record isn't there or
 * the store doesn't answer until the wait is over.
 */
int
az_ctl_resolve (struct az_ctl *ctl, const struct az_configuration *configuration);

#endif
