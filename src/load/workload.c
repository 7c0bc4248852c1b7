#include "load/workload.h"
#include <math.h>

/* Size classes of mixed job sizes: largest size and jobs per thousand. */
static const struct
{
  uint32_t tasks_max;
  uint32_t per_mille;
} size_classes[] = { { 1, 800 }, { 10, 170 }, { 100, 29 }, { UINT32_MAX, 1 } };

void
az_workload_settings_init (struct az_workload_settings *settings)
{
  *settings = (struct az_workload_settings){
    .rate = 20,
    .duration_us = 10000000,
    .tasks_min = 1,
    .tasks_max = 1700,
    .mixed_sizes = TRUE,
    .run_min_us = 50000,
    .run_max_us = 1000000,
    .long_percent = 1,
    .long_min_us = 2000000,
    .long_max_us = 5000000,
    .burst_factor = 1,
  };
}

static uint32_t
size_class_min (const struct az_workload_settings *settings, guint size_class)
{
  uint32_t low = size_class ? size_classes[size_class - 1].tasks_max + 1 : 1;

  return CLAMP (low, settings->tasks_min, settings->tasks_max);
}

static uint32_t
size_class_max (const struct az_workload_settings *settings, guint size_class)
{
  return CLAMP (size_classes[size_class].tasks_max, settings->tasks_min, settings->tasks_max);
}

static double
mean_size (const struct az_workload_settings *settings)
{
  double mean = 0;

  if (!settings->mixed_sizes)
    return ((double)settings->tasks_min + settings->tasks_max) / 2;
  for (guint i = 0; i < G_N_ELEMENTS (size_classes); i++)
    mean += size_classes[i].per_mille / 1000.0
            * ((double)size_class_min (settings, i) + size_class_max (settings, i)) / 2;
  return mean;
}

static double
log_uniform_mean (int64_t low, int64_t high)
{
  if (low >= high)
    return (double)low;
  low = MAX (low, 1);
  return (double)(high - low) / log ((double)high / (double)low);
}

double
az_workload_mean_work_us (const struct az_workload_settings *settings)
{
  double long_share = settings->long_percent / 100;
  double usual_us = log_uniform_mean (settings->run_min_us, settings->run_max_us);
  double long_us = log_uniform_mean (settings->long_min_us, settings->long_max_us);

  return mean_size (settings) * ((1 - long_share) * usual_us + long_share * long_us);
}

static uint32_t
draw_size (const struct az_workload_settings *settings, GRand *random)
{
  int per_mille = g_rand_int_range (random, 0, 1000);
  uint32_t low = settings->tasks_min;
  uint32_t high = settings->tasks_max;
  guint size_class = 0;

  if (settings->mixed_sizes)
    {
      while (per_mille >= (int)size_classes[size_class].per_mille)
        per_mille -= (int)size_classes[size_class++].per_mille;
      low = size_class_min (settings, size_class);
      high = size_class_max (settings, size_class);
    }
  return (uint32_t)g_rand_int_range (random, (gint32)low, (gint32)high + 1);
}

static int64_t
draw_log_uniform (int64_t low, int64_t high, GRand *random)
{
  if (low >= high)
    return low;
  low = MAX (low, 1);
  return (int64_t)((double)low * pow ((double)high / (double)low, g_rand_double (random)));
}

static int64_t
draw_run_us (const struct az_workload_settings *settings, GRand *random)
{
  if (g_rand_double (random) * 100 < settings->long_percent)
    return draw_log_uniform (settings->long_min_us, settings->long_max_us, random);
  return draw_log_uniform (settings->run_min_us, settings->run_max_us, random);
}

/* Arrival rate at @time_us. The rate outside bursts is lowered so that the mean over a burst period
 * equals the rate of the settings. */
static double
rate_at (const struct az_workload_settings *settings, int64_t time_us)
{
  double burst_share;

  if (settings->burst_factor <= 1 || settings->burst_every_us <= settings->burst_us)
    return settings->rate;
  if (time_us % settings->burst_every_us >= settings->burst_every_us - settings->burst_us)
    return settings->rate * settings->burst_factor;
  burst_share = (double)settings->burst_us / (double)settings->burst_every_us;
  return settings->rate
         * MAX ((1 - burst_share * settings->burst_factor) / (1 - burst_share), 0.01);
}

/* Samples a Poisson process with a varying rate by thinning: draws arrivals at the peak rate and
 * keeps each with the probability of the current rate over the peak rate. */
static int64_t
draw_arrival_us (const struct az_workload_settings *settings, int64_t time_us, GRand *random)
{
  double peak_rate = settings->rate * MAX (settings->burst_factor, 1);

  if (settings->rate <= 0)
    return 0;
  do
    time_us += (int64_t)(-log (1 - g_rand_double (random)) / peak_rate * 1e6);
  while (time_us < settings->duration_us
         && g_rand_double (random) * peak_rate > rate_at (settings, time_us));
  return time_us;
}

struct az_workload *
az_workload_create (const struct az_workload_settings *settings, GRand *random)
{
  struct az_workload *workload = g_new0 (struct az_workload, 1);
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct az_workload_job));
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t time_us = draw_arrival_us (settings, 0, random);

  while (time_us < settings->duration_us && (!settings->jobs_max || jobs->len < settings->jobs_max))
    {
      struct az_workload_job job = { time_us, runs->len, draw_size (settings, random) };

      for (uint32_t i = 0; i < job.n_tasks; i++)
        {
          int64_t run_us = draw_run_us (settings, random);

          g_array_append_val (runs, run_us);
        }
      g_array_append_val (jobs, job);
      time_us = draw_arrival_us (settings, time_us, random);
    }
  workload->n_jobs = jobs->len;
  workload->n_tasks = runs->len;
  workload->jobs = (struct az_workload_job *)(void *)g_array_free (jobs, FALSE);
  workload->run_times_us = (int64_t *)(void *)g_array_free (runs, FALSE);
  return workload;
}

void
az_workload_destroy (struct az_workload *workload)
{
  if (!workload)
    return;
  g_free (workload->jobs);
  g_free (workload->run_times_us);
  g_free (workload);
}
