#include "sim.h"

static bool
is_before (const struct sim_event *a, const struct sim_event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static struct sim_event *
at (struct sim *sim, guint index)
{
  return &g_array_index (sim->events, struct sim_event, index);
}

static void
swap (struct sim *sim, guint a, guint b)
{
  struct sim_event event = *at (sim, a);

  *at (sim, a) = *at (sim, b);
  *at (sim, b) = event;
}

void
sim_schedule (struct sim *sim,
              int64_t when,
              struct sim_node *node,
              void (*run) (struct sim *sim, struct sim_node *node, void *data),
              void *data,
              void (*free_data) (void *data))
{
  struct sim_event event = { MAX (when, sim->now),
                             sim->next_order++,
                             node ? node->index : -1,
                             node ? node->generation : 0,
                             run,
                             data,
                             free_data };
  guint index = sim->events->len;

  g_array_append_val (sim->events, event);
  for (; index && is_before (at (sim, index), at (sim, (index - 1) / 2)); index = (index - 1) / 2)
    swap (sim, index, (index - 1) / 2);
}

static struct sim_event
pop (struct sim *sim)
{
  struct sim_event first = *at (sim, 0);
  guint length = sim->events->len - 1;
  guint index = 0;

  swap (sim, 0, length);
  g_array_set_size (sim->events, length);
  while (2 * index + 1 < length)
    {
      guint child = 2 * index + 1;

      if (child + 1 < length && is_before (at (sim, child + 1), at (sim, child)))
        child++;
      if (!is_before (at (sim, child), at (sim, index)))
        break;
      swap (sim, index, child);
      index = child;
    }
  return first;
}

static void
free_event_data (const struct sim_event *event)
{
  if (event->free)
    event->free (event->data);
}

static void
run (struct sim *sim, struct sim_node *node, const struct sim_event *event)
{
  if (!node || (node->alive && node->generation == event->generation))
    event->run (sim, node, event->data);
  free_event_data (event);
  if (node && node->alive && !sim_chance (sim, 0.1))
    sim_node_flush (node);
}

/* Runs the events that became due while the process was frozen, in their order. */
static void
process_inbox (struct sim *sim, struct sim_node *node)
{
  struct sim_event *event;

  while (!sim->violation && !sim_node_is_frozen (node) && (event = g_queue_pop_head (&node->inbox)))
    {
      run (sim, node, event);
      g_free (event);
    }
}

bool
sim_step (struct sim *sim)
{
  struct sim_event event;
  struct sim_node *node;

  if (!sim->events->len || sim->violation || at (sim, 0)->at > sim->ends_at)
    return false;
  event = pop (sim);
  sim->now = event.at;
  node = event.node >= 0 ? &sim->nodes[event.node] : NULL;
  if (node && node->alive && node->generation == event.generation && sim_node_is_frozen (node))
    {
      g_queue_push_tail (&node->inbox, g_memdup2 (&event, sizeof event));
      return true;
    }
  run (sim, node, &event);
  return true;
}

static void
process_inbox_event (struct sim *sim, struct sim_node *node, void *data)
{
  (void)data;
  process_inbox (sim, node);
}

static void
resume (struct sim *sim, struct sim_node *no_node, void *data)
{
  struct sim_node *node = data;

  (void)no_node;
  if (!node->alive || sim_node_is_frozen (node))
    return;
  sim_schedule (sim, sim->now, node, process_inbox_event, NULL, NULL);
  /* After a suspension the event loop may run its timers before it reads its sockets. */
  if (sim_chance (sim, 0.5) && node->agent)
    az_agent_core_tick (node->agent);
  else if (sim_chance (sim, 0.5) && node->entry)
    az_entry_core_tick (node->entry);
}

void
sim_freeze (struct sim *sim, struct sim_node *node, int64_t duration)
{
  node->frozen_until = MAX (node->frozen_until, sim->now + duration);
  sim_schedule (sim, node->frozen_until, NULL, resume, node, NULL);
}

void
sim_node_clear_inbox (struct sim_node *node)
{
  struct sim_event *event;

  while ((event = g_queue_pop_head (&node->inbox)))
    {
      free_event_data (event);
      g_free (event);
    }
}

void
sim_events_clear (struct sim *sim)
{
  for (guint i = 0; i < sim->events->len; i++)
    free_event_data (at (sim, i));
  g_array_unref (sim->events);
}
