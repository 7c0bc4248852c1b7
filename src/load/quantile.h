#ifndef AZUREROCK_LOAD_QUANTILE_H
#define AZUREROCK_LOAD_QUANTILE_H

#include <stdint.h>

/** az_quantile_sort - sorts @values in ascending order, as az_quantile() needs them */
void
az_quantile_sort (int64_t *values, uint32_t n);

/** az_quantile - nearest-rank quantile of sorted @values; @per_mille 990 is p99; 0 if @n is 0 */
int64_t
az_quantile (const int64_t *values, uint32_t n, uint32_t per_mille);

#endif
