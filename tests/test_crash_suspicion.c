#include "dispatch/crash_suspicion.h"
#include "testing.h"
#include <glib.h>

#define SECOND_US 1000000
#define UPSTREAMS 11

/* Shares of three queues in the starts. */
static const double shares[] = { 0.5, 0.3, 0.2 };
static const char *const queues[] = { "orders", "seats", "permits" };

struct series
{
  struct az_crash_suspicion *suspicion;
  unsigned n_crashes;
  unsigned n_suspected; /* times at which a queue became suspected */
  double at_s;
};

static struct series
begin_series (void)
{
  return (struct series){ .suspicion = az_crash_suspicion_create (), .at_s = 1 };
}

static void
end_series (struct series *series)
{
  az_crash_suspicion_destroy (series->suspicion);
}

static bool
is_suspected (const struct series *series, const char *queue)
{
  return az_crash_suspicion_is_suspected (series->suspicion, queue,
                                          (int64_t)(series->at_s * SECOND_US));
}

static void
record (struct series *series, uint32_t upstream, const char *queue, const char *job, double share)
{
  const struct az_blamed_crash crash = { .upstream = upstream,
                                         .life = ++series->n_crashes,
                                         .domain = upstream / UPSTREAMS ? "d2" : "d1",
                                         .queue = queue,
                                         .job_id = job };

  series->n_suspected += az_crash_suspicion_record (series->suspicion, &crash, share,
                                                    (int64_t)(series->at_s * SECOND_US))
                             .is_newly_suspected;
}

/* Crashes of all upstreams in turn, each under another job. */
static void
record_crashes (struct series *series, unsigned n, const char *queue, double share)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *job = g_strdup_printf ("%s-%u", queue, series->n_crashes);

      series->at_s += 0.3;
      record (series, series->n_crashes % UPSTREAMS, queue, job, share);
    }
}

static void
test_queue_with_more_than_its_share_is_suspected (void **state)
{
  struct series series = begin_series ();

  (void)state;
  record_crashes (&series, 3, "orders", 0.3);
  assert_false (is_suspected (&series, "orders"));
  record_crashes (&series, 7, "orders", 0.3);
  assert_true (is_suspected (&series, "orders"));
  assert_false (is_suspected (&series, "seats"));
  assert_int_equal (series.n_suspected, 1);
  end_series (&series);
}

/* Guards against an innocent queue that is suspected because one of its tasks had started last, and
 * against a guilty one that escapes by it. */
static void
test_wrong_blame_is_tolerated (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 8; i++)
    {
      record_crashes (&series, 5, "orders", 0.3);
      record_crashes (&series, 1, "seats", 0.2);
      assert_false (is_suspected (&series, "seats"));
    }
  assert_true (is_suspected (&series, "orders"));
  end_series (&series);
}

/* Guards against suspicion while upstreams crash for other reasons: then a queue gets the blame in
 * proportion to its share. The score allows one error in 300. */
static void
test_random_crashes_make_nobody_suspected (void **state)
{
  const unsigned n = 4000;

  (void)state;
  for (unsigned seed = 1; seed <= 3; seed++)
    {
      struct series series = begin_series ();
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);

      for (unsigned i = 0; i < n; i++)
        {
          double draw = g_rand_double (random);
          unsigned queue = draw < shares[0] ? 0 : draw < shares[0] + shares[1] ? 1 : 2;
          g_autofree char *job = g_strdup_printf ("%u", i);

          series.at_s += g_rand_double_range (random, 0.1, 0.9);
          record (&series, (uint32_t)g_rand_int_range (random, 0, UPSTREAMS), queues[queue], job,
                  shares[queue]);
        }
      assert_in_range (series.n_suspected, 0, n / 300);
      end_series (&series);
    }
}

/* Guards against a queue that is isolated, and with it nearly all of the load, because it gets the
 * blame for crashes of any cause. */
static void
test_queue_with_most_of_the_load_is_not_suspected_for_its_share (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 100; i++)
    {
      record_crashes (&series, 19, "orders", 0.95);
      record_crashes (&series, 1, "seats", 0.05);
    }
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against a queue with most of the load that is never suspected: jobs that are blamed on
 * several upstreams tell it from crashes of other causes. */
static void
test_jobs_that_are_blamed_again_count (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 4; i++)
    {
      g_autofree char *job = g_strdup_printf ("%u", i);

      for (unsigned j = 0; j < 2; j++)
        {
          series.at_s += 0.4;
          record (&series, 2 * i + j, "orders", job, 0.95);
        }
    }
  assert_true (is_suspected (&series, "orders"));
  end_series (&series);
}

/* Guards against a queue that is isolated because a failure domain has lost power, and against one
 * that takes its tasks to another domain which loses power too. */
static void
test_simultaneous_crashes_count_once (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned domain = 0; domain < 2; domain++)
    {
      for (unsigned i = 0; i < UPSTREAMS; i++)
        {
          g_autofree char *job = g_strdup_printf ("%u", i);

          record (&series, UPSTREAMS * domain + i, "permits", job, 0.2);
          series.at_s += 0.004;
        }
      series.at_s += 2;
    }
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against suspicion of a queue because of upstreams that crash again and again by
 * themselves, if the queue is the only one that can run there. */
static void
test_flapping_upstreams_make_nobody_suspected (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 60; i++)
    {
      g_autofree char *job = g_strdup_printf ("%u", i);

      series.at_s += 0.5;
      record (&series, 1 + i % 2, "permits", job, 0.2);
    }
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against a queue without a name that is suspected. */
static void
test_crashes_of_idle_upstreams_blame_nobody (void **state)
{
  struct series series = begin_series ();

  (void)state;
  record_crashes (&series, 40, "", 0);
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against a queue that is isolated after occasional crashes. */
static void
test_rare_crashes_make_nobody_suspected (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 40; i++)
    {
      record_crashes (&series, 1, "permits", 0.2);
      series.at_s += 4;
    }
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against a crash that counts twice because its sidecar reports it again. */
static void
test_crash_counts_once_for_an_incarnation (void **state)
{
  struct series series = begin_series ();

  (void)state;
  for (unsigned i = 0; i < 20; i++)
    {
      series.n_crashes = 0;
      series.at_s += 0.3;
      record (&series, 1 + i % 3, "permits", "", 0.2);
    }
  assert_int_equal (series.n_suspected, 0);
  end_series (&series);
}

/* Guards against a crash that is taken for an earlier one, because a sidecar that has restarted
 * counts the incarnations of its upstream from 1 again. */
static void
test_crash_after_a_restart_of_the_sidecar_counts (void **state)
{
  struct series series = begin_series ();
  struct az_blamed_crash crash = {
    .upstream = 1, .sidecar = 100, .life = 1, .domain = "d1", .queue = "orders", .job_id = ""
  };
  struct az_crash_verdict verdict;

  (void)state;
  az_crash_suspicion_record (series.suspicion, &crash, 0.3, SECOND_US);
  crash.sidecar = 200;
  verdict = az_crash_suspicion_record (series.suspicion, &crash, 0.3, 2 * SECOND_US);
  assert_int_equal (verdict.n_blamed, 2);
  end_series (&series);
}

static void
record_isolated (struct series *series, double wait_s)
{
  const struct az_blamed_crash crash = { .upstream = 1,
                                         .life = ++series->n_crashes,
                                         .domain = "d1",
                                         .queue = "orders",
                                         .job_id = "",
                                         .is_isolated = true };

  series->at_s += wait_s;
  az_crash_suspicion_record (series->suspicion, &crash, 0.3, (int64_t)(series->at_s * SECOND_US));
}

/* Guards against a queue that is let out while its crashed upstreams are down, and crashes the
 * others. */
static void
test_suspicion_outlasts_the_time_that_upstreams_are_down (void **state)
{
  struct series series = begin_series ();

  (void)state;
  record_crashes (&series, 10, "orders", 0.3);
  for (unsigned i = 0; i < 4; i++)
    {
      record_isolated (&series, 4);
      assert_true (is_suspected (&series, "orders"));
    }
  end_series (&series);
}

static void
test_suspicion_ends_without_crashes (void **state)
{
  struct series series = begin_series ();
  g_autofree char *cleared = NULL;

  (void)state;
  record_crashes (&series, 10, "orders", 0.3);
  assert_null (
      az_crash_suspicion_take_cleared (series.suspicion, (int64_t)(series.at_s * SECOND_US)));
  assert_true (az_crash_suspicion_is_any_suspected (series.suspicion));
  series.at_s += 6;
  assert_false (is_suspected (&series, "orders"));
  cleared = az_crash_suspicion_take_cleared (series.suspicion, (int64_t)(series.at_s * SECOND_US));
  assert_string_equal (cleared, "orders");
  assert_false (az_crash_suspicion_is_any_suspected (series.suspicion));
  end_series (&series);
}

/* Guards against a suspicion that lasts for ever because isolated upstreams crash for other
 * reasons. */
static void
test_suspicion_ends_although_isolated_upstreams_crash (void **state)
{
  struct series series = begin_series ();

  (void)state;
  record_crashes (&series, 10, "orders", 0.3);
  for (unsigned i = 0; i < 20; i++)
    record_isolated (&series, 2);
  assert_false (is_suspected (&series, "orders"));
  end_series (&series);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_queue_with_more_than_its_share_is_suspected),
    cmocka_unit_test (test_wrong_blame_is_tolerated),
    cmocka_unit_test (test_random_crashes_make_nobody_suspected),
    cmocka_unit_test (test_queue_with_most_of_the_load_is_not_suspected_for_its_share),
    cmocka_unit_test (test_jobs_that_are_blamed_again_count),
    cmocka_unit_test (test_simultaneous_crashes_count_once),
    cmocka_unit_test (test_flapping_upstreams_make_nobody_suspected),
    cmocka_unit_test (test_crashes_of_idle_upstreams_blame_nobody),
    cmocka_unit_test (test_rare_crashes_make_nobody_suspected),
    cmocka_unit_test (test_crash_counts_once_for_an_incarnation),
    cmocka_unit_test (test_crash_after_a_restart_of_the_sidecar_counts),
    cmocka_unit_test (test_suspicion_outlasts_the_time_that_upstreams_are_down),
    cmocka_unit_test (test_suspicion_ends_without_crashes),
    cmocka_unit_test (test_suspicion_ends_although_isolated_upstreams_crash),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
