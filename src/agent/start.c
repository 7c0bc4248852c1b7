#include "agent/state.h"
#include "azurerock/configuration.h"

/* A longer gap between two ticks means that this process was stopped. A message that is read after
 * the gap may have waited in the socket for as long as the gap. */
#define STALL_MIN_MS 100

#define ACCEPTED (-1)

static int64_t
possible_wait_ms (const struct az_agent_state *state, struct timespec now)
{
  int64_t gap_ms = MAX (state->tick_gap_ms, az_time_diff_ms (now, state->last_tick_at));

  return gap_ms > STALL_MIN_MS ? gap_ms : 0;
}

static bool
has_valid_grant (const struct az_agent_state *state,
                 uint32_t entry,
                 uint64_t id,
                 struct timespec now)
{
  const struct az_agent_grant *grant = az_agent_grant_get (state, id);

  return grant && grant->entry == entry && az_time_compare (now, grant->expires_at) < 0;
}

static bool
is_owner (const struct az_agent_state *state, uint32_t entry, const char *job)
{
  uint64_t incarnation = az_agent_entry_get (state, entry)->incarnation;

  return incarnation && az_owner_table_find_owner (&state->owner_table, job) == incarnation;
}

static bool
has_record (const struct az_agent_state *state, const struct az_attempt *id)
{
  const struct az_agent_record *record = az_agent_record_find (state, id->job, id->task);

  return record && (record->task || !state->guards.no_record_check);
}

/* Checks the six start conditions (design page, section 4) at the present time: a valid grant (1),
 * ownership of the job id (2), recent evidence (3), domain in service and agent not stopping (4),
 * deadline not passed (5), no record and no fence (6). Returns the reason for a refusal or
 * ACCEPTED. */
static int
check_start_conditions (const struct az_agent_state *state,
                        uint32_t entry,
                        const struct az_start_task *task)
{
  const struct az_agent_guards *off = &state->guards;
  const struct az_attempt *id = &task->id;
  struct timespec now = az_agent_now (state);

  if (has_record (state, id))
    return AZ_REFUSAL_DUPLICATE;
  if (!off->no_fence_check && az_agent_is_fenced (state, id))
    return AZ_REFUSAL_FENCED;
  if (az_agent_is_stopping (state))
    return AZ_REFUSAL_STOPPING;
  if (!off->no_service_check && !az_agent_is_in_service (state))
    return AZ_REFUSAL_WITHDRAWN;
  if (!off->no_evidence_check && !az_agent_is_fresh (state, now))
    return AZ_REFUSAL_EVIDENCE;
  if (!off->no_owner_check && !is_owner (state, entry, id->job))
    return AZ_REFUSAL_OWNER;
  if (!off->no_grant_check && !has_valid_grant (state, entry, task->grant, now))
    return AZ_REFUSAL_GRANT;
  if (!off->no_deadline_check && task->remaining_ms <= possible_wait_ms (state, now))
    return AZ_REFUSAL_DEADLINE;
  return ACCEPTED;
}

/* A repeated START of an accepted attempt must not be refused: REFUSED means "not started". */
static bool
is_repeated_start (const struct az_agent_state *state,
                   const struct az_agent_record *record,
                   uint32_t entry,
                   const struct az_attempt *id)
{
  return record && record->id.attempt == id->attempt
         && record->origin == az_agent_entry_get (state, entry)->incarnation
         && (record->task || !state->guards.no_record_check);
}

static void
use_grant (struct az_agent_state *state, uint32_t entry, uint64_t id)
{
  struct az_agent_grant *grant = az_agent_grant_get (state, id);

  if (grant && grant->entry == entry)
    az_agent_grant_remove (state, grant);
}

static void
handle_start_task (struct az_agent_state *state,
                   uint32_t entry,
                   const struct az_start *start,
                   const struct az_start_task *task)
{
  struct az_agent_record *record = az_agent_record_find (state, task->id.job, task->id.task);
  int reason;

  if (is_repeated_start (state, record, entry, &task->id))
    {
      az_counters_add (state->counters, state->metrics.late_messages, 1);
      if (!record->task)
        az_agent_results_queue (state, record);
      return;
    }
  reason = check_start_conditions (state, entry, task);
  use_grant (state, entry, task->grant);
  if (reason == ACCEPTED)
    az_agent_task_start (state, entry, start, task);
  else
    az_agent_refuse (state, entry, &task->id, (az_refusal)reason);
}

void
az_agent_start_received (struct az_agent_state *state,
                         uint32_t handle,
                         const struct az_start *start)
{
  az_agent_entry_get (state, handle)->last_start_at = az_agent_now (state);
  for (u_int i = 0; i < start->tasks.tasks_len; i++)
    handle_start_task (state, handle, start, &start->tasks.tasks_val[i]);
  az_agent_demand_received (state, handle, &start->demand);
  az_agent_grants_issue (state, 0);
}
