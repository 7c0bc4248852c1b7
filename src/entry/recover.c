#include "entry/agents.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* How long records of agents are accepted after a takeover. Agents keep the records of finished
 * tasks for 30 s, so later ones can't complete jobs of the former owner. */
#define RECOVERY_TIMEOUT_MS 30000

static void
send_recover (struct az_entry_state *state, const struct az_entry_agent *agent)
{
  struct az_message message = { .proc = AZ_RECOVER };

  message.az_message_u.recover.partitions = state->recover_partitions;
  az_entry_send (state, agent->connection, &message);
}

void
az_entry_request_records (struct az_entry_state *state, struct az_entry_agent *agent)
{
  if (!state->recover_partitions)
    return;
  if (agent)
    {
      if (az_time_compare (state->now, state->recover_until) < 0)
        send_recover (state, agent);
      return;
    }
  state->recover_until = az_time_add_ms (state->now, RECOVERY_TIMEOUT_MS);
  for (uint32_t h = az_table_rows_next (state->agents, 0); h;
       h = az_table_rows_next (state->agents, h))
    {
      const struct az_entry_agent *row = az_entry_state_agent (state, h);

      if (row->connection)
        send_recover (state, row);
    }
}

void
az_entry_recover_tick (struct az_entry_state *state)
{
  if (!g_hash_table_size (state->recoveries)
      || az_time_diff_ms (state->now, state->recover_until) < RECOVERY_TIMEOUT_MS)
    return;
  g_hash_table_remove_all (state->recoveries);
  state->recovery_bytes = 0;
}

static struct az_entry_recovery *
find_or_create_recovery (struct az_entry_state *state, const struct az_record *record)
{
  struct az_entry_recovery *recovery = g_hash_table_lookup (state->recoveries, record->id.job);

  if (recovery)
    return recovery;
  if (!record->job_tasks || record->job_tasks > AZ_MAX_TASKS)
    return NULL;
  recovery = g_new0 (struct az_entry_recovery, 1);
  state->recovery_bytes += record->job_tasks * sizeof (struct az_entry_task);
  recovery->n_tasks = record->job_tasks;
  recovery->tasks = g_new0 (struct az_entry_task, record->job_tasks);
  g_hash_table_insert (state->recoveries, g_strdup (record->id.job), recovery);
  return recovery;
}

static void
add_record (struct az_entry_state *state, const struct az_record *record)
{
  struct az_entry_recovery *recovery = find_or_create_recovery (state, record);
  struct az_entry_task *task;

  if (!recovery || record->id.task >= recovery->n_tasks)
    return;
  task = &recovery->tasks[record->id.task];
  if (task->task_state == AZ_ENTRY_TASK_OK || task->task_state == AZ_ENTRY_TASK_FAILED)
    return;
  if (record->status == AZ_STATUS_FAILED)
    {
      task->task_state = AZ_ENTRY_TASK_FAILED;
      recovery->n_failed++;
    }
  if (record->status != AZ_STATUS_OK)
    return;
  task->task_state = AZ_ENTRY_TASK_OK;
  task->result.az_payload_len = record->payload.az_payload_len;
  task->result.az_payload_val
      = g_memdup2 (record->payload.az_payload_val, record->payload.az_payload_len);
  recovery->n_ok++;
  state->recovery_bytes += record->payload.az_payload_len;
}

void
az_entry_handle_records (struct az_entry_state *state, const struct az_records *records)
{
  if (az_time_compare (state->now, state->recover_until) >= 0)
    return;
  /* Jobs whose records exceed the memory limit are answered with "outcome_unknown". */
  for (uint32_t i = 0;
       i < records->records.records_len && state->recovery_bytes < state->settings.answer_bytes_max;
       i++)
    if (!az_entry_job_find (state, records->records.records_val[i].id.job))
      add_record (state, &records->records.records_val[i]);
}

static void
move_tasks_to_job (struct az_entry_recovery *recovery, struct az_entry_job *job)
{
  g_free (job->tasks);
  job->tasks = recovery->tasks;
  job->n_tasks = recovery->n_tasks;
  job->n_waiting = 0;
  job->n_ok = recovery->n_ok;
  job->n_failed = recovery->n_failed;
  job->failure = "task_failed";
  recovery->tasks = NULL;
  recovery->n_tasks = 0;
}

uint32_t
az_entry_recover_job (struct az_entry_state *state, const char *id)
{
  struct az_entry_recovery *recovery = g_hash_table_lookup (state->recoveries, id);
  struct az_submit submit = { .job = (char *)id, .team = (char *)"", .service = (char *)"" };
  uint32_t handle;

  if (!recovery || recovery->n_ok + recovery->n_failed < recovery->n_tasks)
    return 0;
  handle = az_entry_job_add (state, &submit, AZ_ENTRY_ROLE_OWNER, false);
  az_entry_state_job (state, handle)->group = AZ_ENTRY_NONE;
  move_tasks_to_job (recovery, az_entry_state_job (state, handle));
  g_hash_table_remove (state->recoveries, id);
  az_entry_job_check_outcome (state, handle);
  return az_entry_job_find (state, id);
}
