#include "emulator/world.h"
#include <string.h>

struct run
{
  char *task;
  uint32_t attempt;
  struct emu_work work;
  double remaining_us; /* run time left at speed 1 */
  int64_t progress_updated_us;
  int64_t started_us;
  uint64_t generation; /* generation of the valid end event; earlier ones are ignored */
};

struct ended_run
{
  uint64_t number;
  char *task;
  uint32_t attempt;
  enum az_task_end how;
};

struct emu_upstream
{
  struct emu_events *events;
  const struct emulator_scenario *scenario;
  unsigned index;
  double capacity_cpu_milli;
  double speed;
  double speed_factor;
  bool is_down;
  struct emu_upstream_observer observer;
  GHashTable *runs;       /* task -> struct run * */
  unsigned running_kinds; /* the set of kinds in @runs; bit n stands for kind n */
  GArray *ended_runs;
  uint64_t n_ends;
  uint64_t generation;
  double wasted_core_s;
  double slowed_core_s;
};

static void
free_run (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
clear_ended_run (gpointer data)
{
  g_free (((struct ended_run *)data)->task);
}

struct emu_upstream *
emu_upstream_create (struct emu_events *events,
                     const struct emulator_scenario *scenario,
                     unsigned index,
                     const struct emu_upstream_observer *observer)
{
  struct emu_upstream *upstream = g_new0 (struct emu_upstream, 1);

  upstream->events = events;
  upstream->scenario = scenario;
  upstream->index = index;
  upstream->capacity_cpu_milli = emu_upstream_cores (scenario, index) * 1000;
  upstream->speed = emu_upstream_speed (scenario, index);
  upstream->speed_factor = 1;
  upstream->observer = *observer;
  upstream->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_run);
  upstream->ended_runs = g_array_new (FALSE, FALSE, sizeof (struct ended_run));
  g_array_set_clear_func (upstream->ended_runs, clear_ended_run);
  return upstream;
}

void
emu_upstream_destroy (struct emu_upstream *upstream)
{
  g_hash_table_unref (upstream->runs);
  g_array_unref (upstream->ended_runs);
  g_free (upstream);
}

static double
slow_down_factor (const struct emu_upstream *upstream, const struct run *run)
{
  return emu_interference_factor (upstream->scenario, run->work.kind, upstream->running_kinds);
}

static void
update_progress (struct emu_upstream *upstream, struct run *run)
{
  int64_t now_us = emu_now_us (upstream->events);
  double elapsed_us = (double)(now_us - run->progress_updated_us);
  double factor = slow_down_factor (upstream, run);

  run->remaining_us -= elapsed_us * upstream->speed * upstream->speed_factor / factor;
  run->progress_updated_us = now_us;
  upstream->slowed_core_s += elapsed_us * (1 - 1 / factor) / 1e6 * run->work.cpu_milli / 1000;
}

struct end_event
{
  uint64_t generation;
  char task[40];
};

static void
handle_run_end (void *context, void *data);

static void
schedule_end (struct emu_upstream *upstream, struct run *run)
{
  struct end_event *event;
  double speed = upstream->speed * upstream->speed_factor / slow_down_factor (upstream, run);

  run->generation = ++upstream->generation;
  if (speed <= 0)
    return;
  event = g_new0 (struct end_event, 1);
  event->generation = run->generation;
  g_strlcpy (event->task, run->task, sizeof event->task);
  emu_schedule (upstream->events,
                emu_now_us (upstream->events) + (int64_t)(MAX (run->remaining_us, 0) / speed),
                handle_run_end, upstream, event);
}

static unsigned
list_running_kinds (const struct emu_upstream *upstream)
{
  GHashTableIter iterator;
  gpointer value;
  unsigned kinds = 0;

  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    kinds |= 1u << ((const struct run *)value)->work.kind;
  return kinds;
}

/* Tasks whose slow-down stays the same keep their end events. */
static void
set_running_kinds (struct emu_upstream *upstream, unsigned kinds)
{
  unsigned previous = upstream->running_kinds;
  GHashTableIter iterator;
  gpointer value;

  if (kinds == previous)
    return;
  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct run *run = value;
      unsigned kind = run->work.kind;

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

static void
end_run (struct emu_upstream *upstream, struct run *run, enum az_task_end how)
{
  struct ended_run ended_run = {
    .number = ++upstream->n_ends, .task = g_strdup (run->task), .attempt = run->attempt, .how = how
  };

  if (how != AZ_TASK_DONE)
    upstream->wasted_core_s += (double)(emu_now_us (upstream->events) - run->started_us) / 1e6
                               * run->work.cpu_milli / 1000;
  update_progress (upstream, run);
  g_array_append_val (upstream->ended_runs, ended_run);
  g_hash_table_remove (upstream->runs, run->task);
  set_running_kinds (upstream, list_running_kinds (upstream));
  upstream->observer.tasks_changed (upstream->observer.context, upstream->index);
}

static void
handle_run_end (void *context, void *data)
{
  struct emu_upstream *upstream = context;
  const struct end_event *event = data;
  struct run *run = g_hash_table_lookup (upstream->runs, event->task);

  if (run && run->generation == event->generation)
    end_run (upstream, run, run->work.fails ? AZ_TASK_FAILED : AZ_TASK_DONE);
}

static double
used_cpu_milli (const struct emu_upstream *upstream)
{
  GHashTableIter iterator;
  gpointer value;
  double used = 0;

  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    used += ((const struct run *)value)->work.cpu_milli;
  return used;
}

enum az_upstream_result
emu_upstream_start (struct emu_upstream *upstream,
                    const struct az_upstream_start *start,
                    const struct emu_work *work)
{
  struct run *run;

  if (used_cpu_milli (upstream) + work->cpu_milli > upstream->capacity_cpu_milli + 1)
    return AZ_UPSTREAM_NO_ROOM;
  run = g_new0 (struct run, 1);
  run->task = g_strdup (start->task);
  run->attempt = start->attempt;
  run->work = *work;
  run->remaining_us = (double)work->work_us;
  /* A failing task ends after a part of its work. */
  if (work->fails)
    run->remaining_us *= 0.3;
  run->started_us = run->progress_updated_us = emu_now_us (upstream->events);
  set_running_kinds (upstream, upstream->running_kinds | 1u << work->kind);
  g_hash_table_replace (upstream->runs, run->task, run);
  schedule_end (upstream, run);
  return AZ_UPSTREAM_OK;
}

void
emu_upstream_stop (struct emu_upstream *upstream, const struct az_upstream_stop *stop)
{
  struct run *run = g_hash_table_lookup (upstream->runs, stop->task);

  if (run && run->attempt == stop->attempt)
    end_run (upstream, run, AZ_TASK_STOPPED);
}

bool
emu_upstream_has_new_ends (const struct emu_upstream *upstream, uint64_t seen)
{
  return upstream->n_ends > seen;
}

void
emu_upstream_list_tasks (struct emu_upstream *upstream,
                         uint64_t seen,
                         struct az_upstream_lists *lists)
{
  GHashTableIter iterator;
  gpointer value;

  while (upstream->ended_runs->len > 0
         && g_array_index (upstream->ended_runs, struct ended_run, 0).number <= seen)
    g_array_remove_index (upstream->ended_runs, 0);
  lists->active = g_new0 (struct az_upstream_active, g_hash_table_size (upstream->runs) + 1);
  lists->ended = g_new0 (struct az_upstream_ended, upstream->ended_runs->len + 1);
  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct run *run = value;

      update_progress (upstream, run);
      lists->active[lists->n_active++] = (struct az_upstream_active){
        .task = g_strdup (run->task),
        .attempt = run->attempt,
        .percent
        = (uint32_t)CLAMP (100 * (1 - run->remaining_us / (double)run->work.work_us), 0, 99),
      };
    }
  for (guint i = 0; i < upstream->ended_runs->len; i++)
    {
      const struct ended_run *ended_run
          = &g_array_index (upstream->ended_runs, struct ended_run, i);

      lists->ended[lists->n_ended++] = (struct az_upstream_ended){
        .number = ended_run->number,
        .task = g_strdup (ended_run->task),
        .attempt = ended_run->attempt,
        .how = ended_run->how,
      };
    }
}

void
emu_upstream_set_speed_factor (struct emu_upstream *upstream, double speed_factor)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    update_progress (upstream, value);
  upstream->speed_factor = speed_factor;
  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    schedule_end (upstream, value);
}

void
emu_upstream_set_down (struct emu_upstream *upstream, bool is_down)
{
  upstream->is_down = is_down;
  if (!is_down)
    return;
  g_hash_table_remove_all (upstream->runs);
  upstream->running_kinds = 0;
  g_array_set_size (upstream->ended_runs, 0);
  upstream->n_ends = 0;
}

bool
emu_upstream_is_down (const struct emu_upstream *upstream)
{
  return upstream->is_down;
}

bool
emu_upstream_is_running (const struct emu_upstream *upstream, const char *task)
{
  return g_hash_table_contains (upstream->runs, task);
}

double
emu_upstream_wasted_core_s (const struct emu_upstream *upstream)
{
  return upstream->wasted_core_s;
}

double
emu_upstream_slowed_core_s (const struct emu_upstream *upstream)
{
  return upstream->slowed_core_s;
}
