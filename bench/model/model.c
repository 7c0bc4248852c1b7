#include "model.h"

#define WORK_BIN_US 100000

/* Time after a restore during which half of the slots are usable (design page, section 5.4). */
#define RAMP_UP_US 500000

static const struct model_policy_ops *
policy_ops (const struct model *model)
{
  if (model->config.policy == MODEL_CENTRAL)
    return &model_central;
  return model->config.policy == MODEL_RESERVATION ? &model_reservation : &model_early_binding;
}

static void
read_clock (void *context, struct timespec *now)
{
  *now = az_time_from_ns (((const struct model *)context)->now_us * 1000);
}

static int
compare_events (const void *a, const void *b, void *context)
{
  const struct model_event *x = a;
  const struct model_event *y = b;

  if (x->time_us != y->time_us)
    return x->time_us < y->time_us ? -1 : 1;
  return x->serial < y->serial ? -1 : 1;
}

void
model_schedule (struct model *model, int64_t delay_us, const struct model_event *event)
{
  struct model_event *copy = g_new (struct model_event, 1);

  *copy = *event;
  copy->time_us = model->now_us + delay_us;
  copy->serial = model->next_serial++;
  g_sequence_insert_sorted (model->events, copy, compare_events, NULL);
}

void
model_send (struct model *model, enum model_message kind, const struct model_event *event)
{
  int64_t *last = &model->last_sent_us[kind][event->from][event->to];

  if (*last != model->now_us + 1)
    model->messages[kind]++;
  *last = model->now_us + 1; /* 0 means never sent */
  model_schedule (model, model->config.delay_us, event);
}

static void
add_busy_time (struct model *model, int64_t run_us)
{
  int64_t from = model->now_us;
  int64_t end = from + run_us;

  if (model->busy_slot_us->len <= end / WORK_BIN_US)
    g_array_set_size (model->busy_slot_us, (guint)(end / WORK_BIN_US + 1));
  while (from < end)
    {
      int64_t bin = from / WORK_BIN_US;
      int64_t until = MIN (end, (bin + 1) * WORK_BIN_US);

      g_array_index (model->busy_slot_us, int64_t, bin) += until - from;
      from = until;
    }
}

static bool
is_failing (const struct model *model, uint32_t agent)
{
  return agent < model->config.failing_agents;
}

static void
receive_result (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->from);
  uint32_t job = model->task_jobs[event->task];
  struct model_job *row = &model->jobs[job];

  if (model->config.use_ejector)
    az_ejector_report (model->ejectors[event->to], agent, !is_failing (model, agent));
  if (--row->remaining_tasks == 0)
    row->response_us = model->now_us - model->workload->jobs[job].arrival_us;
  policy_ops (model)->result_received (model, event->to, agent);
}

static void
finish_task (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->from);

  model->agents[agent].busy--;
  model_send (
      model, MODEL_RESULT,
      &(struct model_event){
          .handler = receive_result, .from = event->from, .to = event->to, .task = event->task });
  policy_ops (model)->task_finished (model, agent, event->to, event->task);
}

void
model_start_task (struct model *model, uint32_t agent, uint32_t entry, uint32_t task)
{
  bool failing = is_failing (model, agent);
  int64_t run_us = failing ? 1000 : model->workload->run_times_us[task];

  model->agents[agent].busy++;
  model->starts++;
  model->failed_starts += failing;
  if (model->now_us > 1000000)
    {
      model->starts_after_1s++;
      model->failed_starts_after_1s += failing;
    }
  if (!failing)
    add_busy_time (model, run_us);
  model_schedule (
      model, run_us,
      &(struct model_event){
          .handler = finish_task, .from = model_node_of_agent (agent), .to = entry, .task = task });
}

static void
submit_job (struct model *model, const struct model_event *event)
{
  uint32_t next = event->task + 1;

  policy_ops (model)->submit (model, model->jobs[event->task].entry, event->task);
  if (next < model->workload->n_jobs)
    model_schedule (model, model->workload->jobs[next].arrival_us - model->now_us,
                    &(struct model_event){ .handler = submit_job, .task = next });
}

static void
end_ramp_up (struct model *model, const struct model_event *event)
{
  model->agents[event->to].usable_slots = model->config.slots;
  policy_ops (model)->agent_changed (model, event->to);
}

static void
set_agents_in_service (struct model *model, const struct model_event *event)
{
  for (uint32_t i = 0; i < model->config.withdrawn_agents; i++)
    {
      struct model_agent *agent = &model->agents[i];

      agent->in_service = event->a;
      agent->epoch += !event->a;
      if (event->a && model->config.ramp_up)
        {
          agent->usable_slots = model->config.slots / 2;
          model_schedule (model, RAMP_UP_US,
                          &(struct model_event){ .handler = end_ramp_up, .to = i });
        }
      policy_ops (model)->agent_changed (model, i);
    }
}

static void
create_agents (struct model *model)
{
  for (uint32_t i = 0; i < model->config.agents; i++)
    model->agents[i]
        = (struct model_agent){ .in_service = true, .usable_slots = model->config.slots };
  for (uint32_t i = 0; i < model->config.entries; i++)
    {
      model->ejectors[i] = az_ejector_create (&model->clock);
      for (uint32_t agent = 0; agent < model->config.agents; agent++)
        az_ejector_add (model->ejectors[i], agent);
    }
}

static void
create_jobs (struct model *model)
{
  const struct az_workload *workload = model->workload;

  model->jobs = g_new0 (struct model_job, workload->n_jobs);
  model->task_jobs = g_new0 (uint32_t, workload->n_tasks);
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    {
      const struct az_workload_job *job = &workload->jobs[i];

      model->jobs[i].entry
          = (uint32_t)g_rand_int_range (model->random, 0, (gint32)model->config.entries);
      model->jobs[i].remaining_tasks = job->n_tasks;
      for (uint32_t task = 0; task < job->n_tasks; task++)
        model->task_jobs[job->first_task + task] = i;
    }
}

struct model *
model_create (const struct model_config *config, const struct az_workload *workload)
{
  struct model *model = g_new0 (struct model, 1);

  model->config = *config;
  model->workload = workload;
  model->random = g_rand_new_with_seed (config->seed);
  model->events = g_sequence_new (g_free);
  model->busy_slot_us = g_array_new (FALSE, TRUE, sizeof (int64_t));
  model->clock = (struct az_clock){ .monotonic = read_clock, .context = model };
  create_agents (model);
  create_jobs (model);
  policy_ops (model)->create (model);
  return model;
}

static void
schedule_scenario (struct model *model)
{
  if (model->workload->n_jobs)
    model_schedule (model, model->workload->jobs[0].arrival_us,
                    &(struct model_event){ .handler = submit_job, .task = 0 });
  if (!model->config.withdraw_us)
    return;
  model_schedule (model, model->config.withdraw_us,
                  &(struct model_event){ .handler = set_agents_in_service, .a = 0 });
  model_schedule (model, model->config.restore_us,
                  &(struct model_event){ .handler = set_agents_in_service, .a = 1 });
}

void
model_run (struct model *model)
{
  schedule_scenario (model);
  while (!g_sequence_is_empty (model->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (model->events);
      struct model_event event = *(struct model_event *)g_sequence_get (first);

      g_sequence_remove (first);
      model->now_us = event.time_us;
      event.handler (model, &event);
    }
}

void
model_destroy (struct model *model)
{
  policy_ops (model)->destroy (model);
  for (uint32_t i = 0; i < model->config.entries; i++)
    az_ejector_destroy (model->ejectors[i]);
  g_sequence_free (model->events);
  g_array_unref (model->busy_slot_us);
  g_rand_free (model->random);
  g_free (model->jobs);
  g_free (model->task_jobs);
  g_free (model);
}
