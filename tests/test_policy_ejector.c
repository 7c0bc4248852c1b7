#include "azurerock/ejector.h"
#include "testing.h"

#define MEMBERS 11

static int64_t now_ms;

static void
read_test_clock (void *context, struct timespec *now)
{
  *now = az_time_from_ns (now_ms * 1000000);
}

static const struct az_clock test_clock = { .monotonic = read_test_clock };

static struct az_ejector *
create_ejector (uint32_t members)
{
  struct az_ejector *ejector = az_ejector_create (&test_clock);

  now_ms = 1000;
  for (uint32_t member = 1; member <= members; member++)
    az_ejector_add (ejector, member);
  return ejector;
}

/* Each member reports @tasks tasks; those up to @bad fail all. */
static void
report_all (struct az_ejector *ejector, uint32_t members, uint32_t bad, int tasks)
{
  for (int i = 0; i < tasks; i++)
    for (uint32_t member = 1; member <= members; member++)
      az_ejector_report (ejector, member, member > bad);
}

/* Guards against one worker that fails every task: it gets at most 5 more tasks. */
static void
test_one_member_that_fails_everything (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 0, 10);
  for (int i = 0; i < 4; i++)
    az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_may_start (ejector, 1));
  az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_is_ejected (ejector, 1));
  assert_false (az_ejector_may_start (ejector, 1));
  assert_true (az_ejector_may_start (ejector, 2));
  az_ejector_destroy (ejector);
}

/* Guards against a worker that fails at once and gets every task until others finish their first
 * one: a fleet lost 110 tasks in 75 ms to it. */
static void
test_first_reports_are_failures (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  for (int i = 0; i < 5; i++)
    az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_is_ejected (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against the ejection of healthy members by a job whose tasks fail everywhere. */
static void
test_nobody_is_ejected_when_all_fail (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, MEMBERS, 30);
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

/* Guards against more than 30% ejected: members fail one after the other, so that each looks
 * worse than the rest. */
static void
test_cap_when_members_fail_in_turn (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 0, 10);
  for (uint32_t member = 1; member <= MEMBERS; member++)
    for (int i = 0; i < 20; i++)
      az_ejector_report (ejector, member, false);
  assert_int_equal (az_ejector_n_ejected (ejector), 3);
  az_ejector_destroy (ejector);
}

/* Guards against a share above the cap after healthy members leave with their domain. */
static void
test_cap_when_members_leave (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 3, 10);
  assert_int_equal (az_ejector_n_ejected (ejector), 3);
  for (uint32_t member = 8; member <= MEMBERS; member++)
    az_ejector_remove (ejector, member);
  assert_int_equal (az_ejector_n_ejected (ejector), 2);
  for (uint32_t member = 4; member < 8; member++)
    az_ejector_remove (ejector, member);
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

/* Guards against more than one task at a time to a member that probably still fails, and
 * against intervals that don't double or exceed 30 s. */
static void
test_probes (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);
  int64_t interval_ms = 1000;

  report_all (ejector, MEMBERS, 1, 10);
  for (int i = 0; i < 8; i++)
    {
      now_ms += interval_ms - 1;
      assert_false (az_ejector_may_start (ejector, 1));
      now_ms += 1;
      assert_true (az_ejector_may_start (ejector, 1));
      az_ejector_started (ejector, 1);
      assert_false (az_ejector_may_start (ejector, 1));
      az_ejector_report (ejector, 1, false);
      interval_ms = interval_ms * 2 > 30000 ? 30000 : interval_ms * 2;
    }
  now_ms += interval_ms;
  az_ejector_started (ejector, 1);
  az_ejector_cancelled (ejector, 1);
  assert_true (az_ejector_may_start (ejector, 1));
  az_ejector_started (ejector, 1);
  az_ejector_report (ejector, 1, true);
  assert_false (az_ejector_is_ejected (ejector, 1));
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

/* Guards against late failures of tasks that started before the ejection: they must not
 * lengthen the interval. */
static void
test_late_reports_do_not_count_as_probes (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 1, 30);
  now_ms += 1000;
  assert_true (az_ejector_may_start (ejector, 1));
  az_ejector_report (ejector, 1, true);
  assert_true (az_ejector_is_ejected (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against a member that recovers for single probes only: its interval goes on doubling
 * until it has done a full window of tasks. */
static void
test_interval_survives_a_short_recovery (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 1, 10);
  now_ms += 1000;
  az_ejector_started (ejector, 1);
  az_ejector_report (ejector, 1, true);
  report_all (ejector, MEMBERS, 1, 5);
  assert_true (az_ejector_is_ejected (ejector, 1));
  now_ms += 1999;
  assert_false (az_ejector_may_start (ejector, 1));
  now_ms += 1;
  az_ejector_started (ejector, 1);
  az_ejector_report (ejector, 1, true);
  report_all (ejector, MEMBERS, 0, 20);
  report_all (ejector, MEMBERS, 1, 10);
  assert_true (az_ejector_is_ejected (ejector, 1));
  now_ms += 1000;
  assert_true (az_ejector_may_start (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against a policy that is not followed after it changed. */
static void
test_policy_change (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);
  struct az_ejection_policy policy
      = { .failures = 2, .window = 4, .max_share_percent = 10, .base_ms = 200, .max_ms = 300 };

  report_all (ejector, MEMBERS, 3, 10);
  assert_int_equal (az_ejector_n_ejected (ejector), 3);
  az_ejector_set_policy (ejector, &policy);
  assert_int_equal (az_ejector_n_ejected (ejector), 1);
  policy.max_share_percent = 0;
  az_ejector_set_policy (ejector, &policy);
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_member_that_fails_everything),
    cmocka_unit_test (test_first_reports_are_failures),
    cmocka_unit_test (test_nobody_is_ejected_when_all_fail),
    cmocka_unit_test (test_cap_when_members_fail_in_turn),
    cmocka_unit_test (test_cap_when_members_leave),
    cmocka_unit_test (test_probes),
    cmocka_unit_test (test_late_reports_do_not_count_as_probes),
    cmocka_unit_test (test_interval_survives_a_short_recovery),
    cmocka_unit_test (test_policy_change),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
