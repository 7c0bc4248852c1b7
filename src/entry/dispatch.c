#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Limits the payload bytes of one START. The other half of the longest record is for the rest of
 * the message. */
#define START_PAYLOAD_MAX (AZ_RECORD_MAX / 2)

static struct az_entry_agent *
best_agent (struct az_entry_state *state, const struct az_entry_service *service)
{
  struct az_entry_agent *best = NULL;

  for (guint i = 0; i < service->upstream_indexes->len; i++)
    {
      struct az_entry_upstream *upstream
          = az_entry_state_upstream (state, g_array_index (service->upstream_indexes, uint32_t, i));
      struct az_entry_agent *agent
          = upstream->n_usable ? az_entry_upstream_best_agent (state, upstream) : NULL;

      if (agent && (!best || agent->n_listed_grants > best->n_listed_grants))
        best = agent;
    }
  return best;
}

/* A job of which no task has started is too late if its remaining time is at most the 10th
 * percentile of the service's run times. */
static bool
is_too_late (const struct az_entry_state *state, const struct az_entry_job *job)
{
  const struct az_entry_service *group = az_entry_state_service (state, job->group);
  int64_t remaining_us = az_time_diff_us (job->deadline, state->now);

  if (az_entry_job_has_started (job))
    return remaining_us <= 0;
  return remaining_us <= group->p10_run_us;
}

static void
drop_late_job (struct az_entry_state *state, uint32_t handle, bool has_started)
{
  if (has_started)
    {
      az_entry_job_expire (state, handle);
      return;
    }
  az_entry_count (state, state->count.dropped, 1);
  az_entry_job_answer (state, handle, AZ_OUTCOME_NOT_RUN, "deadline_cannot_be_met",
                       "the remaining time is below the usual run time");
}

static void
assign_task (struct az_entry_state *state,
             struct az_entry_job *job,
             uint32_t handle,
             struct az_entry_agent *agent,
             uint64_t grant)
{
  uint32_t index = job->waiting[--job->n_waiting];
  struct az_entry_open_attempt open = { state->next_attempt++, handle, index, job->team, grant };
  struct az_entry_task *task = &job->tasks[index];

  task->task_state = AZ_ENTRY_TASK_OPEN;
  task->attempt = open.attempt;
  task->agent = agent->handle;
  job->n_open++;
  az_entry_state_upstream (state, agent->pool)->n_open++;
  g_array_append_val (agent->open, open);
  if (!agent->batch->len)
    g_array_append_val (state->batched_agents, agent->handle);
  g_array_append_val (agent->batch, open);
  az_retry_budget_record_start (state->retry_budget);
}

/* Assigns a grant to one task of the service, or drops a job that is too late. Returns false if
 * there is no agent with a usable grant or no task that may run. */
static bool
dispatch_one (struct az_entry_state *state, uint32_t group_index)
{
  struct az_entry_service *service = az_entry_state_service (state, group_index);
  struct az_entry_agent *agent = best_agent (state, service);
  struct az_entry_job *job;
  uint32_t team = 0;
  uint32_t handle;
  uint64_t grant;

  if (!agent)
    return false;
  handle = az_team_queue_pop (state->queue, group_index, &team);
  job = az_entry_state_job (state, handle);
  if (!job)
    return false;
  if (is_too_late (state, job))
    {
      az_team_queue_push_front (state->queue, team, group_index, handle);
      drop_late_job (state, handle, az_entry_job_has_started (job));
      return true;
    }
  if (!az_entry_grants_take (state, agent, &grant))
    {
      az_team_queue_push_front (state->queue, team, group_index, handle);
      return true;
    }
  service->waiting--;
  assign_task (state, job, handle, agent, grant);
  return true;
}

static void
fill_start_task (struct az_entry_state *state,
                 const struct az_entry_open_attempt *open,
                 struct az_start_task *start)
{
  const struct az_entry_job *job = az_entry_state_job (state, open->job);
  const struct az_entry_service *group = az_entry_state_service (state, job->group);
  int64_t remaining_ms = az_time_diff_ms (job->deadline, state->now);

  start->id.job = job->id;
  start->id.task = open->task;
  start->id.attempt = open->attempt;
  start->job_tasks = job->n_tasks;
  start->grant = open->grant;
  start->remaining_ms = (uint32_t)MAX (remaining_ms, 0);
  start->timeout_ms = (uint32_t)group->policy.task_timeout_ms;
  start->payload = job->request->tasks.tasks_val[open->task].payload;
}

/* Counts the attempts from @first on that fit into one START. They must have the same team and
 * service. */
static guint
count_batchable (struct az_entry_state *state, const GArray *batch, guint first)
{
  const struct az_entry_job *head
      = az_entry_state_job (state, g_array_index (batch, struct az_entry_open_attempt, first).job);
  size_t bytes = 0;
  guint i;

  for (i = first; i < batch->len && i - first < AZ_MAX_GRANTS; i++)
    {
      const struct az_entry_open_attempt *open
          = &g_array_index (batch, struct az_entry_open_attempt, i);
      const struct az_entry_job *job = az_entry_state_job (state, open->job);

      bytes += job->request->tasks.tasks_val[open->task].payload.az_payload_len;
      if (job->team != head->team || job->group != head->group)
        break;
      if (bytes > START_PAYLOAD_MAX && i > first)
        break;
    }
  return i - first;
}

static void
send_start (struct az_entry_state *state, struct az_entry_agent *agent, guint first, guint count)
{
  const struct az_entry_open_attempt *open
      = &g_array_index (agent->batch, struct az_entry_open_attempt, first);
  const struct az_entry_job *job = az_entry_state_job (state, open->job);
  struct az_start_task *tasks = g_new (struct az_start_task, count);
  struct az_message message = { .proc = AZ_START };
  struct az_start *start = &message.az_message_u.start;

  start->team = az_entry_state_team (state, job->team)->name;
  start->service = az_entry_state_service (state, job->group)->name;
  start->tasks.tasks_len = count;
  start->tasks.tasks_val = tasks;
  for (guint i = 0; i < count; i++)
    fill_start_task (state, open + i, &tasks[i]);
  start->demand = az_entry_upstream_demand (state, az_entry_state_upstream (state, agent->pool));
  agent->demand = start->demand;
  agent->demand_sent_at = state->now;
  if (start->demand.waiting)
    az_entry_state_upstream (state, agent->pool)->has_demand = true;
  az_entry_count (state, state->count.started, count);
  az_entry_send (state, agent->connection, &message);
  g_free (tasks);
}

static void
send_batches (struct az_entry_state *state)
{
  for (guint i = 0; i < state->batched_agents->len; i++)
    {
      struct az_entry_agent *agent
          = az_entry_state_agent (state, g_array_index (state->batched_agents, uint32_t, i));
      guint count;

      for (guint first = 0; first < agent->batch->len; first += count)
        {
          count = count_batchable (state, agent->batch, first);
          send_start (state, agent, first, count);
        }
      g_array_set_size (agent->batch, 0);
    }
  g_array_set_size (state->batched_agents, 0);
}

/* Takes one task of each service in turn, so that services which share agents get equal shares. */
static void
assign_waiting_tasks (struct az_entry_state *state)
{
  uint32_t idle = 0;

  while (idle < state->services->len)
    {
      uint32_t service = state->next_service++ % state->services->len;

      if (az_entry_state_service (state, service)->waiting && dispatch_one (state, service))
        idle = 0;
      else
        idle++;
    }
}

void
az_entry_dispatch (struct az_entry_state *state)
{
  if (!state->services->len || !state->configuration)
    return;
  if (!az_entry_is_fresh (state))
    return;
  assign_waiting_tasks (state);
  send_batches (state);
  for (uint32_t i = 0; i < state->upstreams->len; i++)
    az_entry_demand_send (state, az_entry_state_upstream (state, i));
}

void
az_entry_task_delay (struct az_entry_state *state, uint32_t handle, uint32_t task, int64_t delay_ms)
{
  struct az_entry_job *job = az_entry_state_job (state, handle);
  struct az_entry_delayed_task *delayed = g_new0 (struct az_entry_delayed_task, 1);

  job->tasks[task].task_state = AZ_ENTRY_TASK_DELAYED;
  job->n_delayed++;
  delayed->job = handle;
  delayed->task = task;
  delayed->not_before = az_time_add_ms (state->now, delay_ms);
  g_queue_push_tail (&state->delayed, delayed);
}

static bool
is_delayed (const struct az_entry_job *job, uint32_t task)
{
  return job && !job->answer && job->tasks[task].task_state == AZ_ENTRY_TASK_DELAYED;
}

/* Returns a task to the front of the queue. The team queue has counted it as running since it was
 * popped. */
static void
requeue_delayed_task (struct az_entry_state *state, const struct az_entry_delayed_task *delayed)
{
  struct az_entry_job *job = az_entry_state_job (state, delayed->job);
  struct az_entry_service *group = az_entry_state_service (state, job->group);

  job->tasks[delayed->task].task_state = AZ_ENTRY_TASK_WAITING;
  job->n_delayed--;
  job->waiting[job->n_waiting++] = delayed->task;
  group->waiting++;
  g_queue_push_head (&group->arrivals, GUINT_TO_POINTER (delayed->job));
  az_team_queue_push_front (state->queue, job->team, job->group, delayed->job);
  az_entry_count (state, state->count.retried, 1);
}

void
az_entry_delayed_tasks_tick (struct az_entry_state *state)
{
  for (guint left = state->delayed.length; left; left--)
    {
      struct az_entry_delayed_task *delayed = g_queue_pop_head (&state->delayed);

      if (!is_delayed (az_entry_state_job (state, delayed->job), delayed->task))
        {
          g_free (delayed);
          continue;
        }
      if (az_time_compare (state->now, delayed->not_before) < 0)
        {
          g_queue_push_tail (&state->delayed, delayed);
          continue;
        }
      if (!az_retry_budget_take (state->retry_budget))
        {
          g_queue_push_head (&state->delayed, delayed);
          return;
        }
      requeue_delayed_task (state, delayed);
      g_free (delayed);
    }
}
