#include "emulator/world.h"

/*
 * One central queue without delays that knows the true run times and the true speed and state of
 * each upstream. Jobs with started tasks come first, then those with the earliest latest start
 * time. When not all can end in time, those with the lowest value per core-second are refused.
 */

struct ideal_job
{
  struct emu_job *job;
  unsigned n_started;
  int64_t end_us; /* latest end of the tasks started so far */
};

struct ideal
{
  const struct emulator_scenario *scenario;
  struct emu_events *events;
  struct emu_load *load;
  struct emu_metrics metrics;
  double *free_cpu_milli;
  GPtrArray *waiting; /* struct ideal_job */
};

static double
fault_speed_factor (const struct ideal *ideal, unsigned upstream, bool *is_closed)
{
  double at_s = (double)(emu_now_us (ideal->events) - 1500000) / 1e6;
  double speed_factor = 1;

  *is_closed = false;
  for (unsigned i = 0; i < ideal->scenario->n_faults; i++)
    {
      const struct emulator_fault *fault = &ideal->scenario->faults[i];
      bool is_affected = upstream >= fault->first && upstream < fault->first + fault->count;

      if (at_s < fault->from_s || at_s >= fault->to_s)
        continue;
      if (fault->kind == EMULATOR_SLOW && is_affected)
        speed_factor /= fault->factor;
      else if (fault->kind == EMULATOR_POWER_LOSS)
        *is_closed = true;
      else if (fault->kind == EMULATOR_WITHDRAW)
        *is_closed |= upstream % ideal->scenario->n_domains == fault->first;
      else if (fault->kind != EMULATOR_BURST && fault->kind != EMULATOR_CALL_LOSS
               && fault->kind != EMULATOR_CRASHING_JOBS && fault->kind != EMULATOR_RANDOM_CRASHES)
        *is_closed |= is_affected;
    }
  return speed_factor;
}

struct cpu_release
{
  unsigned upstream;
  double cpu_milli;
};

static void
dispatch (struct ideal *ideal);

static void
release_cpu (void *context, void *data)
{
  struct ideal *ideal = context;
  const struct cpu_release *cpu_release = data;

  ideal->free_cpu_milli[cpu_release->upstream] += cpu_release->cpu_milli;
  dispatch (ideal);
}

/* Returns the slowest upstream that can end the task in time, or -1 if none can. The fast ones are
 * left to tasks that need them. */
static int
choose_upstream (const struct ideal *ideal, const struct emu_job *job, int64_t work_us)
{
  int64_t left_us = job->arrival_us + job->objective_us - emu_now_us (ideal->events);
  int best = -1;
  double best_speed = 0;

  for (unsigned i = 0; i < ideal->scenario->n_upstreams; i++)
    {
      bool is_closed;
      double speed
          = fault_speed_factor (ideal, i, &is_closed) * emu_upstream_speed (ideal->scenario, i);

      if (is_closed || ideal->free_cpu_milli[i] < job->cpu_milli
          || (double)work_us / speed > (double)left_us)
        continue;
      if (best < 0 || speed < best_speed)
        {
          best = (int)i;
          best_speed = speed;
        }
    }
  return best;
}

static void
start_task (struct ideal *ideal, struct ideal_job *row, int upstream)
{
  struct emu_job *job = row->job;
  int64_t work_us = job->work_us[row->n_started++];
  bool is_closed;
  double speed = fault_speed_factor (ideal, (unsigned)upstream, &is_closed)
                 * emu_upstream_speed (ideal->scenario, (unsigned)upstream);
  int64_t end_us = emu_now_us (ideal->events) + (int64_t)((double)work_us / speed);
  struct cpu_release *cpu_release = g_new0 (struct cpu_release, 1);

  cpu_release->upstream = (unsigned)upstream;
  cpu_release->cpu_milli = job->cpu_milli;
  ideal->free_cpu_milli[upstream] -= job->cpu_milli;
  row->end_us = MAX (row->end_us, end_us);
  emu_schedule (ideal->events, end_us, release_cpu, ideal, cpu_release);
}

static int64_t
latest_start_us (const struct ideal_job *row)
{
  return row->job->arrival_us + row->job->objective_us - row->job->longest_work_us;
}

static gint
compare_start_order (gconstpointer a, gconstpointer b)
{
  const struct ideal_job *left = *(const struct ideal_job *const *)a;
  const struct ideal_job *right = *(const struct ideal_job *const *)b;

  if ((left->n_started > 0) != (right->n_started > 0))
    return left->n_started > 0 ? -1 : 1;
  return latest_start_us (left) < latest_start_us (right) ? -1 : 1;
}

static double
effective_cores (const struct ideal *ideal)
{
  double cores = 0;

  for (unsigned i = 0; i < ideal->scenario->n_upstreams; i++)
    {
      bool is_closed;
      double speed_factor = fault_speed_factor (ideal, i, &is_closed);

      if (!is_closed)
        cores += emu_upstream_cores (ideal->scenario, i) * emu_upstream_speed (ideal->scenario, i)
                 * speed_factor;
    }
  return cores;
}

static void
refuse_job (struct ideal *ideal, struct ideal_job *row)
{
  emu_metrics_record_answer (&ideal->metrics, row->job, AZ_JOB_NOT_RUN,
                             emu_now_us (ideal->events) - row->job->arrival_us);
  g_ptr_array_remove (ideal->waiting, row);
}

static struct ideal_job *
find_least_valuable (const struct ideal *ideal, guint n)
{
  struct ideal_job *least = NULL;

  for (guint i = 0; i < n; i++)
    {
      struct ideal_job *row = ideal->waiting->pdata[i];

      if (row->n_started > 0)
        continue;
      if (!least || row->job->value / row->job->core_s < least->job->value / least->job->core_s)
        least = row;
    }
  return least;
}

static void
refuse_excess (struct ideal *ideal)
{
  double cores = effective_cores (ideal);
  double queued_core_s = 0;

  for (guint i = 0; i < ideal->waiting->len; i++)
    {
      struct ideal_job *row = ideal->waiting->pdata[i];
      double slack_s = (double)(latest_start_us (row) - emu_now_us (ideal->events)) / 1e6;

      queued_core_s += row->job->core_s;
      while (slack_s < 0 || (queued_core_s - row->job->core_s / 2) / cores > slack_s)
        {
          struct ideal_job *least = find_least_valuable (ideal, i + 1);
          bool is_current = least == row;

          if (!least)
            break;
          queued_core_s -= least->job->core_s;
          refuse_job (ideal, least);
          i--;
          if (is_current)
            break;
        }
    }
}

static void
dispatch (struct ideal *ideal)
{
  g_ptr_array_sort (ideal->waiting, compare_start_order);
  for (guint i = 0; i < ideal->waiting->len; i++)
    {
      struct ideal_job *row = ideal->waiting->pdata[i];
      int upstream = 0;

      while (row->n_started < row->job->n_tasks && upstream >= 0)
        {
          upstream = choose_upstream (ideal, row->job, row->job->work_us[row->n_started]);
          if (upstream >= 0)
            start_task (ideal, row, upstream);
        }
      if (row->n_started < row->job->n_tasks)
        continue;
      emu_metrics_record_answer (&ideal->metrics, row->job, AZ_JOB_COMPLETED,
                                 row->end_us - row->job->arrival_us);
      g_ptr_array_remove_index (ideal->waiting, i--);
    }
  refuse_excess (ideal);
}

static void
handle_arrival (void *context, void *data)
{
  struct ideal *ideal = context;
  struct ideal_job *row = g_new0 (struct ideal_job, 1);

  row->job = &g_array_index (ideal->load->jobs, struct emu_job, *(guint *)data);
  g_ptr_array_add (ideal->waiting, row);
  dispatch (ideal);
}

struct emulator_result
emulator_run_ideal (const struct emulator_scenario *scenario, uint32_t seed)
{
  struct ideal ideal = { .scenario = scenario };
  struct emulator_result result;

  ideal.events = emu_events_create ();
  ideal.load = emu_load_create (scenario, seed);
  ideal.waiting = g_ptr_array_new_with_free_func (g_free);
  ideal.free_cpu_milli = g_new0 (double, scenario->n_upstreams);
  emu_metrics_init (&ideal.metrics, scenario);
  for (unsigned i = 0; i < scenario->n_upstreams; i++)
    ideal.free_cpu_milli[i] = emu_upstream_cores (scenario, i) * 1000;
  for (guint i = 0; i < ideal.load->jobs->len; i++)
    emu_schedule (ideal.events, g_array_index (ideal.load->jobs, struct emu_job, i).arrival_us,
                  handle_arrival, &ideal, g_memdup2 (&i, sizeof i));
  while (emu_run_next_event (ideal.events, INT64_MAX))
    continue;
  while (ideal.waiting->len > 0)
    refuse_job (&ideal, ideal.waiting->pdata[0]);
  result = emu_metrics_finish (&ideal.metrics, ideal.load);
  g_ptr_array_unref (ideal.waiting);
  g_free (ideal.free_cpu_milli);
  emu_events_destroy (ideal.events);
  emu_load_destroy (ideal.load);
  return result;
}
