#include "emulator/ideal.h"

struct run
{
  struct emu_ideal_run task;
  int64_t progress_updated_us;
  uint64_t generation; /* of the valid end event */
};

struct emu_ideal_upstream
{
  struct emu_events *events;
  const struct emulator_scenario *scenario;
  struct emu_ideal_observer observer;
  double free_cpu_milli;
  GPtrArray *runs; /* struct run */
  unsigned running_kinds;
  uint64_t generation;
  double slowed_core_s;
};

struct emu_ideal_upstream *
emu_ideal_upstream_create (struct emu_events *events,
                           const struct emulator_scenario *scenario,
                           double cpu_milli,
                           const struct emu_ideal_observer *observer)
{
  struct emu_ideal_upstream *upstream = g_new0 (struct emu_ideal_upstream, 1);

  upstream->events = events;
  upstream->scenario = scenario;
  upstream->observer = *observer;
  upstream->free_cpu_milli = cpu_milli;
  upstream->runs = g_ptr_array_new_with_free_func (g_free);
  return upstream;
}

void
emu_ideal_upstream_destroy (struct emu_ideal_upstream *upstream)
{
  g_ptr_array_unref (upstream->runs);
  g_free (upstream);
}

bool
emu_ideal_upstream_has_room (const struct emu_ideal_upstream *upstream, double cpu_milli)
{
  return upstream->free_cpu_milli >= cpu_milli;
}

double
emu_ideal_upstream_factor (const struct emu_ideal_upstream *upstream, unsigned kind)
{
  return emu_interference_factor (upstream->scenario, kind, upstream->running_kinds);
}

static double
remaining_us (const struct emu_ideal_upstream *upstream, const struct run *run)
{
  double elapsed_us = (double)(emu_now_us (upstream->events) - run->progress_updated_us);

  return MAX (run->task.remaining_us
                  - elapsed_us * run->task.speed
                        / emu_ideal_upstream_factor (upstream, run->task.kind),
              0);
}

static double
core_s (const struct emu_ideal_run *task, double time_us)
{
  return time_us / 1e6 * task->cpu_milli / 1000;
}

/* A task that becomes slower by @factor for up to @overlap_us loses that part of its progress. */
static double
loss_us (double time_left_us, double factor, double overlap_us)
{
  return MIN (time_left_us * (factor - 1), overlap_us * (1 - 1 / factor));
}

double
emu_ideal_upstream_loss (const struct emu_ideal_upstream *upstream,
                         const struct emu_ideal_run *task)
{
  unsigned with_task = upstream->running_kinds | 1u << task->kind;
  double factor = emu_ideal_upstream_factor (upstream, task->kind);
  double time_us = task->remaining_us / task->speed;
  double overlap_us = 0;
  double loss_core_s = 0;

  if (upstream->scenario->n_interferences == 0)
    return 0;
  for (guint i = 0; i < upstream->runs->len; i++)
    {
      const struct run *run = upstream->runs->pdata[i];
      double before = emu_ideal_upstream_factor (upstream, run->task.kind);
      double after = emu_interference_factor (upstream->scenario, run->task.kind, with_task);
      double left_us = remaining_us (upstream, run) / run->task.speed * before;

      loss_core_s += core_s (&run->task, loss_us (left_us, after / before, time_us * factor));
      if (emu_interference_factor (upstream->scenario, task->kind, 1u << run->task.kind) != 1)
        overlap_us = MAX (overlap_us, left_us * after / before);
    }
  return loss_core_s + core_s (task, loss_us (time_us, factor, overlap_us));
}

struct end_event
{
  struct run *run;
  uint64_t generation;
};

static void
handle_run_end (void *context, void *data);

static void
schedule_end (struct emu_ideal_upstream *upstream, struct run *run)
{
  struct end_event *event = g_new0 (struct end_event, 1);
  double speed = run->task.speed / emu_ideal_upstream_factor (upstream, run->task.kind);

  run->generation = event->generation = ++upstream->generation;
  event->run = run;
  emu_schedule (upstream->events,
                emu_now_us (upstream->events) + (int64_t)(run->task.remaining_us / speed),
                handle_run_end, upstream, event);
}

static void
update_progress (struct emu_ideal_upstream *upstream, struct run *run)
{
  int64_t now_us = emu_now_us (upstream->events);
  double elapsed_us = (double)(now_us - run->progress_updated_us);
  double factor = emu_ideal_upstream_factor (upstream, run->task.kind);

  run->task.remaining_us = remaining_us (upstream, run);
  run->progress_updated_us = now_us;
  upstream->slowed_core_s += core_s (&run->task, elapsed_us * (1 - 1 / factor));
}

/* Tasks whose slow-down stays the same keep their end events. */
static void
set_running_kinds (struct emu_ideal_upstream *upstream, unsigned kinds)
{
  unsigned previous = upstream->running_kinds;

  for (guint i = 0; i < upstream->runs->len && kinds != previous; i++)
    {
      struct run *run = upstream->runs->pdata[i];
      unsigned kind = run->task.kind;

      if (emu_interference_factor (upstream->scenario, kind, kinds)
          == emu_interference_factor (upstream->scenario, kind, previous))
        continue;
      upstream->running_kinds = previous;
      update_progress (upstream, run);
      upstream->running_kinds = kinds;
      schedule_end (upstream, run);
    }
  upstream->running_kinds = kinds;
}

static bool
is_valid (const struct emu_ideal_upstream *upstream, const struct end_event *event)
{
  guint index;

  /* The run of an outdated event may have ended and been freed. */
  return g_ptr_array_find (upstream->runs, event->run, &index)
         && event->run->generation == event->generation;
}

static void
handle_run_end (void *context, void *data)
{
  struct emu_ideal_upstream *upstream = context;
  const struct end_event *event = data;
  void *task_data;
  unsigned kinds = 0;

  if (!is_valid (upstream, event))
    return;
  task_data = event->run->task.data;
  update_progress (upstream, event->run);
  upstream->free_cpu_milli += event->run->task.cpu_milli;
  g_ptr_array_remove (upstream->runs, event->run);
  for (guint i = 0; i < upstream->runs->len; i++)
    kinds |= 1u << ((const struct run *)upstream->runs->pdata[i])->task.kind;
  set_running_kinds (upstream, kinds);
  upstream->observer.task_ended (upstream->observer.context, task_data);
}

void
emu_ideal_upstream_start (struct emu_ideal_upstream *upstream, const struct emu_ideal_run *task)
{
  struct run *run = g_new0 (struct run, 1);

  run->task = *task;
  run->progress_updated_us = emu_now_us (upstream->events);
  upstream->free_cpu_milli -= task->cpu_milli;
  set_running_kinds (upstream, upstream->running_kinds | 1u << task->kind);
  g_ptr_array_add (upstream->runs, run);
  schedule_end (upstream, run);
}

double
emu_ideal_upstream_slowed_core_s (const struct emu_ideal_upstream *upstream)
{
  return upstream->slowed_core_s;
}
