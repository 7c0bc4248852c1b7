#ifndef AZUREROCK_DISPATCH_INTERFERENCE_H
#define AZUREROCK_DISPATCH_INTERFERENCE_H

#include "dispatch/effect_moments.h"
#include "dispatch/kind_overlap.h"

/**
 * struct az_interference - estimate of how much longer the tasks of each kind take beside those of
 * each other kind on one upstream
 *
 * Evidence decays with a half-life of 60 s. Its size is fixed.
 */
struct az_interference;

/** struct az_interference_effect - effect of kind @beside on the tasks of kind @slowed
 * @weight: the standard error of @effect is AZ_EFFECT_SPREAD / sqrt (@weight)
 * @effect: mean difference of the logarithms of the run times
 */
struct az_interference_effect
{
  unsigned slowed;
  unsigned beside;
  double weight;
  double effect;
};

struct az_interference *
az_interference_create (void);
void
az_interference_destroy (struct az_interference *interference);
void
az_interference_reset (struct az_interference *interference);

/**
 * az_interference_record - adds a task that was done
 * @job: the tasks of one job share the error of their estimate, so those that end within a
 * second of each other count as one observation, which is their mean
 * @log_ratio: logarithm of the run time divided by the expected one; it is compared with the
 *   last tasks of the kind on this upstream, that is, at the speed that it has
 */
void
az_interference_record (struct az_interference *interference,
                        uint64_t job,
                        const struct az_overlap *overlap,
                        double log_ratio,
                        int64_t now_us);

/**
 * az_interference_set_kinds - drops the evidence of places that another kind has taken
 * @ids: the kind in each place; 0 if the place is free
 */
void
az_interference_set_kinds (struct az_interference *interference, const uint32_t ids[AZ_MAX_KINDS]);

/** az_interference_revision - changes when evidence is added */
uint64_t
az_interference_revision (const struct az_interference *interference);

/**
 * az_interference_list - lists the effects that have evidence, those of the highest weight first
 *
 * Return: their number, at most @n_max.
 */
unsigned
az_interference_list (struct az_interference *interference,
                      int64_t now_us,
                      struct az_interference_effect *effects,
                      unsigned n_max);

#endif
