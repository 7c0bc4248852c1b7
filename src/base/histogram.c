#include "azurerock/histogram.h"

static const uint64_t bounds_ms[AZ_HISTOGRAM_BOUNDS]
    = { 5, 10, 25, 50, 100, 150, 250, 500, 1000, 2500, 5000, 10000 };

static uint32_t
register_series (struct az_counters *counters,
                 const char *name,
                 const char *suffix,
                 const char *help)
{
  g_autofree char *full_name = g_strconcat (name, suffix, NULL);

  return az_counters_register (counters, full_name, help);
}

void
az_histogram_init (struct az_histogram *histogram,
                   struct az_counters *counters,
                   const char *name,
                   const char *help)
{
  histogram->counters = counters;
  for (size_t i = 0; i < AZ_HISTOGRAM_BOUNDS; i++)
    {
      g_autofree char *suffix
          = g_strdup_printf ("_bucket{le=\"%" G_GUINT64_FORMAT "\"}", bounds_ms[i]);

      histogram->buckets[i] = register_series (counters, name, suffix, help);
    }
  histogram->buckets[AZ_HISTOGRAM_BOUNDS]
      = register_series (counters, name, "_bucket{le=\"+Inf\"}", help);
  histogram->sum = register_series (counters, name, "_sum", help);
  histogram->count = register_series (counters, name, "_count", help);
}

void
az_histogram_observe (struct az_histogram *histogram, uint64_t ms)
{
  for (size_t i = 0; i < AZ_HISTOGRAM_BOUNDS; i++)
    if (ms <= bounds_ms[i])
      az_counters_add (histogram->counters, histogram->buckets[i], 1);
  az_counters_add (histogram->counters, histogram->buckets[AZ_HISTOGRAM_BOUNDS], 1);
  az_counters_add (histogram->counters, histogram->sum, ms);
  az_counters_add (histogram->counters, histogram->count, 1);
}
