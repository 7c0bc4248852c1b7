#include "load/ideal_queue.h"

/* Restores the min-heap order of @free_at_us after its first element has increased. */
static void
sift_down (int64_t *free_at_us, uint32_t n)
{
  uint32_t parent = 0;

  for (;;)
    {
      uint32_t child = 2 * parent + 1;
      int64_t moved = free_at_us[parent];

      if (child + 1 < n && free_at_us[child + 1] < free_at_us[child])
        child++;
      if (child >= n || free_at_us[child] >= moved)
        return;
      free_at_us[parent] = free_at_us[child];
      free_at_us[child] = moved;
      parent = child;
    }
}

int64_t *
az_ideal_queue_simulate (const struct az_workload *workload,
                         uint32_t slots,
                         const int64_t *arrivals_us,
                         const int64_t *run_times_us)
{
  int64_t *free_at_us = g_new0 (int64_t, slots);
  int64_t *responses_us = g_new0 (int64_t, workload->n_jobs);
  const int64_t *runs = run_times_us ? run_times_us : workload->run_times_us;

  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      const struct az_workload_job *job = &workload->jobs[i];
      int64_t arrival = arrivals_us ? arrivals_us[i] : job->arrival_us;

      for (uint32_t task = 0; task < job->n_tasks; task++)
        {
          free_at_us[0] = MAX (free_at_us[0], arrival) + runs[job->first_task + task];
          responses_us[i] = MAX (responses_us[i], free_at_us[0] - arrival);
          sift_down (free_at_us, slots);
        }
    }
  g_free (free_at_us);
  return responses_us;
}
