#include "load/ideal_queue.h"
#include "load/quantile.h"
#include "load/workload.h"
#include "testing.h"

static struct az_workload *
make_workload (const struct az_workload_settings *settings, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  struct az_workload *workload = az_workload_create (settings, random);

  g_rand_free (random);
  return workload;
}

/* Guards against wrong reference response times. With two slots, the first job takes both, and the
 * second job waits for the slot that becomes free first. */
static void
test_ideal_queue_responses (void **state)
{
  struct az_workload_job jobs[] = { { 0, 0, 3 }, { 10, 3, 1 }, { 1000, 4, 1 } };
  int64_t runs[] = { 100, 40, 20, 30, 7 };
  struct az_workload workload = { jobs, 3, runs, 5 };
  int64_t *responses = az_ideal_queue_simulate (&workload, 2, NULL, NULL);

  assert_int_equal (responses[0], 100);
  assert_int_equal (responses[1], 80);
  assert_int_equal (responses[2], 7);
  g_free (responses);
}

/* Guards against response times computed from planned arrivals, which are all 0 in a closed loop.
 */
static void
test_ideal_queue_takes_measured_arrivals (void **state)
{
  struct az_workload_job jobs[] = { { 0, 0, 1 }, { 0, 1, 1 } };
  int64_t runs[] = { 100, 100 };
  int64_t arrivals[] = { 0, 50 };
  struct az_workload workload = { jobs, 2, runs, 2 };
  int64_t *responses = az_ideal_queue_simulate (&workload, 1, arrivals, NULL);

  assert_int_equal (responses[1], 150);
  g_free (responses);
}

/* Guards against an arrival rate or a mean run time that differs from the settings, with and
 * without bursts. */
static void
test_workload_matches_settings (void **state)
{
  struct az_workload_settings settings;

  az_workload_settings_init (&settings);
  settings.rate = 200;
  settings.duration_us = INT64_C (1000000000);
  settings.tasks_max = 100;
  for (int round = 0; round < 2; round++)
    {
      struct az_workload *workload = make_workload (&settings, 1);
      double work = 0;

      for (uint32_t i = 0; i < workload->n_tasks; i++)
        work += (double)workload->run_times_us[i];
      work /= workload->n_jobs * az_workload_mean_work_us (&settings);
      assert_in_range (workload->n_jobs, 196000, 204000);
      assert_true (work > 0.97 && work < 1.03);
      az_workload_destroy (workload);
      settings.burst_factor = 10;
      settings.burst_every_us = 25000000;
      settings.burst_us = 500000;
    }
}

/* Guards against missing bursts: with a burst factor of 10, 2% of the time must hold about 20% of
 * the jobs. */
static void
test_bursts (void **state)
{
  struct az_workload_settings settings;
  struct az_workload *workload;
  uint32_t n_in_bursts = 0;

  az_workload_settings_init (&settings);
  settings.rate = 100;
  settings.duration_us = INT64_C (1000000000);
  settings.burst_factor = 10;
  settings.burst_every_us = 25000000;
  settings.burst_us = 500000;
  workload = make_workload (&settings, 1);
  for (uint32_t i = 0; i < workload->n_jobs; i++)
    n_in_bursts += workload->jobs[i].arrival_us % 25000000 >= 24500000;
  assert_in_range (n_in_bursts * 1000 / workload->n_jobs, 180, 220);
  az_workload_destroy (workload);
}

/* Guards against a seed that doesn't reproduce its workload, and against job sizes out of bounds.
 */
static void
test_workload_is_bounded_and_repeatable (void **state)
{
  struct az_workload_settings settings;
  struct az_workload *first;
  struct az_workload *second;

  az_workload_settings_init (&settings);
  settings.tasks_min = 5;
  settings.tasks_max = 20;
  settings.jobs_max = 50;
  first = make_workload (&settings, 7);
  second = make_workload (&settings, 7);
  assert_int_equal (first->n_jobs, 50);
  assert_int_equal (first->n_tasks, second->n_tasks);
  assert_memory_equal (first->run_times_us, second->run_times_us,
                       first->n_tasks * sizeof (int64_t));
  for (uint32_t i = 0; i < first->n_jobs; i++)
    assert_in_range (first->jobs[i].n_tasks, 5, 20);
  az_workload_destroy (first);
  az_workload_destroy (second);
}

/* Guards against quantiles that are off by one rank. */
static void
test_quantile_ranks (void **state)
{
  int64_t values[] = { 5, 1, 4, 2, 3 };

  az_quantile_sort (values, 5);
  assert_int_equal (az_quantile (values, 5, 500), 3);
  assert_int_equal (az_quantile (values, 5, 990), 5);
  assert_int_equal (az_quantile (values, 5, 0), 1);
  assert_int_equal (az_quantile (values, 0, 500), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ideal_queue_responses),
    cmocka_unit_test (test_ideal_queue_takes_measured_arrivals),
    cmocka_unit_test (test_workload_matches_settings),
    cmocka_unit_test (test_bursts),
    cmocka_unit_test (test_workload_is_bounded_and_repeatable),
    cmocka_unit_test (test_quantile_ranks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
