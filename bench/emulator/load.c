#include "emulator/world.h"
#include <math.h>

#define CPU_FACTOR_MAX 1.52
#define SLACK_FACTOR 1.6
#define OBJECTIVE_US 60000
#define LARGE_SHARE 0.1

double
emu_upstream_cores (const struct emulator_scenario *scenario, unsigned upstream)
{
  return upstream % 3 == 2 ? scenario->upstream_cores * 1.5 : scenario->upstream_cores;
}

double
emu_upstream_speed (const struct emulator_scenario *scenario, unsigned upstream)
{
  return scenario->upstream_speeds[upstream % scenario->n_upstream_speeds];
}

static double
draw_normal (GRand *random)
{
  double a = g_rand_double_range (random, 1e-9, 1);
  double b = g_rand_double (random);

  return sqrt (-2 * log (a)) * cos (2 * G_PI * b);
}

/* Log-normal distribution with mean 1. */
static double
draw_lognormal (GRand *random, double spread)
{
  return exp (spread * draw_normal (random) - spread * spread / 2);
}

static double
burst_factor (const struct emulator_scenario *scenario, unsigned kind, double at_s)
{
  double factor = 1;

  for (unsigned i = 0; i < scenario->n_faults; i++)
    {
      const struct emulator_fault *fault = &scenario->faults[i];
      bool is_affected
          = fault->count == 0 || (kind >= fault->first && kind < fault->first + fault->count);

      if (fault->kind == EMULATOR_BURST && is_affected && at_s >= fault->from_s
          && at_s < fault->to_s)
        factor *= fault->factor;
    }
  return factor;
}

static unsigned
draw_gateway (const struct emulator_scenario *scenario, GRand *random)
{
  double total = 0;
  double left;

  for (unsigned i = 0; i < scenario->n_gateways; i++)
    total += scenario->gateway_weights[i];
  if (total <= 0)
    return (unsigned)g_rand_int_range (random, 0, (gint)scenario->n_gateways);
  left = g_rand_double_range (random, 0, total);
  for (unsigned i = 0; i + 1 < scenario->n_gateways; i++)
    {
      if (left < scenario->gateway_weights[i])
        return i;
      left -= scenario->gateway_weights[i];
    }
  return scenario->n_gateways - 1;
}

/* Draws nothing without such a fault, so that the load of other scenarios is the same with any
 * kind of fault. */
static bool
draw_crashing (const struct emulator_scenario *scenario, unsigned kind, double at_s, GRand *random)
{
  for (unsigned i = 0; i < scenario->n_faults; i++)
    {
      const struct emulator_fault *fault = &scenario->faults[i];

      if (fault->kind == EMULATOR_CRASHING_JOBS && fault->first == kind && at_s >= fault->from_s
          && at_s < fault->to_s)
        return g_rand_double (random) < fault->factor;
    }
  return false;
}

/* Draws nothing without tails, so that the load of other scenarios stays the same. */
static double
draw_tail_factor (const struct emulator_job_kind *kind, GRand *random)
{
  if (kind->tail_share <= 0)
    return 1;
  return g_rand_double (random) < kind->tail_share ? kind->tail_factor : 1;
}

static struct emu_job
draw_job (const struct emulator_scenario *scenario, unsigned kind, int64_t at_us, GRand *random)
{
  const struct emulator_job_kind *row = &scenario->kinds[kind];
  double run_us = row->mean_run_ms * 1000 * MIN (draw_lognormal (random, 0.4), 4);
  double n_tasks = row->mean_tasks * draw_lognormal (random, 0.4);
  double mean_core_s = row->mean_run_ms / 1000 * row->mean_tasks * scenario->mean_task_cores;
  struct emu_job job = {
    .kind = kind,
    .arrival_us = at_us,
    .gateway = draw_gateway (scenario, random),
    .n_tasks = (unsigned)CLAMP (n_tasks + 0.5, 1, row->max_tasks),
    .cpu_milli
    = 1000 * scenario->mean_task_cores * MIN (draw_lognormal (random, 0.2), CPU_FACTOR_MAX),
    .estimate_ms = (int64_t)MAX (run_us / 1000 * draw_lognormal (random, 0.4), 1),
  };

  job.work_us = g_new (int64_t, job.n_tasks);
  for (unsigned i = 0; i < job.n_tasks; i++)
    {
      job.work_us[i]
          = (int64_t)(run_us * draw_lognormal (random, 0.15) * draw_tail_factor (row, random));
      job.longest_work_us = MAX (job.longest_work_us, job.work_us[i]);
      job.core_s += (double)job.work_us[i] / 1e6 * job.cpu_milli / 1000;
    }
  job.objective_us = (int64_t)(SLACK_FACTOR * (double)job.longest_work_us) + OBJECTIVE_US;
  job.deadline_us = MAX (1500000, 3 * job.objective_us);
  job.value = row->value * MIN (0.3 + 0.7 * job.core_s / mean_core_s, 4);
  return job;
}

static gint
compare_arrival (gconstpointer a, gconstpointer b)
{
  const struct emu_job *left = a;
  const struct emu_job *right = b;

  return left->arrival_us < right->arrival_us ? -1 : left->arrival_us > right->arrival_us;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static void
mark_large_jobs (GArray *jobs, unsigned kind)
{
  g_autoptr (GArray) work = g_array_new (FALSE, FALSE, sizeof (double));
  double limit;

  for (guint i = 0; i < jobs->len; i++)
    if (g_array_index (jobs, struct emu_job, i).kind == kind)
      g_array_append_val (work, g_array_index (jobs, struct emu_job, i).core_s);
  if (work->len == 0)
    return;
  g_array_sort (work, compare_doubles);
  limit = g_array_index (work, double, (guint)((1 - LARGE_SHARE) * work->len));
  for (guint i = 0; i < jobs->len; i++)
    {
      struct emu_job *job = &g_array_index (jobs, struct emu_job, i);

      if (job->kind == kind)
        job->is_large = job->core_s >= limit;
    }
}

struct emu_load *
emu_load_create (const struct emulator_scenario *scenario, uint32_t seed)
{
  struct emu_load *load = g_new0 (struct emu_load, 1);
  GRand *random = g_rand_new_with_seed (seed);

  load->jobs = g_array_new (FALSE, FALSE, sizeof (struct emu_job));
  for (unsigned kind = 0; kind < EMULATOR_JOB_KINDS; kind++)
    {
      double at_s = 0;

      while (scenario->kinds[kind].arrivals_per_s > 0)
        {
          double wave = 1 + scenario->rate_swing * sin (2 * G_PI * at_s / 11);
          double rate = scenario->kinds[kind].arrivals_per_s * scenario->load * wave
                        * burst_factor (scenario, kind, at_s);
          struct emu_job job;

          at_s += -log (g_rand_double_range (random, 1e-9, 1)) / rate;
          if (at_s >= scenario->duration_s)
            break;
          job = draw_job (scenario, kind, ARRIVALS_START_US + (int64_t)(at_s * 1e6), random);
          job.crashes_upstream = draw_crashing (scenario, kind, at_s, random);
          g_array_append_val (load->jobs, job);
        }
      mark_large_jobs (load->jobs, kind);
    }
  g_array_sort (load->jobs, compare_arrival);
  g_rand_free (random);
  return load;
}

void
emu_load_destroy (struct emu_load *load)
{
  for (guint i = 0; i < load->jobs->len; i++)
    g_free (g_array_index (load->jobs, struct emu_job, i).work_us);
  g_array_unref (load->jobs);
  g_free (load);
}
