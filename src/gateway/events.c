#include "azurerock/log.h"
#include "gateway/crashes.h"
#include "gateway/moves.h"
#include "gateway/state.h"

static struct job *
find_job (const struct az_gateway *gateway, uint64_t number)
{
  return g_hash_table_lookup (gateway->jobs, &number);
}

static void
finish_task (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  task->state = TASK_DONE;
  job->steps[step].n_done++;
  job->n_done++;
  gateway->needs_placing = true;
  if (job->n_done < job->n_tasks || job->is_answered)
    return;
  az_gateway_end_job (gateway, job, AZ_JOB_COMPLETED, 0, "all tasks done");
}

static void
fail_task (struct az_gateway *gateway, struct job *job, uint32_t step, struct task *task)
{
  task->n_failed++;
  az_gateway_requeue_task (gateway, job, step, task);
  if (task->n_failed >= job->max_failures && !job->is_answered)
    az_gateway_end_job (gateway, job, AZ_JOB_FAILED, 0, "a task has reached its failure limit");
}

void
az_gateway_handle_task_event (struct az_gateway *gateway,
                              struct upstream *upstream,
                              const struct az_task_event *event)
{
  struct job *job = find_job (gateway, event->job);
  struct task *task = job ? az_gateway_find_task (job, event->step, event->index) : NULL;

  if (event->how == AZ_TASK_NO_ROOM || event->how == AZ_TASK_CLOSED)
    az_ejector_record_cancel (gateway->ejector, upstream->handle);
  if (!task || task->state != TASK_SENT || task->upstream != upstream->handle
      || event->attempt < task->attempt)
    return;
  task->attempt = event->attempt;
  az_gateway_detach_task (gateway, job, event->step, task);
  if (event->how != AZ_TASK_DONE)
    az_counters_add (gateway->counters, gateway->c_retried, 1);
  if (event->how != AZ_TASK_DONE && !job->is_answered)
    az_log (LOG_INFO, "event=task-back job=%s task=%u.%u attempt=%u upstream=%s how=%d run_ms=%u",
            job->id, event->step, event->index, event->attempt, upstream->instance, event->how,
            event->run_ms);
  switch (event->how)
    {
    case AZ_TASK_DONE:
      az_gateway_record_done_task (gateway, job, event->step, task,
                                   (int64_t)event->run_ms * AZ_US_PER_MS);
      az_gateway_record_run_time (job, &job->request.steps[event->step], task, upstream,
                                  (int64_t)event->run_ms * AZ_US_PER_MS);
      finish_task (gateway, job, event->step, task);
      break;
    case AZ_TASK_FAILED:
      fail_task (gateway, job, event->step, task);
      break;
    case AZ_TASK_CRASHED:
      az_gateway_requeue_task (gateway, job, event->step, task);
      if (az_gateway_count_ended_task (task))
        az_gateway_give_up_crashed_job (gateway, job);
      break;
    case AZ_TASK_NO_ROOM:
    case AZ_TASK_CLOSED:
    case AZ_TASK_UNHEALTHY:
      /* The start was refused, so the task has not run. */
      job->n_started--;
      az_gateway_requeue_task (gateway, job, event->step, task);
      break;
    default:
      az_gateway_requeue_task (gateway, job, event->step, task);
      break;
    }
  az_gateway_release_job (gateway, job);
}

void
az_gateway_handle_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message)
{
  struct job *job = g_hash_table_lookup (gateway->job_ids, message->job_id);

  az_log (LOG_NOTICE, "event=upstream-crashed instance=%s queue=%s job=%s task=%u.%u",
          upstream->instance, message->queue[0] ? message->queue : "-",
          message->job_id[0] ? message->job_id : "-", message->step, message->index);
  az_gateway_record_crash (gateway, upstream, message);
  if (!message->job_id[0] || !az_gateway_count_named_task (gateway, job, upstream, message))
    return;
  az_gateway_give_up_crashed_job (gateway, job);
  az_gateway_release_job (gateway, job);
}
