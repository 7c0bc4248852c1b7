#ifndef AZUREROCK_DISPATCH_INTERFERENCE_DECISION_H
#define AZUREROCK_DISPATCH_INTERFERENCE_DECISION_H

#include <stdbool.h>
#include <stdint.h>

/** struct az_effect_sum - effects that several upstreams have measured for one pair of kinds;
 * starts zeroed */
struct az_effect_sum
{
  unsigned n;
  double weight;
  double effect;
  double squared_effect;
};

/**
 * struct az_interference_decision - whether a pair counts as interfering; starts zeroed
 * @factor: how many times longer tasks are estimated to take
 * @standard_error: of the logarithm of @factor
 */
struct az_interference_decision
{
  bool is_interfering;
  int64_t began_us;
  double factor;
  double standard_error;
};

void
az_effect_sum_add (struct az_effect_sum *sum, double effect, double weight);

/**
 * az_interference_decide - decides again by the present evidence
 *
 * Return: whether the pair has begun or ceased to count as interfering.
 */
bool
az_interference_decide (struct az_interference_decision *decision,
                        const struct az_effect_sum *sum,
                        int64_t now_us);

#endif
