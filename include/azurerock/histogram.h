#ifndef AZUREROCK_HISTOGRAM_H
#define AZUREROCK_HISTOGRAM_H

#include "azurerock/counters.h"

#define AZ_HISTOGRAM_BOUNDS 12

/** struct az_histogram - cumulative Prometheus histogram of durations in milliseconds */
struct az_histogram
{
  struct az_counters *counters;
  uint32_t buckets[AZ_HISTOGRAM_BOUNDS + 1]; /* the last one is le="+Inf" */
  uint32_t sum;
  uint32_t count;
};

/** az_histogram_init - registers NAME_bucket{le="..."}, NAME_sum and NAME_count
 * @name: "azurerock_..._ms"
 * @help: one line; not copied */
void
az_histogram_init (struct az_histogram *histogram,
                   struct az_counters *counters,
                   const char *name,
                   const char *help);
void
az_histogram_observe (struct az_histogram *histogram, uint64_t ms);

#endif
