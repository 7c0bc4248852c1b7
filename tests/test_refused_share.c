#include "dispatch/refused_share.h"
#include "dispatch/time_us.h"
#include "testing.h"

static void
record (struct az_refused_share *share, int64_t now_us, unsigned n_jobs, unsigned n_refused)
{
  for (unsigned i = 0; i < n_jobs; i++)
    az_refused_share_record_arrival (share, now_us);
  for (unsigned i = 0; i < n_refused; i++)
    az_refused_share_record_refusal (share, now_us);
}

/* Guards against a share that depends on the number of jobs. */
static void
test_share_of_many_jobs (void **state)
{
  struct az_refused_share few = { 0 };
  struct az_refused_share many = { 0 };

  (void)state;
  record (&few, AZ_US_PER_MS, 40, 10);
  record (&many, AZ_US_PER_MS, 4000, 1000);
  assert_float_equal (az_refused_share_measure (&few, AZ_US_PER_MS), 0.25, 1e-6);
  assert_float_equal (az_refused_share_measure (&many, AZ_US_PER_MS), 0.25, 1e-6);
}

/* Guards against a gateway that claims more cores after its first refusal. */
static void
test_few_jobs_give_a_low_share (void **state)
{
  struct az_refused_share share = { 0 };

  (void)state;
  assert_float_equal (az_refused_share_measure (&share, 0), 0, 1e-6);
  record (&share, AZ_US_PER_MS, 1, 1);
  assert_float_equal (az_refused_share_measure (&share, AZ_US_PER_MS), 0.05, 1e-6);
}

/* Guards against a share above 1 when jobs that arrived earlier are refused together. */
static void
test_share_is_at_most_one (void **state)
{
  struct az_refused_share share = { 0 };

  (void)state;
  record (&share, AZ_US_PER_MS, 10, 100);
  assert_float_equal (az_refused_share_measure (&share, AZ_US_PER_MS), 1, 1e-6);
}

/* Guards against refusals that count long after a burst, both while jobs are served and while none
 * arrive. */
static void
test_refusals_are_forgotten (void **state)
{
  struct az_refused_share served = { 0 };
  struct az_refused_share idle = { 0 };

  (void)state;
  record (&served, 0, 100, 50);
  record (&idle, 0, 100, 50);
  for (int64_t ms = 100; ms <= 6000; ms += 100)
    record (&served, ms * AZ_US_PER_MS, 10, 0);
  assert_true (az_refused_share_measure (&served, 6000 * AZ_US_PER_MS) < 0.03);
  assert_true (az_refused_share_measure (&idle, 20000 * AZ_US_PER_MS) < 0.01);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_share_of_many_jobs),
    cmocka_unit_test (test_few_jobs_give_a_low_share),
    cmocka_unit_test (test_share_is_at_most_one),
    cmocka_unit_test (test_refusals_are_forgotten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
