#include "load/ideal_queue.h"
#include "load/quantile.h"
#include "setup.h"
#include <stdio.h>

static double
offered_load (const struct model_run_settings *run, const struct az_workload *workload)
{
  double work = 0;

  for (uint32_t i = 0; i < workload->n_tasks; i++)
    work += (double)workload->run_times_us[i];
  return work / (11.0 * 8 * (double)run->duration_us);
}

static int64_t *
copy_response_times (const struct model *model)
{
  int64_t *responses = g_new (int64_t, model->workload->n_jobs);

  for (uint32_t i = 0; i < model->workload->n_jobs; i++)
    responses[i] = model->jobs[i].response_us;
  return responses;
}

static double
ratio (const int64_t *values, const int64_t *ideal, uint32_t n, uint32_t per_mille)
{
  return (double)az_quantile (values, n, per_mille) / (double)az_quantile (ideal, n, per_mille);
}

static uint64_t
sum_messages (const struct model *model)
{
  uint64_t sum = 0;

  for (int i = 0; i < MODEL_N_MESSAGES; i++)
    sum += model->messages[i];
  return sum;
}

/* Messages that lead to no start: refused starts, probes of the agent that isn't chosen,
 * recalls, and returned grants together with the GRANT that issued them. */
static uint64_t
wasted_messages (const struct model *model)
{
  const uint64_t *n = model->messages;

  return 2 * n[MODEL_REFUSED] + (n[MODEL_PROBE] + n[MODEL_REPLY]) / 2 + n[MODEL_RECALL]
         + 2 * n[MODEL_RETURN];
}

static json_t *
run_variant (const struct model_run_settings *run,
             const struct model_variant *variant,
             const struct az_workload *workload,
             int64_t delay_us,
             const int64_t *ideal)
{
  struct model_config config = model_create_config (run, variant, delay_us);
  struct model *model = model_create (&config, workload);
  uint32_t n = workload->n_jobs;
  int64_t *responses;
  json_t *row;

  model_run (model);
  responses = copy_response_times (model);
  az_quantile_sort (responses, n);
  row = json_pack ("{s:s, s:f, s:f, s:f, s:f, s:f, s:f}", "policy", variant->name, "p50_ratio",
                   ratio (responses, ideal, n, 500), "p90_ratio", ratio (responses, ideal, n, 900),
                   "p99_ratio", ratio (responses, ideal, n, 990), "messages_per_task",
                   (double)sum_messages (model) / (double)model->starts, "wasted_percent",
                   100.0 * (double)wasted_messages (model) / (double)sum_messages (model),
                   "delay_ms", (double)delay_us / 1000);
  g_free (responses);
  model_destroy (model);
  return row;
}

static double
get_number (const json_t *row, const char *name)
{
  return json_number_value (json_object_get (row, name));
}

static void
print_comparison (const json_t *row)
{
  printf ("%4.0f%% %-6s %4.1f  %-22s %6.3f %6.3f %6.3f  %6.2f %7.2f%%\n",
          get_number (row, "load") * 100,
          json_is_true (json_object_get (row, "bursts")) ? "bursts" : "",
          get_number (row, "delay_ms"), json_string_value (json_object_get (row, "policy")),
          get_number (row, "p50_ratio"), get_number (row, "p90_ratio"),
          get_number (row, "p99_ratio"), get_number (row, "messages_per_task"),
          get_number (row, "wasted_percent"));
}

static void
compare_at_load (const struct model_run_settings *run,
                 json_t *rows,
                 double load,
                 bool bursts,
                 uint32_t tasks)
{
  static const int64_t delays_us[] = { 100, 1000 };
  struct az_workload *workload = model_create_workload (run, load, bursts, tasks);
  int64_t *ideal = az_ideal_queue_simulate (workload, 11 * 8, NULL, NULL);

  az_quantile_sort (ideal, workload->n_jobs);
  printf ("%u jobs, %u tasks, load %.3f, ideal p50 %.0f ms, p90 %.0f ms, p99 %.0f ms\n",
          workload->n_jobs, workload->n_tasks, offered_load (run, workload),
          (double)az_quantile (ideal, workload->n_jobs, 500) / 1000,
          (double)az_quantile (ideal, workload->n_jobs, 900) / 1000,
          (double)az_quantile (ideal, workload->n_jobs, 990) / 1000);
  for (guint d = 0; d < G_N_ELEMENTS (delays_us); d++)
    for (guint i = 0; i < model_n_variants; i++)
      {
        json_t *row = run_variant (run, &model_variants[i], workload, delays_us[d], ideal);

        json_object_set_new (row, "load", json_real (load));
        json_object_set_new (row, "bursts", json_boolean (bursts));
        json_object_set_new (row, "tasks", json_integer (tasks));
        print_comparison (row);
        json_array_append_new (rows, row);
      }
  g_free (ideal);
  az_workload_destroy (workload);
}

void
model_compare_policies (const struct model_run_settings *run, json_t *report)
{
  static const double loads[] = { 0.6, 0.8, 0.95 };
  json_t *rows = json_array ();

  printf ("load        delay  policy                    p50    p90    p99  msg/task  wasted\n");
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      compare_at_load (run, rows, loads[i], false, 0);
      compare_at_load (run, rows, loads[i], true, 0);
    }
  printf ("jobs of one task\n");
  compare_at_load (run, rows, 0.8, false, 1);
  printf ("jobs of 100 tasks\n");
  compare_at_load (run, rows, 0.8, false, 100);
  json_object_set_new (report, "comparison", rows);
}
