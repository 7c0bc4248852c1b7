#include "azurerock/run_time.h"
#include <glib.h>

/* Each power of two is divided into 16 equal buckets, so that the midpoint of a bucket is within
 * 3.2% of every value in it. */
#define SUBBUCKET_BITS 4
#define SUBBUCKETS (1u << SUBBUCKET_BITS)

/* Values up to 2^40 microseconds (12 days) have buckets of their own. */
#define POWERS_OF_TWO 40
#define BUCKETS (POWERS_OF_TWO * SUBBUCKETS)

/* Each observation weighs more than the one before by this factor. Its relative weight halves after
 * about 700 further ones, a few seconds at the task rate of one entry, so that the estimates follow
 * a change of the load. */
#define WEIGHT_GROWTH 1.001

/* Weights are scaled down at this size, before they lose precision. */
#define WEIGHT_MAX 1e100

struct az_run_time
{
  double weights[BUCKETS];
  double weight_sum;
  double value_sum;
  double next_weight;
  uint64_t count;
};

struct az_run_time *
az_run_time_create (void)
{
  struct az_run_time *times = g_new0 (struct az_run_time, 1);

  times->next_weight = 1;
  return times;
}

void
az_run_time_destroy (struct az_run_time *times)
{
  g_free (times);
}

static uint32_t
find_bucket (uint64_t value)
{
  uint32_t shift;

  if (value < SUBBUCKETS)
    return (uint32_t)value;
  shift = 63 - (uint32_t)__builtin_clzll (value) - SUBBUCKET_BITS;
  return MIN ((shift + 1) * SUBBUCKETS + (uint32_t)(value >> shift) - SUBBUCKETS, BUCKETS - 1);
}

static int64_t
compute_midpoint (uint32_t bucket)
{
  uint32_t shift;

  if (bucket < SUBBUCKETS)
    return bucket;
  shift = bucket / SUBBUCKETS - 1;
  return ((int64_t)(bucket % SUBBUCKETS + SUBBUCKETS) << shift) + ((INT64_C (1) << shift) >> 1);
}

static void
scale_weights_down (struct az_run_time *times)
{
  for (uint32_t i = 0; i < BUCKETS; i++)
    times->weights[i] /= times->next_weight;
  times->weight_sum /= times->next_weight;
  times->value_sum /= times->next_weight;
  times->next_weight = 1;
}

void
az_run_time_add (struct az_run_time *times, int64_t run_us)
{
  uint64_t value = run_us > 0 ? (uint64_t)run_us : 0;

  times->weights[find_bucket (value)] += times->next_weight;
  times->weight_sum += times->next_weight;
  times->value_sum += times->next_weight * (double)value;
  times->next_weight *= WEIGHT_GROWTH;
  times->count++;
  if (times->next_weight > WEIGHT_MAX)
    scale_weights_down (times);
}

uint64_t
az_run_time_count (const struct az_run_time *times)
{
  return times->count;
}

int64_t
az_run_time_mean_us (const struct az_run_time *times)
{
  if (!times->count)
    return 0;
  return (int64_t)(times->value_sum / times->weight_sum + 0.5);
}

int64_t
az_run_time_quantile_us (const struct az_run_time *times, uint32_t per_mille)
{
  double wanted = times->weight_sum * MIN (per_mille, 1000) / 1000;
  double seen = 0;
  uint32_t last = 0;

  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      if (times->weights[i] <= 0)
        continue;
      last = i;
      seen += times->weights[i];
      if (seen >= wanted)
        break;
    }
  return compute_midpoint (last);
}

int64_t
az_run_time_wait_us (const struct az_run_time *times,
                     uint64_t ahead,
                     uint64_t tasks,
                     uint64_t slots)
{
  double mean = (double)az_run_time_mean_us (times);
  double before_last = (double)ahead + (double)(tasks ? tasks - 1 : 0);

  /* The last task starts after all tasks before it have passed through the slots, and then runs. */
  return (int64_t)(mean * (1 + before_last / (double)MAX (slots, 1)));
}
