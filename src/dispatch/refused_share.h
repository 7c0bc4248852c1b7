#ifndef AZUREROCK_DISPATCH_REFUSED_SHARE_H
#define AZUREROCK_DISPATCH_REFUSED_SHARE_H

#include <stdint.h>

/**
 * struct az_refused_share - recent arrivals and refusals of jobs as exponentially decaying counts
 *
 * A zeroed structure has seen none.
 */
struct az_refused_share
{
  double n_arrived;
  double n_refused;
  int64_t updated_us;
};

void
az_refused_share_record_arrival (struct az_refused_share *share, int64_t now_us);

void
az_refused_share_record_refusal (struct az_refused_share *share, int64_t now_us);

/** az_refused_share_measure - returns the share of the recent jobs that were refused, from 0 to 1;
 * few jobs give a low share, whatever became of them */
double
az_refused_share_measure (const struct az_refused_share *share, int64_t now_us);

#endif
