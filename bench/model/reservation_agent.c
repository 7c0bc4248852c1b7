#include "reservation.h"

/* GQueue data holds a time; virtual times fit in a pointer. */
static void
push_time (GQueue *times, int64_t time_us)
{
  g_queue_push_tail (times, (void *)(intptr_t)time_us);
}

static int64_t
oldest_time (const GQueue *times)
{
  return times->head ? (int64_t)(intptr_t)times->head->data : INT64_MAX;
}

static uint32_t
free_slots (const struct model *model, uint32_t agent)
{
  const struct model_agent *row = &model->agents[agent];
  uint32_t used = row->busy;

  for (uint32_t entry = 0; entry < model->config.entries; entry++)
    used += reservation_of (model)->sides[agent][entry].granted;
  return row->in_service && row->usable_slots > used ? row->usable_slots - used : 0;
}

/* Whether the slot of a task that has just ended is granted to its @entry again. */
static bool
can_keep_slot (const struct model *model, uint32_t agent, uint32_t entry, uint32_t fewest)
{
  const struct agent_side *sides = reservation_of (model)->sides[agent];
  uint32_t tolerance = model->config.keep_grants;

  if (entry == MODEL_ENTRIES_MAX || sides[fewest].demand)
    return false;
  return tolerance && sides[entry].granted < sides[fewest].granted + tolerance;
}

/* Returns the entry whose demand has waited longest. If no entry has demand, returns @result_entry
 * if it can keep the slot, otherwise the entry with the fewest grants. */
static uint32_t
choose_entry (const struct model *model, uint32_t agent, uint32_t result_entry)
{
  const struct agent_side *sides = reservation_of (model)->sides[agent];
  uint32_t best = 0;

  for (uint32_t entry = 1; entry < model->config.entries; entry++)
    {
      bool has_demand = sides[entry].demand > 0;

      if (has_demand != (sides[best].demand > 0))
        best = has_demand ? entry : best;
      else if (has_demand && sides[entry].demand_since_us < sides[best].demand_since_us)
        best = entry;
      else if (!has_demand && sides[entry].granted < sides[best].granted)
        best = entry;
    }
  return can_keep_slot (model, agent, result_entry, best) ? result_entry : best;
}

static bool
others_have_demand (const struct model *model, uint32_t agent, uint32_t entry)
{
  for (uint32_t i = 0; i < model->config.entries; i++)
    if (i != entry && reservation_of (model)->sides[agent][i].demand)
      return true;
  return false;
}

static void
grant (struct model *model, uint32_t agent, uint32_t entry, uint32_t result_entry)
{
  struct agent_side *side = &reservation_of (model)->sides[agent][entry];
  struct model_event event = { .handler = reservation_entry_grant,
                               .from = model_node_of_agent (agent),
                               .to = entry,
                               .epoch = model->agents[agent].epoch,
                               .a = 1 };

  side->demand -= side->demand > 0;
  side->granted++;
  push_time (&side->granted_at_us, model->now_us);
  event.b = others_have_demand (model, agent, entry);
  if (entry == result_entry)
    model_schedule (model, model->config.delay_us, &event);
  else
    model_send (model, MODEL_GRANT, &event);
}

void
reservation_agent_allocate (struct model *model, uint32_t agent, uint32_t result_entry)
{
  for (uint32_t n = free_slots (model, agent); n > 0; n--)
    grant (model, agent, choose_entry (model, agent, result_entry), result_entry);
}

static void
remove_grants (struct agent_side *side, uint32_t n)
{
  n = MIN (n, side->granted);
  side->granted -= n;
  side->recalled -= MIN (side->recalled, n);
  for (uint32_t i = 0; i < n; i++)
    g_queue_pop_head (&side->granted_at_us);
}

static uint32_t
count_recallable_grants (const struct model *model, const struct agent_side *side)
{
  int64_t limit = model->now_us - model->config.recall_idle_us;
  uint32_t n = 0;

  for (const GList *link = side->granted_at_us.head; link; link = link->next)
    n += (int64_t)(intptr_t)link->data <= limit;
  return n - MIN (n, side->recalled);
}

static void
recall_from (struct model *model, uint32_t agent, uint32_t entry, uint32_t n)
{
  struct agent_side *side = &reservation_of (model)->sides[agent][entry];

  /* An entry with idle grants has no waiting task, so its demand is out of date. */
  side->demand = 0;
  side->recalled += n;
  model_send (model, MODEL_RECALL,
              &(struct model_event){ .handler = reservation_entry_recall,
                                     .from = model_node_of_agent (agent),
                                     .to = entry,
                                     .epoch = model->agents[agent].epoch,
                                     .a = n });
}

static void
recall_idle_grants (struct model *model, uint32_t agent);

static void
recall_timer (struct model *model, const struct model_event *event)
{
  reservation_of (model)->recall_timer[event->to] = false;
  recall_idle_grants (model, event->to);
}

static void
set_recall_timer (struct model *model, uint32_t agent)
{
  struct reservation_state *state = reservation_of (model);
  int64_t oldest = INT64_MAX;
  int64_t wait;

  for (uint32_t entry = 0; entry < model->config.entries; entry++)
    if (!state->sides[agent][entry].recalled)
      oldest = MIN (oldest, oldest_time (&state->sides[agent][entry].granted_at_us));
  if (state->recall_timer[agent] || oldest == INT64_MAX)
    return;
  wait = MAX (oldest + model->config.recall_idle_us - model->now_us, 1000);
  state->recall_timer[agent] = true;
  model_schedule (model, wait, &(struct model_event){ .handler = recall_timer, .to = agent });
}

/* Returns the number of grants to recall: half of the demand, less the grants recalled already. */
static uint32_t
count_wanted_recalls (const struct model *model, uint32_t agent)
{
  const struct agent_side *sides = reservation_of (model)->sides[agent];
  uint32_t demand = 0;
  uint32_t recalled = 0;

  for (uint32_t entry = 0; entry < model->config.entries; entry++)
    {
      demand += sides[entry].demand;
      recalled += sides[entry].recalled;
    }
  demand = (demand + 1) / 2;
  return demand - MIN (demand, recalled);
}

static void
recall_idle_grants (struct model *model, uint32_t agent)
{
  uint32_t wanted = count_wanted_recalls (model, agent);

  for (uint32_t entry = 0; entry < model->config.entries && wanted; entry++)
    {
      uint32_t idle = count_recallable_grants (model, &reservation_of (model)->sides[agent][entry]);
      uint32_t n = MIN (idle, wanted);

      if (n)
        recall_from (model, agent, entry, n);
      wanted -= n;
    }
  if (wanted)
    set_recall_timer (model, agent);
}

static void
update_demand (struct model *model, uint32_t agent, const struct model_event *event)
{
  struct agent_side *side = &reservation_of (model)->sides[agent][event->from];

  side->demand = (uint32_t)event->a;
  side->demand_since_us = event->b;
  reservation_agent_allocate (model, agent, MODEL_ENTRIES_MAX);
  if (side->demand)
    recall_idle_grants (model, agent);
}

void
reservation_agent_demand (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->to);

  if (model->agents[agent].in_service)
    update_demand (model, agent, event);
}

void
reservation_agent_start (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->to);

  if (event->epoch != model->agents[agent].epoch || !model->agents[agent].in_service)
    {
      model_send (model, MODEL_REFUSED,
                  &(struct model_event){ .handler = reservation_entry_refused,
                                         .from = event->to,
                                         .to = event->from,
                                         .task = event->task });
      return;
    }
  remove_grants (&reservation_of (model)->sides[agent][event->from], 1);
  model_start_task (model, agent, event->from, event->task);
  update_demand (model, agent, event);
}

void
reservation_agent_return (struct model *model, const struct model_event *event)
{
  uint32_t agent = model_agent_of_node (event->to);

  if (event->epoch != model->agents[agent].epoch)
    return;
  remove_grants (&reservation_of (model)->sides[agent][event->from], (uint32_t)event->a);
  reservation_agent_allocate (model, agent, MODEL_ENTRIES_MAX);
}

void
reservation_agent_changed (struct model *model, uint32_t agent)
{
  struct agent_side *sides = reservation_of (model)->sides[agent];

  if (!model->agents[agent].in_service)
    for (uint32_t entry = 0; entry < model->config.entries; entry++)
      {
        remove_grants (&sides[entry], sides[entry].granted);
        sides[entry].demand = 0;
      }
  reservation_agent_allocate (model, agent, MODEL_ENTRIES_MAX);
}
