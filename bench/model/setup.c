#include "setup.h"

/* The reservation variants differ in how entries send demand and how grants are returned. */
const struct model_variant model_variants[] = {
  { "random", MODEL_RANDOM, 0, false, false, 0 },
  { "two-choices", MODEL_TWO_CHOICES, 0, false, false, 0 },
  { "stale-view", MODEL_STALE_VIEW, 0, false, false, 0 },
  { "reservation", MODEL_RESERVATION, 0, false, false, 0 },
  { "return", MODEL_RESERVATION, 0, true, false, 0 },
  { "split", MODEL_RESERVATION, 0, false, true, 0 },
  { "split-fanout2", MODEL_RESERVATION, 2, false, true, 0 },
  { "split-fanout2-keep2", MODEL_RESERVATION, 2, false, true, 2 },
  { "split-fanout1-keep2", MODEL_RESERVATION, 1, false, true, 2 },
};

const guint model_n_variants = G_N_ELEMENTS (model_variants);

struct model_config
model_create_config (const struct model_run_settings *run,
                     const struct model_variant *variant,
                     int64_t delay_us)
{
  return (struct model_config){ .policy = variant->policy,
                                .agents = 11,
                                .slots = 8,
                                .entries = 3,
                                .delay_us = delay_us,
                                .seed = run->seed,
                                .demand_fanout = variant->demand_fanout,
                                .return_unneeded = variant->return_unneeded,
                                .split_demand = variant->split_demand,
                                .keep_grants = variant->keep_grants,
                                .recall_idle_us = 5000 };
}

struct az_workload *
model_create_workload (const struct model_run_settings *run,
                       double load,
                       bool bursts,
                       uint32_t tasks)
{
  struct az_workload_settings settings;
  GRand *random = g_rand_new_with_seed (run->seed);
  struct az_workload *workload;

  az_workload_settings_init (&settings);
  if (tasks)
    {
      settings.mixed_sizes = FALSE;
      settings.tasks_min = settings.tasks_max = tasks;
    }
  settings.rate = load * 11 * 8 * US_PER_S / az_workload_mean_work_us (&settings);
  settings.duration_us = run->duration_us;
  if (bursts)
    {
      settings.burst_factor = 10;
      settings.burst_every_us = 25 * US_PER_S;
      settings.burst_us = US_PER_S / 2;
    }
  workload = az_workload_create (&settings, random);
  g_rand_free (random);
  return workload;
}
