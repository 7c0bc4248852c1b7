#include "setup.h"
#include <stdio.h>

/* One agent fails every task after 1 ms, so its slots are free more often than those of others. */
static json_t *
run_ejection (const struct model_run_settings *run,
              const struct model_variant *variant,
              const struct az_workload *workload,
              bool use_ejector)
{
  struct model_config config = model_create_config (run, variant, 100);
  struct model *model;
  double percent;

  config.failing_agents = 1;
  config.use_ejector = use_ejector;
  model = model_create (&config, workload);
  model_run (model);
  percent = 100.0 * (double)model->failed_starts_after_1s / (double)model->starts_after_1s;
  printf ("%-22s ejection %-3s  tasks lost %7" G_GUINT64_FORMAT "  after 1 s %7.3f%%\n",
          variant->name, use_ejector ? "on" : "off", model->failed_starts, percent);
  model_destroy (model);
  return json_pack ("{s:s, s:b, s:f}", "policy", variant->name, "ejection", use_ejector,
                    "lost_after_1s_percent", percent);
}

static int64_t
busy_time_between (const struct model *model, int64_t from_us, int64_t to_us)
{
  int64_t sum = 0;

  for (int64_t bin = from_us / 100000; bin < to_us / 100000 && bin < model->busy_slot_us->len;
       bin++)
    sum += g_array_index (model->busy_slot_us, int64_t, bin);
  return sum;
}

/* Returns the time from the restore to the end of the first interval of 100 ms in which at least
 * 95% of the slot time is busy, or -1 if there is none within 30 s. */
static int64_t
time_to_full_capacity_ms (const struct model *model)
{
  int64_t full = 11 * 8 * INT64_C (100000) * 95 / 100;

  for (int64_t ms = 0; ms < 30000; ms += 100)
    if (busy_time_between (model, model->config.restore_us + ms * 1000,
                           model->config.restore_us + (ms + 100) * 1000)
        >= full)
      return ms + 100;
  return -1;
}

static struct model *
run_withdrawal (const struct model_run_settings *run,
                const struct model_variant *variant,
                const struct az_workload *workload)
{
  struct model_config config = model_create_config (run, variant, 100);
  struct model *model;

  config.withdrawn_agents = 4;
  config.withdraw_us = INT64_C (60) * US_PER_S;
  config.restore_us = INT64_C (90) * US_PER_S;
  config.ramp_up = true;
  model = model_create (&config, workload);
  model_run (model);
  return model;
}

static void
compare_withdrawal (const struct model_run_settings *run, json_t *rows, double load)
{
  static const struct model_variant central = { .name = "central", .policy = MODEL_CENTRAL };
  struct az_workload *workload = model_create_workload (run, load, false, 0);
  struct model *ideal = run_withdrawal (run, &central, workload);
  int64_t from = ideal->config.withdraw_us - 15 * (int64_t)US_PER_S;
  double ideal_work = (double)busy_time_between (ideal, from, from + 30 * (int64_t)US_PER_S);

  printf ("%.0f%% load: central queue has full capacity %" G_GINT64_FORMAT " ms after return\n",
          load * 100, time_to_full_capacity_ms (ideal));
  for (guint i = 0; i < model_n_variants; i++)
    {
      struct model *model = run_withdrawal (run, &model_variants[i], workload);
      double work
          = (double)busy_time_between (model, from, from + 30 * (int64_t)US_PER_S) / ideal_work;

      printf ("%-22s work around withdrawal %6.2f%%  full capacity after %5" G_GINT64_FORMAT
              " ms  refused %" G_GUINT64_FORMAT "\n",
              model_variants[i].name, work * 100, time_to_full_capacity_ms (model),
              model->messages[MODEL_REFUSED]);
      json_array_append_new (rows,
                             json_pack ("{s:s, s:f, s:f, s:I, s:I}", "policy",
                                        model_variants[i].name, "load", load, "work_ratio", work,
                                        "full_capacity_ms", time_to_full_capacity_ms (model),
                                        "refused", model->messages[MODEL_REFUSED]));
      model_destroy (model);
    }
  model_destroy (ideal);
  az_workload_destroy (workload);
}

void
model_run_scenarios (const struct model_run_settings *run, json_t *report)
{
  struct az_workload *workload = model_create_workload (run, 0.8, false, 0);
  json_t *ejection = json_array ();
  json_t *withdrawal = json_array ();

  printf ("one agent of 11 fails every task, 80%% load\n");
  for (guint i = 0; i < model_n_variants; i++)
    {
      json_array_append_new (ejection, run_ejection (run, &model_variants[i], workload, false));
      json_array_append_new (ejection, run_ejection (run, &model_variants[i], workload, true));
    }
  az_workload_destroy (workload);
  printf ("4 of 11 agents leave for 30 s\n");
  compare_withdrawal (run, withdrawal, 0.6);
  compare_withdrawal (run, withdrawal, 0.8);
  json_object_set_new (report, "ejection", ejection);
  json_object_set_new (report, "withdrawal", withdrawal);
}
