#include "azurerock/job_id.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Run times are not estimated from fewer observations than this, because the estimates would be
 * unreliable. */
#define ESTIMATE_MIN_COUNT 20

#define P10_PER_MILLE 100

/* After this time agents are assumed to have answered DEMAND with the grants that they can give. It
 * is several times the interval between DEMANDs and the usual run time of a task. */
#define DEMAND_SETTLED_MS 500

/* Applies to a job whose service this entry doesn't know. */
#define DEADLINE_DEFAULT_MS 10000

static struct az_entry_service *
find_service (const struct az_entry_state *state, const char *service_name, uint32_t *index)
{
  void *found;
  struct az_entry_service *service;

  if (!g_hash_table_lookup_extended (state->service_by_name, service_name, NULL, &found))
    return NULL;
  *index = GPOINTER_TO_UINT (found);
  service = az_entry_state_service (state, *index);
  return service->configured ? service : NULL;
}

static const struct az_entry_team *
find_team (const struct az_entry_state *state, const char *name, uint32_t *index)
{
  void *found;
  const struct az_entry_team *team;

  if (!g_hash_table_lookup_extended (state->team_by_name, name, NULL, &found))
    return NULL;
  *index = GPOINTER_TO_UINT (found);
  team = az_entry_state_team (state, *index);
  return team->configured ? team : NULL;
}

int64_t
az_entry_deadline_ms (const struct az_entry_state *state, const struct az_submit *submit)
{
  uint32_t index;
  const struct az_entry_service *service_row = find_service (state, submit->service, &index);

  if (!service_row)
    return submit->deadline_ms ? submit->deadline_ms : DEADLINE_DEFAULT_MS;
  if (!submit->deadline_ms)
    return service_row->policy.deadline_default_ms;
  return MIN (submit->deadline_ms, service_row->policy.deadline_max_ms);
}

static bool
has_capacity (const struct az_entry_state *state, const struct az_entry_service *service)
{
  for (guint i = 0; i < service->upstream_indexes->len; i++)
    if (az_entry_state_upstream (state, g_array_index (service->upstream_indexes, uint32_t, i))
            ->in_service)
      return true;
  return false;
}

/* Counts the slots that serve the queue of a service. At the start of a burst an entry holds few
 * grants, so all slots of connected agents count. Once a task has waited longer than
 * DEMAND_SETTLED_MS, the agents are assumed to have granted this entry every slot that other
 * entries don't need. Then only slots with a task or a usable grant of this entry count. */
static uint64_t
count_slots (struct az_entry_state *state, struct az_entry_service *service)
{
  bool is_saturated = az_entry_service_oldest_age_ms (state, service) > DEMAND_SETTLED_MS;
  uint64_t slots = 0;

  for (guint i = 0; i < service->upstream_indexes->len; i++)
    {
      const struct az_entry_upstream *upstream
          = az_entry_state_upstream (state, g_array_index (service->upstream_indexes, uint32_t, i));

      slots += is_saturated ? upstream->n_open + upstream->n_usable : upstream->connected_slots;
    }
  return slots;
}

void
az_entry_estimates_tick (struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->services->len; i++)
    {
      struct az_entry_service *service = az_entry_state_service (state, i);

      if (az_run_time_count (service->run_times) < ESTIMATE_MIN_COUNT)
        continue;
      service->min_run_us = az_run_time_quantile_us (service->run_times, 0);
      service->p10_run_us = az_run_time_quantile_us (service->run_times, P10_PER_MILLE);
    }
}

static bool
can_meet_deadline (struct az_entry_state *state,
                   struct az_entry_service *service,
                   const struct az_submit *submit)
{
  int64_t deadline_us = az_entry_deadline_ms (state, submit) * 1000;
  uint64_t slots = count_slots (state, service);

  if (!service->min_run_us || !slots)
    return true;
  if (service->min_run_us > deadline_us)
    return false;
  return az_run_time_wait_us (service->run_times, service->waiting, submit->tasks.tasks_len, slots)
         <= deadline_us;
}

static const char *
check_size (const struct az_entry_service *service,
            const struct az_submit *submit,
            const char **text)
{
  if (!submit->tasks.tasks_len)
    {
      *text = "a job needs at least one task";
      return "invalid_request";
    }
  if (submit->tasks.tasks_len > service->policy.max_tasks_per_job)
    {
      *text = "more tasks than the policy of the service allows";
      return "too_many_tasks";
    }
  for (uint32_t i = 0; i < submit->tasks.tasks_len; i++)
    if (submit->tasks.tasks_val[i].payload.az_payload_len > service->policy.max_payload_bytes)
      {
        *text = "a payload is longer than the policy of the service allows";
        return "payload_too_large";
      }
  return NULL;
}

static const char *
check_load (struct az_entry_state *state,
            struct az_entry_service *service,
            const struct az_submit *submit,
            const char **text)
{
  if (!has_capacity (state, service))
    {
      *text = "no upstream of the service is in service";
      return "no_capacity";
    }
  if (!az_entry_is_fresh (state))
    {
      *text = "no evidence that the configuration is the newest";
      return "no_fresh_evidence";
    }
  if (service->waiting + submit->tasks.tasks_len > service->policy.max_queued_tasks)
    {
      *text = "the queue of the service is full";
      return "queue_full";
    }
  if (!can_meet_deadline (state, service, submit))
    {
      *text = "the expected completion is after the deadline";
      return "deadline_cannot_be_met";
    }
  return NULL;
}

const char *
az_entry_check_admission (struct az_entry_state *state,
                          const struct az_submit *submit,
                          uint32_t *team,
                          uint32_t *service_index,
                          const char **text)
{
  const struct az_entry_team *team_row = find_team (state, submit->team, team);
  struct az_entry_service *service_row = find_service (state, submit->service, service_index);
  const char *code;

  *text = submit->team;
  if (!team_row)
    return "unknown_team";
  *text = submit->service;
  if (!service_row)
    return "unknown_service";
  if (!g_hash_table_contains (team_row->services, GUINT_TO_POINTER (*service_index + 1)))
    return "team_not_allowed";
  code = check_size (service_row, submit, text);
  return code ? code : check_load (state, service_row, submit, text);
}
