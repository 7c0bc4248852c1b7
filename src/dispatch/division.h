#ifndef AZUREROCK_DISPATCH_DIVISION_H
#define AZUREROCK_DISPATCH_DIVISION_H

#include <stdbool.h>

/* Division of an ordered list of upstreams into contiguous parts, for kinds of task that must not
 * run together. Parts are numbered from 1; 0 means none. */

#define AZ_PARTS_MAX 8

/**
 * az_division_assign_parts - gives kinds that interfere different parts, in the order of the list
 * @interferes: a symmetric matrix of n times n
 * @parts: receives the part of each kind; 0 if it interferes with none, or if there are too many
 *   parts
 *
 * Return: number of parts.
 */
unsigned
az_division_assign_parts (const bool *interferes, unsigned n, unsigned *parts);

/**
 * az_division_approach - moves the shares of the parts towards their targets
 * @shares: sum up to 1, or are all 0 before the first call
 * @step: by how much of the whole the ends of the parts may move
 *
 * Return: whether a share has changed.
 */
bool
az_division_approach (double *shares, const double *targets, unsigned n_parts, double step);

/** az_division_find_part - returns the part in which a position from 0 to 1 lies */
unsigned
az_division_find_part (const double *shares, unsigned n_parts, double position);

#endif
