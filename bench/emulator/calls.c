#include "emulator/play.h"
#include <stdlib.h>

#define CALL_TIMEOUT_US 30000
#define HOLD_TIMEOUT_EXTRA_US 50000

/* Answer of an upstream to a start or stop call of its sidecar. */
struct call_answer
{
  unsigned upstream;
  uint32_t task;
  bool is_stop;
  enum az_upstream_result result;
};

static void
deliver_call_answer (void *context, void *data)
{
  struct world *world = context;
  const struct call_answer *call = data;
  const struct az_upstream_answer answer
      = { .result = call->result, .clock_ms = emu_now_us (world->events) / 1000 };

  if (!world->is_powered)
    return;
  if (call->is_stop)
    az_sidecar_stop_answered (world->sidecars[call->upstream], call->task, &answer);
  else
    az_sidecar_start_answered (world->sidecars[call->upstream], call->task, &answer);
  az_sidecar_flush (world->sidecars[call->upstream]);
}

static void
schedule_call_answer (struct world *world, const struct call_answer *answer)
{
  bool is_lost = answer->result == AZ_UPSTREAM_UNANSWERED;

  emu_schedule (world->events,
                emu_now_us (world->events) + (is_lost ? CALL_TIMEOUT_US : LOCAL_CALL_US),
                deliver_call_answer, world, g_memdup2 (answer, sizeof *answer));
}

static bool
is_call_delivered (struct world *world, unsigned upstream)
{
  return !emu_upstream_is_down (world->upstreams[upstream])
         && g_rand_double (world->random) >= world->call_loss_share;
}

static bool
is_running_anywhere (const struct world *world, const char *task)
{
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    if (emu_upstream_is_running (world->upstreams[i], task))
      return true;
  return false;
}

void
emu_start_task (void *context, uint32_t task, const struct az_upstream_start *start)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  g_auto (GStrv) parts = g_strsplit (start->task, ".", 4);
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (world->jobs, parts[0])) - 1;
  const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, index);
  struct call_answer answer = { .upstream = node->index, .task = task };
  struct emu_work work = { .kind = job->kind, .cpu_milli = job->cpu_milli };

  work.fails = g_rand_double (world->random) < world->task_failure_share[node->index];

  if (!is_call_delivered (world, node->index))
    answer.result = AZ_UPSTREAM_UNANSWERED;
  else
    {
      world->metrics.result.n_overlapping_runs += is_running_anywhere (world, start->task);
      world->metrics.result.n_runs++;
      work.work_us = job->work_us[atoi (parts[3])];
      answer.result = emu_upstream_start (world->upstreams[node->index], start, &work);
      if (answer.result == AZ_UPSTREAM_OK && job->crashes_upstream && atoi (parts[3]) == 0)
        emu_schedule_crash (world, node->index, start->task);
    }
  schedule_call_answer (world, &answer);
}

void
emu_stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct call_answer answer = { .upstream = node->index, .task = task, .is_stop = true };

  if (!is_call_delivered (world, node->index))
    answer.result = AZ_UPSTREAM_UNANSWERED;
  else
    emu_upstream_stop (world->upstreams[node->index], stop);
  schedule_call_answer (world, &answer);
}

struct hold_event
{
  unsigned upstream;
  uint64_t number;
  bool is_refused;
};

static void
answer_hold (void *context, void *data)
{
  struct world *world = context;
  const struct hold_event *event = data;
  GArray *holds = world->holds[event->upstream];
  struct az_upstream_lists lists = { 0 };
  struct waiting_hold hold = { 0 };

  lists.answer.clock_ms = emu_now_us (world->events) / 1000;
  for (guint i = 0; i < holds->len; i++)
    if (g_array_index (holds, struct waiting_hold, i).number == event->number)
      {
        hold = g_array_index (holds, struct waiting_hold, i);
        g_array_remove_index (holds, i);
      }
  if (hold.number == 0 || !world->is_powered)
    return;
  if (event->is_refused)
    lists.answer = (struct az_upstream_answer){ .result = AZ_UPSTREAM_NOT_SENT, .clock_ms = -1 };
  else if (!hold.is_call_delivered || emu_upstream_is_down (world->upstreams[event->upstream]))
    lists.answer = (struct az_upstream_answer){ .result = AZ_UPSTREAM_UNANSWERED, .clock_ms = -1 };
  else
    emu_upstream_list_tasks (world->upstreams[event->upstream], hold.last_processed_end, &lists);
  az_sidecar_hold_answered (world->sidecars[event->upstream], event->number, &lists);
  az_upstream_lists_clear (&lists);
  az_sidecar_flush (world->sidecars[event->upstream]);
}

static void
schedule_hold_answer (struct world *world,
                      unsigned upstream,
                      uint64_t number,
                      int64_t at_us,
                      bool is_refused)
{
  struct hold_event *event = g_new0 (struct hold_event, 1);

  event->upstream = upstream;
  event->number = number;
  event->is_refused = is_refused;
  emu_schedule (world->events, at_us, answer_hold, world, event);
}

void
emu_hold_tasks (void *context, uint64_t number, const struct az_upstream_hold *call)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct emu_upstream *upstream = world->upstreams[node->index];
  struct waiting_hold hold = { .number = number, .last_processed_end = call->last_processed_end };
  int64_t wait_us = call->wait_ms * 1000;

  hold.is_call_delivered = is_call_delivered (world, node->index);
  g_array_append_val (world->holds[node->index], hold);
  if (world->refuses_connections[node->index])
    wait_us = 0;
  else if (!hold.is_call_delivered)
    wait_us += HOLD_TIMEOUT_EXTRA_US;
  else if (emu_upstream_has_new_ends (upstream, hold.last_processed_end))
    wait_us = 0;
  schedule_hold_answer (world, node->index, number,
                        emu_now_us (world->events) + wait_us + LOCAL_CALL_US,
                        world->refuses_connections[node->index]);
}

void
emu_answer_waiting_holds (void *context, unsigned upstream)
{
  struct world *world = context;
  const GArray *holds = world->holds[upstream];

  for (guint i = 0; i < holds->len; i++)
    {
      const struct waiting_hold *hold = &g_array_index (holds, struct waiting_hold, i);

      if (hold->is_call_delivered)
        schedule_hold_answer (world, upstream, hold->number,
                              emu_now_us (world->events) + LOCAL_CALL_US, false);
    }
}

struct probe_event
{
  unsigned upstream;
  uint64_t number;
};

static void
answer_probe (void *context, void *data)
{
  struct world *world = context;
  const struct probe_event *event = data;
  struct az_upstream_answer answer
      = { .result = AZ_UPSTREAM_OK, .clock_ms = emu_now_us (world->events) / 1000 };
  struct az_upstream_announcement confirmed;

  if (!world->is_powered)
    return;
  if (emu_upstream_is_down (world->upstreams[event->upstream]))
    answer = (struct az_upstream_answer){ .result = AZ_UPSTREAM_NOT_SENT, .clock_ms = -1 };
  if (az_sidecar_probe_answered (world->sidecars[event->upstream], event->number, &answer,
                                 &confirmed))
    az_upstream_announcement_clear (&confirmed);
  az_sidecar_flush (world->sidecars[event->upstream]);
}

void
emu_probe_upstream (void *context, uint64_t number, const struct az_upstream_probe *probe)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct probe_event *event = g_new0 (struct probe_event, 1);

  (void)probe;
  event->upstream = node->index;
  event->number = number;
  emu_schedule (world->events, emu_now_us (world->events) + LOCAL_CALL_US, answer_probe, world,
                event);
}
