#include "emulator/ideal.h"

/*
 * One central queue without delays that knows the true run times and the true speed and state of
 * each upstream. Jobs with started tasks come first, then those with the earliest latest start
 * time. When not all can end in time, those with the lowest value per core-second are refused. If
 * it is aware of interference, it knows the factors between kinds, too; order and refusals don't
 * depend on them.
 */

struct ideal_job
{
  struct emu_job *job;
  unsigned n_started;
  unsigned n_ended;
};

struct ideal
{
  const struct emulator_scenario *scenario;
  bool is_aware; /* of interference */
  struct emu_events *events;
  struct emu_load *load;
  struct emu_metrics metrics;
  struct ideal_job *jobs; /* as in the load */
  struct emu_ideal_upstream **upstreams;
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

static void
dispatch (struct ideal *ideal);

static void
handle_task_end (void *context, void *data)
{
  struct ideal *ideal = context;
  struct ideal_job *row = data;

  if (++row->n_ended == row->job->n_tasks)
    emu_metrics_record_answer (&ideal->metrics, row->job, AZ_JOB_COMPLETED,
                               emu_now_us (ideal->events) - row->job->arrival_us);
  dispatch (ideal);
}

struct choice
{
  double loss_core_s;
  double speed;
};

static bool
is_better (const struct choice *choice, const struct choice *best)
{
  if (choice->loss_core_s != best->loss_core_s)
    return choice->loss_core_s < best->loss_core_s;
  return choice->speed < best->speed;
}

static struct emu_ideal_run
create_run (const struct ideal *ideal,
            unsigned upstream,
            const struct emu_job *job,
            int64_t work_us,
            bool *is_closed)
{
  return (struct emu_ideal_run){
    .kind = job->kind,
    .cpu_milli = job->cpu_milli,
    .remaining_us = (double)work_us,
    .speed = fault_speed_factor (ideal, upstream, is_closed)
             * emu_upstream_speed (ideal->scenario, upstream),
  };
}

static bool
can_end_in_time (const struct ideal *ideal,
                 const struct emu_ideal_upstream *upstream,
                 const struct emu_ideal_run *run,
                 int64_t left_us)
{
  double factor = ideal->is_aware ? emu_ideal_upstream_factor (upstream, run->kind) : 1;

  return emu_ideal_upstream_has_room (upstream, run->cpu_milli)
         && run->remaining_us / run->speed * factor <= (double)left_us;
}

/* Returns the upstream that can end the task in time with the least loss to interference, or -1 if
 * none can. Of equal ones it is the slowest: the fast ones are left to tasks that need them. */
static int
choose_upstream (const struct ideal *ideal, const struct emu_job *job, int64_t work_us)
{
  int64_t left_us = job->arrival_us + job->objective_us - emu_now_us (ideal->events);
  struct choice best = { 0 };
  int best_upstream = -1;

  for (unsigned i = 0; i < ideal->scenario->n_upstreams; i++)
    {
      const struct emu_ideal_upstream *upstream = ideal->upstreams[i];
      bool is_closed;
      struct emu_ideal_run run = create_run (ideal, i, job, work_us, &is_closed);
      struct choice choice = { .speed = run.speed };

      if (is_closed || !can_end_in_time (ideal, upstream, &run, left_us))
        continue;
      if (ideal->is_aware)
        choice.loss_core_s = emu_ideal_upstream_loss (upstream, &run);
      if (best_upstream < 0 || is_better (&choice, &best))
        {
          best_upstream = (int)i;
          best = choice;
        }
    }
  return best_upstream;
}

static void
start_task (struct ideal *ideal, struct ideal_job *row, int upstream)
{
  int64_t work_us = row->job->work_us[row->n_started++];
  bool is_closed;
  struct emu_ideal_run run = create_run (ideal, (unsigned)upstream, row->job, work_us, &is_closed);

  run.data = row;
  emu_ideal_upstream_start (ideal->upstreams[upstream], &run);
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
      g_ptr_array_remove_index (ideal->waiting, i--);
    }
  refuse_excess (ideal);
}

static void
handle_arrival (void *context, void *data)
{
  struct ideal *ideal = context;

  g_ptr_array_add (ideal->waiting, &ideal->jobs[*(guint *)data]);
  dispatch (ideal);
}

static void
create_ideal (struct ideal *ideal, const struct emulator_scenario *scenario, uint32_t seed)
{
  const struct emu_ideal_observer observer = { handle_task_end, ideal };

  ideal->scenario = scenario;
  ideal->events = emu_events_create ();
  ideal->load = emu_load_create (scenario, seed);
  ideal->jobs = g_new0 (struct ideal_job, ideal->load->jobs->len);
  ideal->waiting = g_ptr_array_new ();
  ideal->upstreams = g_new0 (struct emu_ideal_upstream *, scenario->n_upstreams);
  emu_metrics_init (&ideal->metrics, scenario);
  for (unsigned i = 0; i < scenario->n_upstreams; i++)
    ideal->upstreams[i] = emu_ideal_upstream_create (
        ideal->events, scenario, emu_upstream_cores (scenario, i) * 1000, &observer);
  for (guint i = 0; i < ideal->load->jobs->len; i++)
    {
      ideal->jobs[i].job = &g_array_index (ideal->load->jobs, struct emu_job, i);
      emu_schedule (ideal->events, ideal->jobs[i].job->arrival_us, handle_arrival, ideal,
                    g_memdup2 (&i, sizeof i));
    }
}

static void
destroy_ideal (struct ideal *ideal)
{
  for (unsigned i = 0; i < ideal->scenario->n_upstreams; i++)
    emu_ideal_upstream_destroy (ideal->upstreams[i]);
  g_free (ideal->upstreams);
  g_ptr_array_unref (ideal->waiting);
  g_free (ideal->jobs);
  emu_events_destroy (ideal->events);
  emu_load_destroy (ideal->load);
}

static struct emulator_result
run_ideal (const struct emulator_scenario *scenario, uint32_t seed, bool is_aware)
{
  struct ideal ideal = { .is_aware = is_aware };
  struct emulator_result result;

  create_ideal (&ideal, scenario, seed);
  while (emu_run_next_event (ideal.events, INT64_MAX))
    continue;
  while (ideal.waiting->len > 0)
    refuse_job (&ideal, ideal.waiting->pdata[0]);
  for (unsigned i = 0; i < scenario->n_upstreams; i++)
    ideal.metrics.result.slowed_core_s += emu_ideal_upstream_slowed_core_s (ideal.upstreams[i]);
  result = emu_metrics_finish (&ideal.metrics, ideal.load);
  destroy_ideal (&ideal);
  return result;
}

struct emulator_result
emulator_run_ideal (const struct emulator_scenario *scenario, uint32_t seed)
{
  return run_ideal (scenario, seed, true);
}

struct emulator_result
emulator_run_ideal_unaware (const struct emulator_scenario *scenario, uint32_t seed)
{
  return run_ideal (scenario, seed, false);
}
