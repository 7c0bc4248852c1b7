#include "load/quantile.h"
#include <stdlib.h>

static int
compare_values (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

void
az_quantile_sort (int64_t *values, uint32_t n)
{
  if (n)
    qsort (values, n, sizeof *values, compare_values);
}

int64_t
az_quantile (const int64_t *values, uint32_t n, uint32_t per_mille)
{
  uint64_t rank = ((uint64_t)n * per_mille + 999) / 1000;

  if (!n)
    return 0;
  return values[rank ? rank - 1 : 0];
}
