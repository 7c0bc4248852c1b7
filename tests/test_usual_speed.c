#include "dispatch/speed.h"
#include "testing.h"
#include <glib.h>
#include <math.h>

#define EXPECTED_US 100000
#define TASKS_PER_S 39

/* An upstream that counts as slow gets a probe at most this often. */
#define PROBE_INTERVAL_S 0.3

#define SEEDS 5

struct tasks
{
  double hardware;
  double spread; /* of the estimates */
  double long_share;
  uint64_t n_jobs;
  GRand *random;
};

static double
draw_normal (GRand *random)
{
  double radius = sqrt (-2 * log (g_rand_double_range (random, 1e-9, 1)));

  return radius * cos (2 * G_PI * g_rand_double (random));
}

/* Runs the task of one job. */
static void
run_task (struct az_speed *speed, struct tasks *tasks)
{
  double run_us = EXPECTED_US / tasks->hardware * exp (tasks->spread * draw_normal (tasks->random));

  if (g_rand_double (tasks->random) < tasks->long_share)
    run_us *= 7;
  az_speed_update (speed, tasks->n_jobs++, EXPECTED_US, (int64_t)run_us);
}

static void
run_tasks (struct az_speed *speed, struct tasks *tasks, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    run_task (speed, tasks);
}

static unsigned
count_jobs_until_slow (struct az_speed *speed, struct tasks *tasks)
{
  unsigned count = 0;

  for (; !az_speed_is_slow (speed->value) && count < 100; count++)
    run_task (speed, tasks);
  return count;
}

/* Share of the time in which the upstream counts as slow. */
static double
slow_share (struct az_speed *speed, struct tasks *tasks, double duration_s)
{
  double slow_s = 0;
  double now_s = 0;

  while (now_s < duration_s)
    {
      double interval_s = az_speed_is_slow (speed->value) ? PROBE_INTERVAL_S : 1.0 / TASKS_PER_S;

      slow_s += az_speed_is_slow (speed->value) ? interval_s : 0;
      now_s += interval_s;
      run_task (speed, tasks);
    }
  return slow_s / now_s;
}

static struct tasks
create_tasks (double hardware, double spread, double long_share, unsigned seed)
{
  return (struct tasks){ hardware, spread, long_share, 1, g_rand_new_with_seed (seed) };
}

/* Guards against hardware of half the normal speed that gets only probes for most of the time. */
static void
test_slow_hardware_is_in_use (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= 2 * SEEDS; seed++)
    {
      struct tasks tasks = create_tasks (0.55, 0.4, seed % 2 ? 0.03 : 0, seed);
      struct az_speed speed;

      az_speed_init (&speed, true);
      assert_true (slow_share (&speed, &tasks, 100) < 0.02);
      assert_true (slow_share (&speed, &tasks, 1000) < 0.02);
      g_rand_free (tasks.random);
    }
}

/* Guards against a change for upstreams without the setting, and against a test above that doesn't
 * detect the fault. */
static void
test_slow_hardware_is_slow_without_the_setting (void **state)
{
  struct tasks tasks = create_tasks (0.55, 0.4, 0, 1);
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, false);
  assert_true (slow_share (&speed, &tasks, 1000) > 0.2);
  assert_true (az_speed_usual (&speed) == 1);
  g_rand_free (tasks.random);
}

/* Guards against an upstream of any usable hardware that becomes slow unnoticed. */
static void
test_sixth_of_the_usual_speed_is_slow (void **state)
{
  static const double hardware[] = { 0.55, 0.8, 1, 1.2 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (hardware); i++)
    {
      struct tasks tasks = create_tasks (hardware[i], 0.4, 0, 1);
      struct az_speed speed;

      az_speed_init (&speed, true);
      run_tasks (&speed, &tasks, 1000);
      tasks.hardware /= 6;
      tasks.spread = 0.1;
      assert_int_equal (count_jobs_until_slow (&speed, &tasks), 3);
      g_rand_free (tasks.random);
    }
}

/* Guards against the same where some tasks are long. As without the setting, more jobs than three
 * are needed there. */
static void
test_sixth_is_slow_beside_long_tasks (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct tasks tasks = create_tasks (0.55, 0.4, 0.03, seed);
      struct az_speed speed;

      az_speed_init (&speed, true);
      run_tasks (&speed, &tasks, 1000);
      tasks.hardware /= 6;
      assert_in_range (count_jobs_until_slow (&speed, &tasks), 3, 10);
      g_rand_free (tasks.random);
    }
}

/* Guards against upstreams whose tasks stand still and that stay in use because their usual speed
 * is low. A stalled task is recorded with a run time of 10 s. */
static void
test_tasks_without_progress_are_slow (void **state)
{
  struct tasks tasks = create_tasks (0.55, 0.4, 0.03, 1);
  struct az_speed speed;
  unsigned count = 0;

  (void)state;
  az_speed_init (&speed, true);
  run_tasks (&speed, &tasks, 1000);
  for (; !az_speed_is_slow (speed.value) && count < 100; count++)
    az_speed_update (&speed, tasks.n_jobs++, EXPECTED_US, 100 * EXPECTED_US);
  assert_in_range (count, 3, 4);
  g_rand_free (tasks.random);
}

/* Guards against a cold or degraded upstream whose speed is taken for its usual one. */
static void
test_slow_from_the_start (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct tasks tasks = create_tasks (1.0 / 6, 0.1, 0, seed);
      struct az_speed speed;

      az_speed_init (&speed, true);
      assert_int_equal (count_jobs_until_slow (&speed, &tasks), 3);
      tasks.spread = 0.4;
      assert_true (slow_share (&speed, &tasks, 1000) > 0.98);
      tasks.hardware = 1;
      run_tasks (&speed, &tasks, 8);
      assert_false (az_speed_is_slow (speed.value));
      g_rand_free (tasks.random);
    }
}

/* Guards against hardware that is too slow for most jobs and comes into use because it has always
 * been that slow. */
static void
test_very_slow_hardware_stays_slow (void **state)
{
  (void)state;
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      struct tasks relative = create_tasks (0.3, 0.4, 0, seed);
      struct tasks absolute = create_tasks (0.3, 0.4, 0, seed);
      struct az_speed speed;
      double share;

      az_speed_init (&speed, false);
      share = slow_share (&speed, &absolute, 1000);
      az_speed_init (&speed, true);
      assert_true (slow_share (&speed, &relative, 1000) >= share - 0.02);
      g_rand_free (relative.random);
      g_rand_free (absolute.random);
    }
}

/* Guards against hardware of 0.55 that stays slow after a fault, since a gateway compares the
 * reported speed with a threshold that doesn't depend on the hardware. */
static void
test_return_to_the_usual_speed (void **state)
{
  struct tasks tasks = create_tasks (0.55, 0.4, 0, 1);
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, true);
  run_tasks (&speed, &tasks, 1000);
  tasks.hardware = 0.55 / 6;
  run_tasks (&speed, &tasks, 200);
  assert_true (az_speed_is_slow (speed.value));
  assert_true (az_speed_usual (&speed) > 0.45 && az_speed_usual (&speed) < 0.65);
  tasks.hardware = 0.55;
  run_tasks (&speed, &tasks, 4);
  assert_false (az_speed_is_slow (speed.value));
  g_rand_free (tasks.random);
}

/* Guards against one job with a wrong estimate that determines the usual speed by its number of
 * tasks. */
static void
test_jobs_count_once (void **state)
{
  struct az_usual_speed usual = { 0 };

  (void)state;
  for (unsigned i = 0; i < 100; i++)
    az_usual_speed_record (&usual, i % 7, 0.5);
  assert_true (az_usual_speed_get (&usual) == 0);
  for (unsigned i = 0; i < 100; i++)
    az_usual_speed_record (&usual, 8, 0.1);
  assert_true (az_usual_speed_get (&usual) == 0.5);
  assert_int_equal (usual.n_jobs, 8);
}

/* Guards against a new incarnation that is compared with the speed of the former one. */
static void
test_new_incarnation_is_unknown (void **state)
{
  struct tasks tasks = create_tasks (0.55, 0.4, 0, 1);
  struct az_speed speed;

  (void)state;
  az_speed_init (&speed, true);
  run_tasks (&speed, &tasks, 1000);
  assert_true (az_speed_usual (&speed) < 1);
  az_speed_init (&speed, true);
  assert_true (az_speed_usual (&speed) == 1);
  g_rand_free (tasks.random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_hardware_is_in_use),
    cmocka_unit_test (test_slow_hardware_is_slow_without_the_setting),
    cmocka_unit_test (test_sixth_of_the_usual_speed_is_slow),
    cmocka_unit_test (test_sixth_is_slow_beside_long_tasks),
    cmocka_unit_test (test_tasks_without_progress_are_slow),
    cmocka_unit_test (test_slow_from_the_start),
    cmocka_unit_test (test_very_slow_hardware_stays_slow),
    cmocka_unit_test (test_return_to_the_usual_speed),
    cmocka_unit_test (test_jobs_count_once),
    cmocka_unit_test (test_new_incarnation_is_unknown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
