#include "model.h"

/* Ideal central queue without delays: each free slot gets the oldest waiting task. */

struct central_state
{
  GQueue waiting; /* tasks */
};

static GQueue *
queue_of (const struct model *model)
{
  return &((struct central_state *)model->state)->waiting;
}

static void
dispatch (struct model *model)
{
  GQueue *queue = queue_of (model);

  for (uint32_t agent = 0; agent < model->config.agents; agent++)
    {
      const struct model_agent *row = &model->agents[agent];

      while (queue->length && row->in_service && row->busy < row->usable_slots)
        {
          uint32_t task = GPOINTER_TO_UINT (g_queue_pop_head (queue));

          model_start_task (model, agent, model->jobs[model->task_jobs[task]].entry, task);
        }
    }
}

static void
create (struct model *model)
{
  model->state = g_new0 (struct central_state, 1);
  g_queue_init (queue_of (model));
}

static void
destroy (struct model *model)
{
  g_queue_clear (queue_of (model));
  g_free (model->state);
}

static void
submit (struct model *model, uint32_t entry, uint32_t job)
{
  const struct az_workload_job *row = &model->workload->jobs[job];

  for (uint32_t task = 0; task < row->n_tasks; task++)
    g_queue_push_tail (queue_of (model), GUINT_TO_POINTER (row->first_task + task));
  dispatch (model);
}

static void
task_finished (struct model *model, uint32_t agent, uint32_t entry, uint32_t task)
{
  dispatch (model);
}

static void
agent_changed (struct model *model, uint32_t agent)
{
  dispatch (model);
}

static void
result_received (struct model *model, uint32_t entry, uint32_t agent)
{
}

const struct model_policy_ops model_central
    = { create, destroy, submit, task_finished, agent_changed, result_received };
