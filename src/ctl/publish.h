#ifndef AZUREROCK_CTL_PUBLISH_H
#define AZUREROCK_CTL_PUBLISH_H

#include "ctl/ctl.h"

/** az_ctl_history_key - returns the key of the history record of @revision; free with g_free() */
char *
az_ctl_history_key (uint64_t revision);

/** az_ctl_report_conflict - prints the differences between @set and the configuration that another
 * publisher stored; returns an exit code */
int
az_ctl_report_conflict (struct az_ctl *ctl, const struct az_object_set *set);

/**
 * az_ctl_resolve - determines whether a publication took effect after its answer was lost
 *
 * Reads the history record of the revision and compares the publish id. The record is written in
 * the same transaction as the configuration and never changes.
 *
 * Return: %AZ_EXIT_SUCCESS, %AZ_EXIT_CONFLICT if another publisher wrote the revision, or
 * %AZ_EXIT_FAILURE if there is no record or the store doesn't answer until the deadline.
 */
int
az_ctl_resolve (struct az_ctl *ctl, const struct az_configuration *configuration);

#endif
