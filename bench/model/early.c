#include "model.h"

/*
 * Policies that bind a task to an agent when it is submitted: a random agent, the less loaded one
 * of two probed agents, or the least loaded one by the entry's own, possibly stale, view. Tasks
 * wait in a queue at the agent.
 */

struct early_state
{
  GQueue queues[MODEL_AGENTS_MAX]; /* waiting (task, entry) pairs at agents */
  /* load of agents as known to each entry: the last one reported, plus its own starts since */
  int64_t load_views[MODEL_ENTRIES_MAX][MODEL_AGENTS_MAX];
};

struct waiting_task
{
  uint32_t task;
  uint32_t entry;
};

static struct early_state *
state_of (const struct model *model)
{
  return model->state;
}

static void
early_create (struct model *model)
{
  struct early_state *state = g_new0 (struct early_state, 1);

  for (uint32_t i = 0; i < MODEL_AGENTS_MAX; i++)
    g_queue_init (&state->queues[i]);
  model->state = state;
}

static void
early_destroy (struct model *model)
{
  for (uint32_t i = 0; i < MODEL_AGENTS_MAX; i++)
    g_queue_clear_full (&state_of (model)->queues[i], g_free);
  g_free (model->state);
}

static int64_t
agent_load (const struct model *model, uint32_t agent)
{
  return model->agents[agent].busy + state_of (model)->queues[agent].length;
}

static void
start_queued_tasks (struct model *model, uint32_t agent)
{
  GQueue *queue = &state_of (model)->queues[agent];

  while (queue->length && model->agents[agent].busy < model->agents[agent].usable_slots)
    {
      struct waiting_task *waiting_task = g_queue_pop_head (queue);

      model_start_task (model, agent, waiting_task->entry, waiting_task->task);
      g_free (waiting_task);
    }
}

static void
place_task (struct model *model, uint32_t entry, uint32_t task);

static void
receive_refused (struct model *model, const struct model_event *event)
{
  place_task (model, event->to, event->task);
}

static void
send_refused (struct model *model, uint32_t agent, uint32_t entry, uint32_t task)
{
  model_send (model, MODEL_REFUSED,
              &(struct model_event){ .handler = receive_refused,
                                     .from = model_node_of_agent (agent),
                                     .to = entry,
                                     .task = task });
}

static void
receive_start (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->to);
  struct waiting_task *waiting_task;

  if (!model->agents[agent].in_service)
    {
      send_refused (model, agent, event->from, event->task);
      return;
    }
  waiting_task = g_new (struct waiting_task, 1);
  *waiting_task = (struct waiting_task){ event->task, event->from };
  g_queue_push_tail (&state_of (model)->queues[agent], waiting_task);
  start_queued_tasks (model, agent);
}

static void
send_start (struct model *model, uint32_t entry, uint32_t agent, uint32_t task)
{
  state_of (model)->load_views[entry][agent]++;
  if (model->config.use_ejector)
    az_ejector_record_start (model->ejectors[entry], agent);
  model_send (model, MODEL_START,
              &(struct model_event){ .handler = receive_start,
                                     .from = entry,
                                     .to = model_node_of_agent (agent),
                                     .task = task });
}

static bool
is_usable (struct model *model, uint32_t entry, uint32_t agent)
{
  if (!model->agents[agent].in_service)
    return false;
  return !model->config.use_ejector || az_ejector_can_start (model->ejectors[entry], agent);
}

static uint32_t
choose_random_agent (struct model *model, uint32_t entry)
{
  uint32_t agent;

  do
    agent = (uint32_t)g_rand_int_range (model->random, 0, (gint32)model->config.agents);
  while (!is_usable (model, entry, agent));
  return agent;
}

static uint32_t
choose_least_loaded_agent (struct model *model, uint32_t entry)
{
  const int64_t *load_views = state_of (model)->load_views[entry];
  uint32_t best = choose_random_agent (model, entry);

  for (uint32_t agent = 0; agent < model->config.agents; agent++)
    if (load_views[agent] < load_views[best] && is_usable (model, entry, agent))
      best = agent;
  return best;
}

/* Both probe replies of a task arrive in one event. */
static void
receive_replies (struct model *model, const struct model_event *event)
{
  uint32_t chosen = (uint32_t)(event->a >> 32 <= event->b >> 32 ? event->a : event->b);

  send_start (model, event->to, chosen, event->task);
}

static void
answer_probes (struct model *model, const struct model_event *event)
{
  uint32_t first = (uint32_t)event->a;
  uint32_t second = (uint32_t)event->b;
  struct model_event reply = { .handler = receive_replies, .to = event->from, .task = event->task };

  reply.a = agent_load (model, first) << 32 | first;
  reply.b = agent_load (model, second) << 32 | second;
  reply.from = model_node_of_agent (first);
  model_send (model, MODEL_REPLY, &reply);
  /* The second reply arrives at the same time and is only counted. */
  model->messages[MODEL_REPLY]++;
}

static void
probe_two (struct model *model, uint32_t entry, uint32_t task)
{
  uint32_t first = choose_random_agent (model, entry);
  uint32_t second = choose_random_agent (model, entry);

  model->messages[MODEL_PROBE]++;
  model_send (model, MODEL_PROBE,
              &(struct model_event){ .handler = answer_probes,
                                     .from = entry,
                                     .to = model_node_of_agent (first),
                                     .task = task,
                                     .a = first,
                                     .b = second });
}

static void
place_task (struct model *model, uint32_t entry, uint32_t task)
{
  if (model->config.policy == MODEL_RANDOM)
    send_start (model, entry, choose_random_agent (model, entry), task);
  else if (model->config.policy == MODEL_TWO_CHOICES)
    probe_two (model, entry, task);
  else
    send_start (model, entry, choose_least_loaded_agent (model, entry), task);
}

static void
early_submit (struct model *model, uint32_t entry, uint32_t job)
{
  const struct az_workload_job *row = &model->workload->jobs[job];

  for (uint32_t task = 0; task < row->n_tasks; task++)
    place_task (model, entry, row->first_task + task);
}

static void
receive_view (struct model *model, const struct model_event *event)
{
  state_of (model)->load_views[event->to][model_agent_of_node (event->from)] = event->a;
}

static void
early_task_finished (struct model *model, uint32_t agent, uint32_t entry, uint32_t task)
{
  start_queued_tasks (model, agent);
  /* The load is part of the RESULT message. */
  model_schedule (model, model->config.delay_us,
                  &(struct model_event){ .handler = receive_view,
                                         .from = model_node_of_agent (agent),
                                         .to = entry,
                                         .a = agent_load (model, agent) });
}

static void
early_agent_changed (struct model *model, uint32_t agent)
{
  GQueue *queue = &state_of (model)->queues[agent];

  if (!model->agents[agent].in_service)
    {
      while (queue->length)
        {
          struct waiting_task *waiting_task = g_queue_pop_head (queue);

          send_refused (model, agent, waiting_task->entry, waiting_task->task);
          g_free (waiting_task);
        }
      return;
    }
  for (uint32_t entry = 0; entry < model->config.entries; entry++)
    state_of (model)->load_views[entry][agent] = agent_load (model, agent);
  start_queued_tasks (model, agent);
}

static void
early_result_received (struct model *model, uint32_t entry, uint32_t agent)
{
}

const struct model_policy_ops model_early_binding
    = { early_create,        early_destroy,       early_submit,
        early_task_finished, early_agent_changed, early_result_received };
