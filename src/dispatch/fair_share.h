#ifndef AZUREROCK_DISPATCH_FAIR_SHARE_H
#define AZUREROCK_DISPATCH_FAIR_SHARE_H

#include <stddef.h>

/**
 * struct az_share - one of those who share a capacity; all amounts have the same unit
 * @weight: entitlement relative to the others, above 0
 * @demand: what is asked for
 * @granted: receives the part of the capacity, at most @demand
 */
struct az_share
{
  double weight;
  double demand;
  double granted;
};

/**
 * az_fair_share_divide - divides @capacity by weighted max-min fairness
 *
 * Nobody gets more than is asked for. Those whose demand isn't met get parts in proportion to their
 * weights, and nobody with a met demand has got more for its weight than they have.
 *
 * Return: the part of @capacity that nobody asks for.
 */
double
az_fair_share_divide (struct az_share *shares, size_t n, double capacity);

#endif
