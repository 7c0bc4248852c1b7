#include "agent/board.h"
#include "azurerock/configuration.h"

/* A longer gap between two ticks means that this process did not run. A message read after it
 * may have waited in the socket for all of that time. */
#define STALL_MS 100

#define ACCEPTED (-1)

static int64_t
waited_ms (const struct az_agent_board *board, struct timespec now)
{
  int64_t gap_ms = MAX (board->stall_ms, az_time_diff_ms (now, board->last_tick));

  return gap_ms > STALL_MS ? gap_ms : 0;
}

static bool
holds_grant (const struct az_agent_board *board, uint32_t entry, uint64_t id, struct timespec now)
{
  const struct az_agent_grant *grant = az_agent_grant_get (board, id);

  return grant && grant->entry == entry && az_time_compare (now, grant->expires) < 0;
}

static bool
is_owner (const struct az_agent_board *board, uint32_t entry, const char *job)
{
  uint64_t incarnation = az_agent_entry_get (board, entry)->incarnation;

  return incarnation && az_owner_table_owner (&board->owners, job) == incarnation;
}

static bool
has_record (const struct az_agent_board *board, const struct az_attempt *id)
{
  const struct az_agent_record *record = az_agent_record_find (board, id->job, id->task);

  return record && (record->task || !board->guards.no_record_check);
}

/* The six conditions of section 4 of the design page, on a clock that is read here. */
static int
decide (const struct az_agent_board *board, uint32_t entry, const struct az_start_task *task)
{
  const struct az_agent_guards *off = &board->guards;
  const struct az_attempt *id = &task->id;
  struct timespec now = az_agent_now (board);

  if (has_record (board, id))
    return AZ_REFUSAL_DUPLICATE;
  if (!off->no_fence_check && az_agent_is_fenced (board, id))
    return AZ_REFUSAL_FENCED;
  if (az_agent_is_stopping (board))
    return AZ_REFUSAL_STOPPING;
  if (!off->no_service_check && !az_agent_in_service (board))
    return AZ_REFUSAL_WITHDRAWN;
  if (!off->no_evidence_check && !az_agent_is_fresh (board, now))
    return AZ_REFUSAL_EVIDENCE;
  if (!off->no_owner_check && !is_owner (board, entry, id->job))
    return AZ_REFUSAL_OWNER;
  if (!off->no_grant_check && !holds_grant (board, entry, task->grant, now))
    return AZ_REFUSAL_GRANT;
  if (!off->no_deadline_check && task->remaining_ms <= waited_ms (board, now))
    return AZ_REFUSAL_DEADLINE;
  return ACCEPTED;
}

/* REFUSED says "not started", so a second copy of a START that was accepted is not refused. */
static bool
is_copy (const struct az_agent_board *board,
         const struct az_agent_record *record,
         uint32_t entry,
         const struct az_attempt *id)
{
  return record && record->id.attempt == id->attempt
         && record->origin == az_agent_entry_get (board, entry)->incarnation
         && (record->task || !board->guards.no_record_check);
}

static void
use_grant (struct az_agent_board *board, uint32_t entry, uint64_t id)
{
  struct az_agent_grant *grant = az_agent_grant_get (board, id);

  if (grant && grant->entry == entry)
    az_agent_grant_remove (board, grant);
}

static void
start_one (struct az_agent_board *board,
           uint32_t entry,
           const struct az_start *start,
           const struct az_start_task *task)
{
  struct az_agent_record *record = az_agent_record_find (board, task->id.job, task->id.task);
  int reason;

  if (is_copy (board, record, entry, &task->id))
    {
      az_counters_add (board->counters, board->metrics.late, 1);
      if (!record->task)
        az_agent_results_queue (board, record);
      return;
    }
  reason = decide (board, entry, task);
  use_grant (board, entry, task->grant);
  if (reason == ACCEPTED)
    az_agent_task_start (board, entry, start, task);
  else
    az_agent_refuse (board, entry, &task->id, (az_refusal)reason);
}

void
az_agent_start_received (struct az_agent_board *board,
                         uint32_t handle,
                         const struct az_start *start)
{
  az_agent_entry_get (board, handle)->last_start = az_agent_now (board);
  for (u_int i = 0; i < start->tasks.tasks_len; i++)
    start_one (board, handle, start, &start->tasks.tasks_val[i]);
  az_agent_demand_received (board, handle, &start->demand);
  az_agent_grants_offer (board, 0);
}
