#include "dispatch/run_ratio.h"
#include "testing.h"

static void
record_jobs (struct az_run_ratio *ratio, uint64_t first, unsigned n_jobs, double value)
{
  for (unsigned i = 0; i < n_jobs; i++)
    az_run_ratio_record (ratio, first + i, value, 1);
}

/* Guards against a restarted gateway that takes the first long task for a distribution. */
static void
test_nothing_is_known_at_first (void **state)
{
  struct az_run_ratio ratio = { 0 };

  (void)state;
  assert_true (az_run_ratio_tail (&ratio, 1) == 0);
  record_jobs (&ratio, 1, 10, 7);
  assert_false (az_run_ratio_is_heavy (&ratio));
}

static void
test_tail_is_learned (void **state)
{
  struct az_run_ratio ratio = { 0 };

  (void)state;
  for (unsigned i = 0; i < 10; i++)
    {
      record_jobs (&ratio, 100 * i, 38, 1);
      record_jobs (&ratio, 100 * i + 50, 2, 7);
    }
  assert_true (az_run_ratio_tail (&ratio, 0.5) > 0.99);
  assert_true (az_run_ratio_tail (&ratio, 4) > 0.04 && az_run_ratio_tail (&ratio, 4) < 0.06);
  assert_true (az_run_ratio_tail (&ratio, 16) < 0.001);
  assert_true (az_run_ratio_is_heavy (&ratio));
}

/* Guards against one job with a wrong estimate and many tasks that makes a queue count as one with
 * long tasks. */
static void
test_wrong_estimate_of_one_job_is_no_tail (void **state)
{
  struct az_run_ratio ratio = { 0 };

  (void)state;
  record_jobs (&ratio, 1, 250, 1);
  for (unsigned i = 0; i < 32; i++)
    az_run_ratio_record (&ratio, 1000, 8, 1.0 / 4);
  assert_true (az_run_ratio_tail (&ratio, 4) > 0.01);
  assert_false (az_run_ratio_is_heavy (&ratio));
}

/* Guards against a queue whose tasks were long once being handled so for ever. */
static void
test_tail_is_forgotten (void **state)
{
  struct az_run_ratio ratio = { 0 };

  (void)state;
  record_jobs (&ratio, 1, 300, 1);
  record_jobs (&ratio, 1000, 20, 7);
  assert_true (az_run_ratio_is_heavy (&ratio));
  record_jobs (&ratio, 2000, 2000, 1);
  assert_false (az_run_ratio_is_heavy (&ratio));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_known_at_first),
    cmocka_unit_test (test_tail_is_learned),
    cmocka_unit_test (test_wrong_estimate_of_one_job_is_no_tail),
    cmocka_unit_test (test_tail_is_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
