#include "azurerock/retry_budget.h"
#include <glib.h>

/* Retries allowed in any window: at low load a percentage of the starts rounds to zero. */
#define RETRIES_MIN 10

/* The window consists of BUCKETS buckets, each with the counts of BUCKET_MS. */
#define BUCKETS 10
#define BUCKET_MS 100

struct bucket
{
  uint32_t starts;
  uint32_t retries;
};

struct az_retry_budget
{
  const struct az_clock *clock;
  uint32_t percent;
  int64_t newest_bucket; /* number of the newest bucket, counted from the clock's origin */
  struct bucket buckets[BUCKETS];
};

static int64_t
bucket_number (const struct az_retry_budget *budget)
{
  return az_time_to_ns (az_clock_now (budget->clock)) / (BUCKET_MS * INT64_C (1000000));
}

struct az_retry_budget *
az_retry_budget_create (const struct az_clock *clock, uint32_t percent)
{
  struct az_retry_budget *budget = g_new0 (struct az_retry_budget, 1);

  budget->clock = clock;
  budget->percent = percent;
  budget->newest_bucket = bucket_number (budget);
  return budget;
}

void
az_retry_budget_destroy (struct az_retry_budget *budget)
{
  g_free (budget);
}

/* Clears the buckets that have left the window and returns the current one. */
static struct bucket *
advance (struct az_retry_budget *budget)
{
  int64_t now = bucket_number (budget);
  int64_t passed = MIN (now - budget->newest_bucket, BUCKETS);

  for (int64_t i = 0; i < passed; i++)
    budget->buckets[(now - i) % BUCKETS] = (struct bucket){ 0 };
  budget->newest_bucket = MAX (budget->newest_bucket, now);
  return &budget->buckets[budget->newest_bucket % BUCKETS];
}

void
az_retry_budget_record_start (struct az_retry_budget *budget)
{
  advance (budget)->starts++;
}

bool
az_retry_budget_take (struct az_retry_budget *budget)
{
  struct bucket *current = advance (budget);
  uint64_t starts = 0;
  uint64_t retries = 0;

  for (int i = 0; i < BUCKETS; i++)
    {
      starts += budget->buckets[i].starts;
      retries += budget->buckets[i].retries;
    }
  if (retries >= RETRIES_MIN + starts * budget->percent / 100)
    return false;
  current->retries++;
  return true;
}
