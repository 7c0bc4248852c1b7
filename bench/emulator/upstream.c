#include "emulator/world.h"
#include <string.h>

struct run
{
  char *task;
  uint32_t attempt;
  double cpu_milli;
  bool fails;
  double left_us; /* of its work, at speed 1 */
  double work_us;
  int64_t updated_us;
  int64_t started_us;
  uint64_t generation; /* of the event that ends it */
};

struct end
{
  uint64_t number;
  char *task;
  uint32_t attempt;
  enum az_task_end how;
};

struct emu_upstream
{
  struct emu_events *events;
  unsigned index;
  double cores_milli;
  double speed;
  double rate;
  bool is_down;
  struct emu_upstream_owner owner;
  GHashTable *runs; /* task -> struct run * */
  GArray *ends;
  uint64_t n_ends;
  uint64_t generation;
  double wasted_core_s;
};

static void
free_run (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
clear_end (gpointer data)
{
  g_free (((struct end *)data)->task);
}

struct emu_upstream *
emu_upstream_create (struct emu_events *events,
                     unsigned index,
                     double cores,
                     double speed,
                     const struct emu_upstream_owner *owner)
{
  struct emu_upstream *upstream = g_new0 (struct emu_upstream, 1);

  upstream->events = events;
  upstream->index = index;
  upstream->cores_milli = cores * 1000;
  upstream->speed = speed;
  upstream->rate = 1;
  upstream->owner = *owner;
  upstream->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_run);
  upstream->ends = g_array_new (FALSE, FALSE, sizeof (struct end));
  g_array_set_clear_func (upstream->ends, clear_end);
  return upstream;
}

void
emu_upstream_destroy (struct emu_upstream *upstream)
{
  g_hash_table_unref (upstream->runs);
  g_array_unref (upstream->ends);
  g_free (upstream);
}

static void
end_run (struct emu_upstream *upstream, struct run *run, enum az_task_end how)
{
  struct end end = {
    .number = ++upstream->n_ends, .task = g_strdup (run->task), .attempt = run->attempt, .how = how
  };

  if (how != AZ_TASK_DONE)
    upstream->wasted_core_s
        += (double)(emu_now_us (upstream->events) - run->started_us) / 1e6 * run->cpu_milli / 1000;
  g_array_append_val (upstream->ends, end);
  g_hash_table_remove (upstream->runs, run->task);
  upstream->owner.changed (upstream->owner.context, upstream->index);
}

struct end_event
{
  uint64_t generation;
  char task[40];
};

static void
run_ended (void *context, void *data)
{
  struct emu_upstream *upstream = context;
  const struct end_event *event = data;
  struct run *run = g_hash_table_lookup (upstream->runs, event->task);

  if (run && run->generation == event->generation)
    end_run (upstream, run, run->fails ? AZ_TASK_FAILED : AZ_TASK_DONE);
}

static void
update (const struct emu_upstream *upstream, struct run *run)
{
  int64_t now_us = emu_now_us (upstream->events);

  run->left_us -= (double)(now_us - run->updated_us) * upstream->speed * upstream->rate;
  run->updated_us = now_us;
}

static void
schedule_end (struct emu_upstream *upstream, struct run *run)
{
  struct end_event *event;
  double rate = upstream->speed * upstream->rate;

  run->generation = ++upstream->generation;
  if (rate <= 0)
    return;
  event = g_new0 (struct end_event, 1);
  event->generation = run->generation;
  g_strlcpy (event->task, run->task, sizeof event->task);
  emu_at (upstream->events, emu_now_us (upstream->events) + (int64_t)(MAX (run->left_us, 0) / rate),
          run_ended, upstream, event);
}

static double
used_milli (const struct emu_upstream *upstream)
{
  GHashTableIter iterator;
  gpointer value;
  double used = 0;

  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    used += ((const struct run *)value)->cpu_milli;
  return used;
}

enum az_upstream_result
emu_upstream_start (struct emu_upstream *upstream,
                    const struct az_upstream_start *start,
                    double cpu_milli,
                    int64_t work_us,
                    bool fails)
{
  struct run *run;

  if (used_milli (upstream) + cpu_milli > upstream->cores_milli + 1)
    return AZ_UPSTREAM_NO_ROOM;
  run = g_new0 (struct run, 1);
  run->task = g_strdup (start->task);
  run->attempt = start->attempt;
  run->cpu_milli = cpu_milli;
  run->fails = fails;
  run->work_us = run->left_us = (double)work_us;
  /* A task that fails does so after a part of its work. */
  if (fails)
    run->left_us *= 0.3;
  run->started_us = run->updated_us = emu_now_us (upstream->events);
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
emu_upstream_has_ends (const struct emu_upstream *upstream, uint64_t seen)
{
  return upstream->n_ends > seen;
}

void
emu_upstream_lists (struct emu_upstream *upstream, uint64_t seen, struct az_upstream_lists *lists)
{
  GHashTableIter iterator;
  gpointer value;

  while (upstream->ends->len > 0 && g_array_index (upstream->ends, struct end, 0).number <= seen)
    g_array_remove_index (upstream->ends, 0);
  lists->active = g_new0 (struct az_upstream_active, g_hash_table_size (upstream->runs) + 1);
  lists->ended = g_new0 (struct az_upstream_ended, upstream->ends->len + 1);
  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct run *run = value;

      update (upstream, run);
      lists->active[lists->n_active++] = (struct az_upstream_active){
        .task = g_strdup (run->task),
        .attempt = run->attempt,
        .percent = (uint32_t)CLAMP (100 * (1 - run->left_us / run->work_us), 0, 99),
      };
    }
  for (guint i = 0; i < upstream->ends->len; i++)
    {
      const struct end *end = &g_array_index (upstream->ends, struct end, i);

      lists->ended[lists->n_ended++] = (struct az_upstream_ended){
        .number = end->number,
        .task = g_strdup (end->task),
        .attempt = end->attempt,
        .how = end->how,
      };
    }
}

void
emu_upstream_set_rate (struct emu_upstream *upstream, double rate)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, upstream->runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    update (upstream, value);
  upstream->rate = rate;
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
  g_array_set_size (upstream->ends, 0);
  upstream->n_ends = 0;
}

bool
emu_upstream_is_down (const struct emu_upstream *upstream)
{
  return upstream->is_down;
}

bool
emu_upstream_runs (const struct emu_upstream *upstream, const char *task)
{
  return g_hash_table_contains (upstream->runs, task);
}

double
emu_upstream_wasted_core_s (const struct emu_upstream *upstream)
{
  return upstream->wasted_core_s;
}
