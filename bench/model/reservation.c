#include "reservation.h"

static void
create (struct model *model)
{
  struct reservation_state *state = g_new0 (struct reservation_state, 1);

  model->state = state;
  for (uint32_t i = 0; i < model->config.entries; i++)
    {
      struct entry_state *entry = &state->entries[i];

      entry->queue = az_team_queue_create ();
      az_team_queue_set_team (entry->queue, RESERVATION_TEAM, 1, UINT32_MAX, UINT32_MAX);
      entry->next_task = g_hash_table_new (g_direct_hash, g_direct_equal);
      g_queue_init (&entry->refused_tasks);
      g_queue_init (&entry->waiting_jobs);
    }
  for (uint32_t agent = 0; agent < model->config.agents; agent++)
    reservation_agent_allocate (model, agent, MODEL_ENTRIES_MAX);
}

static void
destroy (struct model *model)
{
  struct reservation_state *state = model->state;

  for (uint32_t i = 0; i < model->config.entries; i++)
    {
      az_team_queue_destroy (state->entries[i].queue);
      g_hash_table_unref (state->entries[i].next_task);
      g_queue_clear (&state->entries[i].refused_tasks);
      g_queue_clear (&state->entries[i].waiting_jobs);
      for (uint32_t agent = 0; agent < model->config.agents; agent++)
        g_queue_clear (&state->sides[agent][i].granted_at_us);
    }
  g_free (state);
}

static void
submit (struct model *model, uint32_t entry, uint32_t job)
{
  struct entry_state *state = &reservation_of (model)->entries[entry];
  uint32_t handle = job + 1;

  g_queue_push_tail (&state->waiting_jobs, GUINT_TO_POINTER (handle));
  az_team_queue_push (state->queue, RESERVATION_TEAM, RESERVATION_GROUP, handle,
                      model->workload->jobs[job].n_tasks);
  reservation_entry_dispatch (model, entry);
}

static void
task_finished (struct model *model, uint32_t agent, uint32_t entry, uint32_t task)
{
  reservation_agent_allocate (model, agent, entry);
}

static void
result_received (struct model *model, uint32_t entry, uint32_t agent)
{
  az_team_queue_record_finish (reservation_of (model)->entries[entry].queue, RESERVATION_TEAM);
  reservation_entry_dispatch (model, entry);
}

const struct model_policy_ops model_reservation
    = { create, destroy, submit, task_finished, reservation_agent_changed, result_received };
