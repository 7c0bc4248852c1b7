#include "dispatch/speed.h"
#include "testing.h"

#define EXPECTED_US 100000

/* Run time of the i-th task at normal speed, with estimates that are off by up to a half. */
static int64_t
run_us_of (uint64_t i)
{
  return EXPECTED_US * (int64_t)(60 + i * 37 % 90) / 100;
}

/* Each of @n_tasks is of another job; every @long_interval-th one takes seven times as long. */
static void
run_tasks (struct az_speed *speed,
           uint64_t first,
           unsigned n_tasks,
           unsigned long_interval,
           double hardware)
{
  for (uint64_t i = first; i < first + n_tasks; i++)
    {
      double factor = long_interval > 0 && i % long_interval == 0 ? 7 : 1;

      az_speed_update (speed, i, EXPECTED_US, (int64_t)((double)run_us_of (i) * factor / hardware));
    }
}

/* Runs tasks that take @factor times as long until the upstream counts as slow. */
static unsigned
count_jobs_until_slow (struct az_speed *speed, double factor)
{
  unsigned n_jobs = 0;

  while (!az_speed_is_slow (speed->value) && n_jobs < 100)
    {
      az_speed_update (speed, 100000 + n_jobs, EXPECTED_US,
                       (int64_t)((double)run_us_of (n_jobs) * factor));
      n_jobs++;
    }
  return n_jobs;
}

/* Guards against a change for upstreams without long tasks. */
static void
test_three_slow_jobs_make_an_upstream_slow (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 0, 1);
  assert_int_equal (count_jobs_until_slow (&speed, 6.5), 3);
}

/* Guards against normal upstreams that get only probes because three long tasks came in a row. */
static void
test_long_tasks_in_a_row_leave_the_speed (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 33, 1);
  for (uint64_t i = 0; i < 4; i++)
    az_speed_update (&speed, 5000 + i, EXPECTED_US, 7 * EXPECTED_US);
  assert_false (az_speed_is_slow (speed.value));
}

/* Guards against a slow upstream that goes unnoticed because some tasks are long. */
static void
test_slow_upstream_is_noticed_beside_long_tasks (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 33, 1);
  assert_in_range (count_jobs_until_slow (&speed, 6.5), 4, 10);
}

/* A stalled task is recorded with a run time beyond that of any long task. */
static void
test_three_stalled_tasks_make_an_upstream_slow (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 33, 1);
  assert_int_equal (count_jobs_until_slow (&speed, 100), 3);
}

/* Guards against hardware at half of the usual speed that counts as slow whenever three tasks in a
 * row were estimated too short. */
static void
test_slow_hardware_is_used (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 33, 0.55);
  for (uint64_t i = 0; i < 4; i++)
    az_speed_update (&speed, 5000 + i, EXPECTED_US, 3 * EXPECTED_US);
  assert_false (az_speed_is_slow (speed.value));
  assert_in_range (count_jobs_until_slow (&speed, 12), 1, 12);
}

/* Several tasks of one job share the error of its estimate. */
static void
test_one_job_makes_no_upstream_slow (void **state)
{
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  run_tasks (&speed, 1, 1000, 33, 1);
  for (uint64_t i = 0; i < 16; i++)
    az_speed_update (&speed, 5000 + i % 2, EXPECTED_US, 7 * EXPECTED_US);
  assert_false (az_speed_is_slow (speed.value));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_three_slow_jobs_make_an_upstream_slow),
    cmocka_unit_test (test_long_tasks_in_a_row_leave_the_speed),
    cmocka_unit_test (test_slow_upstream_is_noticed_beside_long_tasks),
    cmocka_unit_test (test_three_stalled_tasks_make_an_upstream_slow),
    cmocka_unit_test (test_slow_hardware_is_used),
    cmocka_unit_test (test_one_job_makes_no_upstream_slow),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
