#include "reservation.h"

static struct entry_state *
entry_of (const struct model *model, uint32_t entry)
{
  return &reservation_of (model)->entries[entry];
}

static uint32_t
count_waiting_tasks (struct entry_state *entry)
{
  return az_team_queue_waiting (entry->queue, RESERVATION_TEAM) + entry->refused_tasks.length;
}

static uint32_t
next_task (const struct model *model, struct entry_state *entry)
{
  uint32_t team;
  uint32_t handle;
  uint32_t index;

  if (entry->refused_tasks.length)
    return GPOINTER_TO_UINT (g_queue_pop_head (&entry->refused_tasks));
  handle = az_team_queue_pop (entry->queue, RESERVATION_GROUP, &team);
  index = GPOINTER_TO_UINT (g_hash_table_lookup (entry->next_task, GUINT_TO_POINTER (handle)));
  g_hash_table_insert (entry->next_task, GUINT_TO_POINTER (handle), GUINT_TO_POINTER (index + 1));
  if (index + 1 == model->workload->jobs[handle - 1].n_tasks)
    {
      g_hash_table_remove (entry->next_task, GUINT_TO_POINTER (handle));
      g_queue_pop_head (&entry->waiting_jobs);
    }
  return model->workload->jobs[handle - 1].first_task + index;
}

static int64_t
oldest_arrival_us (const struct model *model, const struct entry_state *entry)
{
  if (entry->refused_tasks.length)
    {
      uint32_t task = GPOINTER_TO_UINT (entry->refused_tasks.head->data);

      return model->workload->jobs[model->task_jobs[task]].arrival_us;
    }
  if (!entry->waiting_jobs.length)
    return model->now_us;
  return model->workload->jobs[GPOINTER_TO_UINT (entry->waiting_jobs.head->data) - 1].arrival_us;
}

/* Returns the usable agent with the most idle grants, or the number of agents if there is none. */
static uint32_t
choose_agent (struct model *model, uint32_t entry)
{
  struct entry_side *sides = entry_of (model, entry)->agents;
  uint32_t best = model->config.agents;

  for (uint32_t agent = 0; agent < model->config.agents; agent++)
    {
      if (!sides[agent].grants || (best < agent && sides[agent].grants <= sides[best].grants))
        continue;
      if (!model->agents[agent].in_service)
        continue;
      if (model->config.use_ejector && !az_ejector_can_start (model->ejectors[entry], agent))
        continue;
      best = agent;
    }
  return best;
}

/* Returns the number of agents from which an entry without grants requests grants. */
static uint32_t
max_requested_agents (const struct model *model, struct entry_state *entry)
{
  uint64_t wanted = (uint64_t)model->config.demand_fanout * count_waiting_tasks (entry);

  if (!model->config.demand_fanout)
    return model->config.agents;
  return (uint32_t)MIN (wanted, model->config.agents);
}

static uint32_t
demand_per_agent (const struct model *model, struct entry_state *entry)
{
  uint32_t waiting = count_waiting_tasks (entry);
  uint32_t agents = MAX (max_requested_agents (model, entry), 1);

  return model->config.split_demand ? (waiting + agents - 1) / agents : waiting;
}

static struct model_event
create_agent_event (const struct model *model, uint32_t entry, uint32_t agent)
{
  return (struct model_event){ .from = entry,
                               .to = model_node_of_agent (agent),
                               .epoch = entry_of (model, entry)->agents[agent].epoch,
                               .a = demand_per_agent (model, entry_of (model, entry)),
                               .b = oldest_arrival_us (model, entry_of (model, entry)) };
}

static uint32_t
count_requested_agents (const struct model *model, const struct entry_state *entry)
{
  uint32_t n = 0;

  for (uint32_t agent = 0; agent < model->config.agents; agent++)
    n += entry->agents[agent].requested > 0 && model->agents[agent].in_service;
  return n;
}

static void
request_grants (struct model *model, uint32_t entry, uint32_t agent)
{
  struct entry_state *state = entry_of (model, entry);
  struct model_event event = create_agent_event (model, entry, agent);

  if (state->agents[agent].requested || !model->agents[agent].in_service)
    return;
  event.handler = reservation_agent_demand;
  state->agents[agent].requested = (uint32_t)event.a;
  model_send (model, MODEL_DEMAND, &event);
}

/* Sends DEMAND to agents that have granted all that this entry requested. */
static void
send_demand (struct model *model, uint32_t entry)
{
  struct entry_state *state = entry_of (model, entry);
  uint32_t agents = model->config.agents;
  uint32_t first = (uint32_t)g_rand_int_range (model->random, 0, (gint32)agents);
  uint32_t wanted = max_requested_agents (model, state);
  uint32_t requested = count_requested_agents (model, state);

  if (!count_waiting_tasks (state))
    return;
  for (uint32_t i = 0; i < agents && requested < wanted; i++)
    {
      uint32_t agent = (first + i) % agents;

      requested += !state->agents[agent].requested;
      request_grants (model, entry, agent);
    }
}

struct binding
{
  uint32_t agent;
  uint32_t task;
};

static void
send_start (struct model *model, uint32_t entry, const struct binding *binding)
{
  struct model_event event = create_agent_event (model, entry, binding->agent);

  event.handler = reservation_agent_start;
  event.task = binding->task;
  entry_of (model, entry)->agents[binding->agent].requested = (uint32_t)event.a;
  model_send (model, MODEL_START, &event);
}

/* Binds tasks to grants first, so that each START carries the demand that remains. */
void
reservation_entry_dispatch (struct model *model, uint32_t entry)
{
  struct entry_state *state = entry_of (model, entry);
  GArray *bindings = g_array_new (FALSE, FALSE, sizeof (struct binding));

  while (count_waiting_tasks (state))
    {
      struct binding binding = { .agent = choose_agent (model, entry) };

      if (binding.agent == model->config.agents)
        break;
      binding.task = next_task (model, state);
      state->agents[binding.agent].grants--;
      if (model->config.use_ejector)
        az_ejector_record_start (model->ejectors[entry], binding.agent);
      g_array_append_val (bindings, binding);
    }
  for (guint i = 0; i < bindings->len; i++)
    send_start (model, entry, &g_array_index (bindings, struct binding, i));
  g_array_unref (bindings);
  send_demand (model, entry);
}

static void
send_return (struct model *model, uint32_t entry, uint32_t agent, uint32_t n)
{
  struct model_event event = create_agent_event (model, entry, agent);

  event.handler = reservation_agent_return;
  event.a = n;
  entry_of (model, entry)->agents[agent].grants -= n;
  model_send (model, MODEL_RETURN, &event);
}

void
reservation_entry_grant (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->from);
  struct entry_side *side = &entry_of (model, event->to)->agents[agent];
  bool answers_demand = side->requested > 0;

  if (side->epoch != event->epoch)
    *side = (struct entry_side){ .epoch = event->epoch };
  side->grants += (uint32_t)event->a;
  side->requested -= MIN (side->requested, (uint32_t)event->a);
  reservation_entry_dispatch (model, event->to);
  if (model->config.return_unneeded && side->grants && answers_demand && event->b)
    send_return (model, event->to, agent, 1);
}

void
reservation_entry_recall (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->from);
  struct entry_side *side = &entry_of (model, event->to)->agents[agent];
  uint32_t n = MIN (side->grants, (uint32_t)event->a);

  if (side->epoch == event->epoch && n)
    send_return (model, event->to, agent, n);
}

void
reservation_entry_refused (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->from);
  struct entry_state *state = entry_of (model, event->to);

  az_team_queue_record_finish (state->queue, RESERVATION_TEAM);
  state->agents[agent].grants = 0;
  state->agents[agent].requested = 0;
  g_queue_push_tail (&state->refused_tasks, GUINT_TO_POINTER (event->task));
  reservation_entry_dispatch (model, event->to);
}
