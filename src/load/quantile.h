#ifndef AZUREROCK_LOAD_QUANTILE_H
#define AZUREROCK_LOAD_QUANTILE_H

#include <stdint.h>

/** az_quantile_sort - sorts @values for az_quantile() */
void
az_quantile_sort (int64_t *values, uint32_t n);

/** az_quantile - quantile of sorted @values; @per_mille 990 is p99; 0 if there are none */
int64_t
az_quantile (const int64_t *values, uint32_t n, uint32_t per_mille);

#endif
