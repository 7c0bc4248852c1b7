#include "azurerock/clock.h"
#include "azurerock/retry_budget.h"
#include "azurerock/run_time.h"
#include "azurerock/team_queue.h"
#include "testing.h"
#include <glib.h>

#define GROUP 0
#define NO_LIMIT 100000

static void
read_test_clock (void *context, struct timespec *now)
{
  *now = az_time_from_ns (*(int64_t *)context * 1000000);
}

static uint32_t
pop (struct az_team_queue *queue)
{
  uint32_t team = 0;

  return az_team_queue_pop (queue, GROUP, &team);
}

/* Guards against slots that follow the order of arrival instead of the weights: the 2000 tasks of
 * team 0, with the lowest weight, are pushed first. */
static void
test_slots_follow_weights (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();
  uint32_t weights[] = { 1, 2, 5 };

  for (uint32_t team = 0; team < 3; team++)
    {
      az_team_queue_set_team (queue, team, weights[team], NO_LIMIT, NO_LIMIT);
      assert_true (az_team_queue_push (queue, team, GROUP, team + 1, 2000));
    }
  for (int i = 0; i < 800; i++)
    assert_int_not_equal (pop (queue), 0);
  for (uint32_t team = 0; team < 3; team++)
    assert_in_range (az_team_queue_running (queue, team), weights[team] * 100 - 1,
                     weights[team] * 100 + 1);
  az_team_queue_destroy (queue);
}

/* Guards against starvation with one slot, where no team has a running task at any pop. */
static void
test_single_slot_serves_teams_in_turn (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();
  uint32_t served[3] = { 0 };

  for (uint32_t team = 0; team < 3; team++)
    {
      az_team_queue_set_team (queue, team, 1, NO_LIMIT, NO_LIMIT);
      az_team_queue_push (queue, team, GROUP, team + 1, 100);
    }
  for (int i = 0; i < 30; i++)
    {
      uint32_t team;

      az_team_queue_pop (queue, GROUP, &team);
      az_team_queue_record_finish (queue, team);
      served[team]++;
    }
  for (uint32_t team = 0; team < 3; team++)
    assert_int_equal (served[team], 10);
  az_team_queue_destroy (queue);
}

/* Guards against an unbounded queue, and against a refused push that leaves part of a job in it. */
static void
test_push_is_all_or_nothing (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();

  az_team_queue_set_team (queue, 4, 1, 10, NO_LIMIT);
  assert_true (az_team_queue_push (queue, 4, GROUP, 1, 7));
  assert_false (az_team_queue_push (queue, 4, GROUP, 2, 4));
  assert_false (az_team_queue_push (queue, 4, GROUP, 2, UINT32_MAX));
  assert_int_equal (az_team_queue_waiting (queue, 4), 7);
  assert_int_equal (az_team_queue_remove (queue, 4, GROUP, 2), 0);
  assert_true (az_team_queue_push (queue, 4, GROUP, 2, 3));
  assert_false (az_team_queue_push (queue, 9, GROUP, 3, 1));
  az_team_queue_destroy (queue);
}

/* Guards against a team that runs more tasks than its slot limit, which is set to its claim. */
static void
test_slot_limit (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();

  az_team_queue_set_team (queue, 0, 1, NO_LIMIT, 2);
  az_team_queue_push (queue, 0, GROUP, 1, 5);
  assert_int_equal (az_team_queue_runnable (queue, GROUP), 2);
  assert_int_equal (pop (queue), 1);
  assert_int_equal (pop (queue), 1);
  assert_int_equal (pop (queue), 0);
  az_team_queue_record_finish (queue, 0);
  assert_int_equal (pop (queue), 1);
  az_team_queue_set_slot_limit (queue, 0, 1);
  assert_int_equal (az_team_queue_runnable (queue, GROUP), 0);
  az_team_queue_set_slot_limit (queue, 0, 3);
  assert_int_equal (az_team_queue_runnable (queue, GROUP), 1);
  az_team_queue_destroy (queue);
}

/* Guards against a later job overtaking an earlier one of its team, also after a refused task of
 * the earlier one was put back. */
static void
test_arrival_order_within_a_team (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();
  uint32_t expected[] = { 1, 1, 2, 3, 3 };

  az_team_queue_set_team (queue, 0, 1, NO_LIMIT, NO_LIMIT);
  az_team_queue_push (queue, 0, GROUP, 1, 2);
  az_team_queue_push (queue, 0, GROUP, 2, 1);
  az_team_queue_push (queue, 0, GROUP, 3, 2);
  assert_int_equal (pop (queue), 1);
  az_team_queue_push_front (queue, 0, GROUP, 1);
  assert_int_equal (az_team_queue_running (queue, 0), 0);
  assert_int_equal (pop (queue), 1);
  assert_int_equal (pop (queue), 1);
  az_team_queue_push_front (queue, 0, GROUP, 1);
  az_team_queue_push_front (queue, 0, GROUP, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    assert_int_equal (pop (queue), expected[i]);
  assert_int_equal (pop (queue), 0);
  az_team_queue_destroy (queue);
}

/* Guards against a pop from the wrong group: upstreams of one group don't run tasks of another. */
static void
test_groups_are_separate (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();
  uint32_t team;

  az_team_queue_set_team (queue, 0, 1, NO_LIMIT, NO_LIMIT);
  az_team_queue_push (queue, 0, 3, 1, 1);
  assert_int_equal (az_team_queue_pop (queue, 0, &team), 0);
  assert_int_equal (az_team_queue_pop (queue, 7, &team), 0);
  assert_int_equal (az_team_queue_pop (queue, 3, &team), 1);
  az_team_queue_destroy (queue);
}

/* Guards against cancelled tasks that still start or that remain counted as waiting. */
static void
test_removed_job_does_not_run (void **state)
{
  struct az_team_queue *queue = az_team_queue_create ();

  az_team_queue_set_team (queue, 0, 1, NO_LIMIT, NO_LIMIT);
  az_team_queue_push (queue, 0, GROUP, 1, 4);
  az_team_queue_push (queue, 0, GROUP, 2, 1);
  pop (queue);
  assert_int_equal (az_team_queue_remove (queue, 0, GROUP, 1), 3);
  assert_int_equal (az_team_queue_remove (queue, 0, GROUP, 1), 0);
  assert_int_equal (az_team_queue_waiting (queue, 0), 1);
  assert_int_equal (pop (queue), 2);
  assert_int_equal (pop (queue), 0);
  az_team_queue_destroy (queue);
}

static int64_t
thread_cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return az_time_to_ns (now) / 1000;
}

/* Returns the time of 2,000 pops from a queue of @n_jobs jobs, in us. */
static int64_t
measure_pops_us (uint32_t n_jobs)
{
  struct az_team_queue *queue = az_team_queue_create ();
  int64_t start_us;
  int64_t spent_us;

  az_team_queue_set_team (queue, 0, 1, NO_LIMIT * 10, NO_LIMIT * 10);
  for (uint32_t job = 1; job <= n_jobs; job++)
    az_team_queue_push (queue, 0, GROUP, job, 1);
  start_us = thread_cpu_us ();
  for (int i = 0; i < 2000; i++)
    pop (queue);
  spent_us = thread_cpu_us () - start_us;
  az_team_queue_destroy (queue);
  return spent_us;
}

/* Other processes evict the caches and share the core, which only ever adds to the time, so the
 * shortest of several measurements counts. */
static int64_t
measure_shortest_pops_us (uint32_t n_jobs)
{
  int64_t shortest_us = INT64_MAX;

  for (int i = 0; i < 5; i++)
    shortest_us = MIN (shortest_us, measure_pops_us (n_jobs));
  return shortest_us;
}

/* Guards against a pop whose cost grows with the number of jobs: with 200,000 jobs it must take
 * less than ten times as long as with 2,000. */
static void
test_pop_cost_does_not_grow_with_jobs (void **state)
{
  int64_t few_us = measure_shortest_pops_us (2000);
  int64_t many_us = measure_shortest_pops_us (200000);

  (void)state;
  /* 100 us stand for the resolution of the clock. */
  assert_true (many_us + 100 < 10 * (few_us + 100));
}

/* Guards against retries that multiply the load when most starts of a burst are refused. */
static void
test_retry_budget_in_a_burst (void **state)
{
  int64_t now_ms = 5000;
  struct az_clock clock = { .monotonic = read_test_clock, .context = &now_ms };
  struct az_retry_budget *budget = az_retry_budget_create (&clock, 10);
  uint32_t taken = 0;

  for (int i = 0; i < 1000; i++)
    {
      az_retry_budget_record_start (budget);
      taken += az_retry_budget_take (budget);
      taken += az_retry_budget_take (budget);
    }
  assert_int_equal (taken, 110);
  now_ms += 500;
  assert_false (az_retry_budget_take (budget));
  now_ms += 600;
  for (taken = 0; az_retry_budget_take (budget);)
    taken++;
  assert_int_equal (taken, 10);
  now_ms += 1000000;
  assert_true (az_retry_budget_take (budget));
  az_retry_budget_destroy (budget);
}

/* Guards against quantiles that are off by more than 7%, from microseconds to minutes. */
static void
test_quantiles_are_within_bounds (void **state)
{
  for (int64_t scale = 1; scale <= 60000000; scale *= 7)
    {
      struct az_run_time *times = az_run_time_create ();
      uint32_t asked[] = { 100, 500, 900, 990 };

      for (int64_t i = 0; i < 4000; i++)
        az_run_time_add (times, scale * (1 + i * 37 % 1000));
      for (size_t i = 0; i < G_N_ELEMENTS (asked); i++)
        {
          double ratio
              = (double)az_run_time_quantile_us (times, asked[i]) / ((double)scale * asked[i]);

          assert_true (ratio > 0.93 && ratio < 1.07);
        }
      assert_int_equal (az_run_time_count (times), 4000);
      az_run_time_destroy (times);
    }
}

/* Guards against estimates that don't follow the load: run times change from 1 s to 50 ms. */
static void
test_run_times_follow_a_change (void **state)
{
  struct az_run_time *times = az_run_time_create ();

  assert_int_equal (az_run_time_mean_us (times), 0);
  assert_int_equal (az_run_time_quantile_us (times, 500), 0);
  for (int i = 0; i < 300000; i++)
    az_run_time_add (times, 1000000);
  for (int i = 0; i < 3000; i++)
    az_run_time_add (times, 50000);
  assert_in_range (az_run_time_quantile_us (times, 900), 46500, 53500);
  assert_in_range (az_run_time_mean_us (times), 50000, 100000);
  az_run_time_destroy (times);
}

/* Guards against wrong estimates of the wait, which would refuse jobs that can finish before their
 * deadline, or accept jobs that can't. */
static void
test_expected_wait (void **state)
{
  struct az_run_time *times = az_run_time_create ();

  assert_int_equal (az_run_time_wait_us (times, 100, 1, 8), 0);
  az_run_time_add (times, 100000);
  assert_int_equal (az_run_time_wait_us (times, 0, 1, 8), 100000);
  assert_int_equal (az_run_time_wait_us (times, 80, 1, 8), 1100000);
  assert_int_equal (az_run_time_wait_us (times, 80, 81, 8), 2100000);
  assert_int_equal (az_run_time_wait_us (times, 1, 1, 0), 200000);
  az_run_time_destroy (times);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slots_follow_weights),
    cmocka_unit_test (test_single_slot_serves_teams_in_turn),
    cmocka_unit_test (test_push_is_all_or_nothing),
    cmocka_unit_test (test_slot_limit),
    cmocka_unit_test (test_arrival_order_within_a_team),
    cmocka_unit_test (test_groups_are_separate),
    cmocka_unit_test (test_removed_job_does_not_run),
    cmocka_unit_test (test_pop_cost_does_not_grow_with_jobs),
    cmocka_unit_test (test_retry_budget_in_a_burst),
    cmocka_unit_test (test_quantiles_are_within_bounds),
    cmocka_unit_test (test_run_times_follow_a_change),
    cmocka_unit_test (test_expected_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
