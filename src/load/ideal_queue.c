#include "load/ideal_queue.h"

/* Restores the min-heap order of @free_at after its first element has increased. */
static void
sift_down (int64_t *free_at, uint32_t n)
{
  uint32_t parent = 0;

  for (;;)
    {
      uint32_t child = 2 * parent + 1;
      int64_t moved = free_at[parent];

      if (child + 1 < n && free_at[child + 1] < free_at[child])
        child++;
      if (child >= n || free_at[child] >= moved)
        return;
      free_at[parent] = free_at[child];
      free_at[child] = moved;
      parent = child;
    }
}

int64_t *
az_ideal_queue_run (const struct az_workload *workload,
                    uint32_t slots,
                    const int64_t *arrivals_us,
                    const int64_t *runs_us)
{
  int64_t *free_at = g_new0 (int64_t, slots);
  int64_t *responses = g_new0 (int64_t, workload->n_jobs);
  const int64_t *runs = runs_us ? runs_us : workload->runs_us;

  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      const struct az_workload_job *job = &workload->jobs[i];
      int64_t arrival = arrivals_us ? arrivals_us[i] : job->arrival_us;

      for (uint32_t task = 0; task < job->n_tasks; task++)
        {
          free_at[0] = MAX (free_at[0], arrival) + runs[job->first_task + task];
          responses[i] = MAX (responses[i], free_at[0] - arrival);
          sift_down (free_at, slots);
        }
    }
  g_free (free_at);
  return responses;
}
