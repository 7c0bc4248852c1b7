#include "emulator/play.h"

/* Processor time of a message or timer, of a job from its connection to its answer, and of what an
 * iteration of the event loop does besides: it waits for events, places tasks and sends messages.
 */
static const double event_cost_us[] = { [EMU_EVENT_MESSAGE] = 10, [EMU_EVENT_JOB] = 150 };
#define FLUSH_COST_US 30

struct gateway_event
{
  enum emu_event_kind kind;
  void (*handle) (struct world *world, unsigned gateway, void *data);
  void *data;
};

static void
free_event (gpointer data)
{
  struct gateway_event *event = data;

  g_free (event->data);
  g_free (event);
}

void
emu_create_processors (struct world *world)
{
  world->processors = g_new0 (struct gateway_processor, world->scenario->n_gateways);
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    world->processors[i].inbox = g_ptr_array_new_with_free_func (free_event);
}

void
emu_destroy_processors (struct world *world)
{
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    g_ptr_array_unref (world->processors[i].inbox);
  g_free (world->processors);
}

void
emu_stop_processors (struct world *world)
{
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    {
      struct gateway_processor *processor = &world->processors[i];

      g_ptr_array_set_size (processor->inbox, 0);
      processor->generation++;
      processor->is_iterating = false;
      processor->is_tick_waiting = false;
    }
}

bool
emu_is_processor_limited (const struct world *world, unsigned gateway)
{
  return world->scenario->processor_shares[gateway] > 0;
}

int64_t
emu_output_time_us (const struct world *world, unsigned gateway)
{
  return MAX (world->processors[gateway].output_at_us, emu_now_us (world->events));
}

static int64_t
elapsed_us (const struct world *world, unsigned gateway, double cost_us)
{
  return (int64_t)(cost_us / world->scenario->processor_shares[gateway]);
}

/* The step of an iteration that handles the first @n_events of the inbox, or its end. */
struct iteration
{
  unsigned gateway;
  unsigned generation;
  guint n_events;
};

static void
start_iteration (struct world *world, unsigned gateway);

static void
end_iteration (void *context, void *data)
{
  struct world *world = context;
  const struct iteration *iteration = data;
  struct gateway_processor *processor = &world->processors[iteration->gateway];

  if (processor->generation != iteration->generation)
    return;
  processor->is_iterating = false;
  if (processor->inbox->len > 0)
    start_iteration (world, iteration->gateway);
}

/* The events are handled when the time for all of them has passed, and the time for the flush comes
 * after that: what the gateway sends leaves at its end. */
static void
handle_events (void *context, void *data)
{
  struct world *world = context;
  const struct iteration *iteration = data;
  unsigned gateway = iteration->gateway;
  struct gateway_processor *processor = &world->processors[gateway];

  if (processor->generation != iteration->generation)
    return;
  processor->output_at_us = emu_now_us (world->events) + elapsed_us (world, gateway, FLUSH_COST_US);
  for (guint i = 0; i < iteration->n_events; i++)
    {
      const struct gateway_event *event = processor->inbox->pdata[i];

      event->handle (world, gateway, event->data);
    }
  g_ptr_array_remove_range (processor->inbox, 0, iteration->n_events);
  az_gateway_flush (world->gateways[gateway]);
  emu_schedule (world->events, processor->output_at_us, end_iteration, world,
                g_memdup2 (iteration, sizeof *iteration));
}

static double
inbox_cost_us (const struct gateway_processor *processor)
{
  double cost_us = 0;

  for (guint i = 0; i < processor->inbox->len; i++)
    cost_us += event_cost_us[((const struct gateway_event *)processor->inbox->pdata[i])->kind];
  return cost_us;
}

static void
start_iteration (struct world *world, unsigned gateway)
{
  struct gateway_processor *processor = &world->processors[gateway];
  struct iteration *iteration = g_new0 (struct iteration, 1);

  processor->is_iterating = true;
  iteration->gateway = gateway;
  iteration->generation = processor->generation;
  iteration->n_events = processor->inbox->len;
  emu_schedule (world->events,
                emu_now_us (world->events) + elapsed_us (world, gateway, inbox_cost_us (processor)),
                handle_events, world, iteration);
}

void
emu_post_to_gateway (struct world *world,
                     unsigned gateway,
                     enum emu_event_kind kind,
                     void (*handle) (struct world *world, unsigned gateway, void *data),
                     void *data,
                     size_t size)
{
  struct gateway_event *event;

  if (!emu_is_processor_limited (world, gateway))
    {
      handle (world, gateway, data);
      az_gateway_flush (world->gateways[gateway]);
      return;
    }
  event = g_new0 (struct gateway_event, 1);
  event->kind = kind;
  event->handle = handle;
  event->data = g_memdup2 (data, size);
  g_ptr_array_add (world->processors[gateway].inbox, event);
  if (!world->processors[gateway].is_iterating)
    start_iteration (world, gateway);
}
