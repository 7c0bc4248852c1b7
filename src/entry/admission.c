#include "azurerock/job_id.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Run times are not estimated from fewer observations than this. */
#define ESTIMATE_MIN_COUNT 20

#define P10_PER_MILLE 100

/* After this time agents have answered DEMAND with the grants that they can give. It is several
 * times the interval between DEMANDs and the usual run time of a task. */
#define DEMAND_SETTLED_MS 500

/* Applies to a job whose service this entry doesn't know. */
#define DEADLINE_DEFAULT_MS 10000

static struct az_entry_group *
find_group (const struct az_entry_board *board, const char *service, uint32_t *index)
{
  void *found;
  struct az_entry_group *group;

  if (!g_hash_table_lookup_extended (board->group_by_name, service, NULL, &found))
    return NULL;
  *index = GPOINTER_TO_UINT (found);
  group = az_entry_board_group (board, *index);
  return group->configured ? group : NULL;
}

static const struct az_entry_team *
find_team (const struct az_entry_board *board, const char *name, uint32_t *index)
{
  void *found;
  const struct az_entry_team *team;

  if (!g_hash_table_lookup_extended (board->team_by_name, name, NULL, &found))
    return NULL;
  *index = GPOINTER_TO_UINT (found);
  team = az_entry_board_team (board, *index);
  return team->configured ? team : NULL;
}

int64_t
az_entry_deadline_ms (const struct az_entry_board *board, const struct az_submit *submit)
{
  uint32_t index;
  const struct az_entry_group *group = find_group (board, submit->service, &index);

  if (!group)
    return submit->deadline_ms ? submit->deadline_ms : DEADLINE_DEFAULT_MS;
  if (!submit->deadline_ms)
    return group->policy.deadline_default_ms;
  return MIN (submit->deadline_ms, group->policy.deadline_max_ms);
}

static bool
has_capacity (const struct az_entry_board *board, const struct az_entry_group *group)
{
  for (guint i = 0; i < group->pools->len; i++)
    if (az_entry_board_pool (board, g_array_index (group->pools, uint32_t, i))->in_service)
      return true;
  return false;
}

/* Counts the slots that serve the queue of a service. At the start of a burst an entry holds few
 * grants, so all connected slots count. Once a task has waited longer than DEMAND_SETTLED_MS, the
 * agents have granted all slots that other entries leave, so only slots in use and granted ones
 * count. */
static uint64_t
count_slots (struct az_entry_board *board, struct az_entry_group *group)
{
  bool is_saturated = az_entry_group_oldest_age_ms (board, group) > DEMAND_SETTLED_MS;
  uint64_t slots = 0;

  for (guint i = 0; i < group->pools->len; i++)
    {
      const struct az_entry_pool *pool
          = az_entry_board_pool (board, g_array_index (group->pools, uint32_t, i));

      slots += is_saturated ? pool->n_open + pool->n_usable : pool->connected_slots;
    }
  return slots;
}

void
az_entry_estimates_tick (struct az_entry_board *board)
{
  for (uint32_t i = 0; i < board->groups->len; i++)
    {
      struct az_entry_group *group = az_entry_board_group (board, i);

      if (az_run_time_count (group->run_times) < ESTIMATE_MIN_COUNT)
        continue;
      group->min_run_us = az_run_time_quantile_us (group->run_times, 0);
      group->p10_run_us = az_run_time_quantile_us (group->run_times, P10_PER_MILLE);
    }
}

static bool
can_meet_deadline (struct az_entry_board *board,
                   struct az_entry_group *group,
                   const struct az_submit *submit)
{
  int64_t deadline_us = az_entry_deadline_ms (board, submit) * 1000;
  uint64_t slots = count_slots (board, group);

  if (!group->min_run_us || !slots)
    return true;
  if (group->min_run_us > deadline_us)
    return false;
  return az_run_time_wait_us (group->run_times, group->waiting, submit->tasks.tasks_len, slots)
         <= deadline_us;
}

static const char *
check_size (const struct az_entry_group *group, const struct az_submit *submit, const char **text)
{
  if (!submit->tasks.tasks_len)
    {
      *text = "a job needs at least one task";
      return "invalid_request";
    }
  if (submit->tasks.tasks_len > group->policy.max_tasks_per_job)
    {
      *text = "more tasks than the policy of the service allows";
      return "too_many_tasks";
    }
  for (uint32_t i = 0; i < submit->tasks.tasks_len; i++)
    if (submit->tasks.tasks_val[i].payload.az_payload_len > group->policy.max_payload_bytes)
      {
        *text = "a payload is longer than the policy of the service allows";
        return "payload_too_large";
      }
  return NULL;
}

static const char *
check_load (struct az_entry_board *board,
            struct az_entry_group *group,
            const struct az_submit *submit,
            const char **text)
{
  if (!has_capacity (board, group))
    {
      *text = "no upstream of the service is in service";
      return "no_capacity";
    }
  if (!az_entry_is_fresh (board))
    {
      *text = "no evidence that the configuration is the newest";
      return "no_fresh_evidence";
    }
  if (group->waiting + submit->tasks.tasks_len > group->policy.max_queued_tasks)
    {
      *text = "the queue of the service is full";
      return "queue_full";
    }
  if (!can_meet_deadline (board, group, submit))
    {
      *text = "the expected completion is after the deadline";
      return "deadline_cannot_be_met";
    }
  return NULL;
}

const char *
az_entry_check_admission (struct az_entry_board *board,
                          const struct az_submit *submit,
                          uint32_t *team,
                          uint32_t *group,
                          const char **text)
{
  const struct az_entry_team *team_row = find_team (board, submit->team, team);
  struct az_entry_group *group_row = find_group (board, submit->service, group);
  const char *code;

  *text = submit->team;
  if (!team_row)
    return "unknown_team";
  *text = submit->service;
  if (!group_row)
    return "unknown_service";
  if (!g_hash_table_contains (team_row->services, GUINT_TO_POINTER (*group + 1)))
    return "team_not_allowed";
  code = check_size (group_row, submit, text);
  return code ? code : check_load (board, group_row, submit, text);
}
