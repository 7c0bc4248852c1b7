#include "gateway/crashes.h"
#include "gateway/state.h"

struct queue *
az_gateway_get_or_add_queue (struct az_gateway *gateway, const struct az_route *route)
{
  struct queue *queue = g_hash_table_lookup (gateway->queues, route->name);

  if (!queue)
    {
      queue = g_new0 (struct queue, 1);
      queue->name = g_strdup (route->name);
      g_hash_table_insert (gateway->queues, queue->name, queue);
    }
  queue->priority = route->priority;
  if (g_strcmp0 (queue->service, route->service) != 0)
    {
      g_free (queue->service);
      queue->service = g_strdup (route->service);
      queue->part = 0;
    }
  return queue;
}

double
az_gateway_job_work_core_s (const struct az_gateway *gateway,
                            const struct job *job,
                            bool only_waiting)
{
  double work = 0;

  (void)gateway;
  for (size_t i = 0; i < job->request.n_steps; i++)
    {
      const struct az_job_step *step = &job->request.steps[i];
      uint32_t n_tasks = only_waiting ? job->steps[i].n_waiting : step->n_tasks;

      work += n_tasks * (step->need.cpu_milli / 1000.0)
              * az_run_estimate_expected_ms (&job->queue->run_estimate, step->estimate_ms) / 1000;
    }
  return work;
}

static int64_t
latest_start_us (const struct job *job)
{
  return job->objective_us - job->critical_path_us;
}

static double
sum_cores (const struct job *job)
{
  double cores = 0;

  for (size_t i = 0; i < job->request.n_steps; i++)
    cores += job->request.steps[i].n_tasks * (job->request.steps[i].need.cpu_milli / 1000.0);
  return cores;
}

void
az_gateway_count_arrival (struct az_gateway *gateway, struct job *job)
{
  const struct az_traffic_job arrival = {
    .work_core_s = az_gateway_job_work_core_s (gateway, job, false),
    .cores = sum_cores (job),
    .slack_s = (double)(latest_start_us (job) - gateway->now_us) / 1e6,
  };

  if (gateway->first_arrival_us == 0)
    gateway->first_arrival_us = gateway->now_us;
  az_traffic_record (&job->queue->traffic, gateway->now_us, &arrival);
  az_refused_share_record_arrival (&gateway->refused_share, gateway->now_us);
}

struct az_traffic_rates
az_gateway_queue_rates (const struct az_gateway *gateway, const struct queue *queue)
{
  return az_traffic_measure (&queue->traffic, gateway->now_us, gateway->first_arrival_us);
}

/* Jobs past their objective come after the others. In both groups, jobs with a placed task come
 * first, since a job is done only when all its tasks are. The remaining order is by the latest time
 * at which a job must start in order to meet its objective. */
static gint
compare_jobs (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct az_gateway *gateway = data;
  const struct job *a = *(const struct job *const *)left;
  const struct job *b = *(const struct job *const *)right;
  bool a_late = a->objective_us < gateway->now_us;
  bool b_late = b->objective_us < gateway->now_us;
  int64_t difference;

  if (a_late != b_late)
    return a_late ? 1 : -1;
  if (a->was_placed != b->was_placed)
    return a->was_placed ? -1 : 1;
  difference = latest_start_us (a) - latest_start_us (b);
  return difference < 0 ? -1 : difference > 0;
}

GPtrArray *
az_gateway_order_jobs (struct az_gateway *gateway)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, gateway->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct job *job = value;

      if (job->n_waiting == 0 || job->is_answered)
        continue;
      job->pool = az_gateway_choose_pool (gateway, job);
      g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort_with_data (jobs, compare_jobs, gateway);
  return jobs;
}
