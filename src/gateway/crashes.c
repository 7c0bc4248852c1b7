#include "azurerock/log.h"
#include "gateway/state.h"

/* A task under which two upstreams have crashed is likely their cause. Each further attempt would
 * cost another upstream, with all of its tasks, for some seconds. */
#define CRASHES_MAX 2

#define GIVEN_UP_REASON "a task has crashed its upstreams"

static void
give_up (struct az_gateway *gateway, struct job *job)
{
  az_counters_add (gateway->counters, gateway->c_crashed, 1);
  az_gateway_end_job (gateway, job, AZ_JOB_FAILED, 0, GIVEN_UP_REASON);
}

void
az_gateway_recall_crashes (struct az_gateway *gateway, struct job *job)
{
  job->n_crashes = az_crash_record_count (gateway->crash_record, job->id, gateway->now_us);
  if (job->n_crashes >= CRASHES_MAX)
    give_up (gateway, job);
}

void
az_gateway_count_task_crash (struct az_gateway *gateway, struct job *job, struct task *task)
{
  const struct az_crash crash = { .upstream = task->upstream, .life = task->life };

  if (!az_crash_record_contains (gateway->crash_record, job->id, &crash, gateway->now_us))
    task->n_crashes++;
  if (job->n_crashes + task->n_crashes >= CRASHES_MAX && !job->is_answered)
    give_up (gateway, job);
}

static uint32_t
max_task_crashes (const struct job *job)
{
  uint32_t max = 0;

  for (uint32_t i = 0; i < job->n_tasks; i++)
    max = MAX (max, job->tasks[i].n_crashes);
  return max;
}

void
az_gateway_handle_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message)
{
  const struct az_crash crash = { .upstream = upstream->handle, .life = upstream->life };
  struct job *job = g_hash_table_lookup (gateway->job_ids, message->job_id);

  az_log (LOG_NOTICE, "event=upstream-crashed instance=%s queue=%s job=%s", upstream->instance,
          message->queue[0] ? message->queue : "-", message->job_id[0] ? message->job_id : "-");
  if (!message->job_id[0]
      || !az_crash_record_add (gateway->crash_record, message->job_id, &crash, gateway->now_us)
      || !job)
    return;
  job->n_crashes++;
  if (job->n_crashes + max_task_crashes (job) < CRASHES_MAX)
    return;
  give_up (gateway, job);
  az_gateway_release_job (gateway, job);
}
