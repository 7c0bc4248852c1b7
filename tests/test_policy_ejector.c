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

/* Each member reports @tasks tasks; all tasks of members 1 to @bad fail. */
static void
report_all (struct az_ejector *ejector, uint32_t members, uint32_t bad, int tasks)
{
  for (int i = 0; i < tasks; i++)
    for (uint32_t member = 1; member <= members; member++)
      az_ejector_report (ejector, member, member > bad);
}

/* Guards against a member that fails every task: it is ejected after 5 failures. */
static void
test_failing_member_is_ejected (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 0, 10);
  for (int i = 0; i < 4; i++)
    az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_can_start (ejector, 1));
  az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_is_ejected (ejector, 1));
  assert_false (az_ejector_can_start (ejector, 1));
  assert_true (az_ejector_can_start (ejector, 2));
  az_ejector_destroy (ejector);
}

/* Guards against a member whose tasks fail immediately and that receives all tasks until the others
 * have finished their first ones. A fleet lost 110 tasks in 75 ms in this way. */
static void
test_member_whose_first_reports_fail_is_ejected (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  for (int i = 0; i < 5; i++)
    az_ejector_report (ejector, 1, false);
  assert_true (az_ejector_is_ejected (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against the ejection of healthy members because a job's tasks fail on every member. */
static void
test_no_member_is_ejected_when_all_fail (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, MEMBERS, 30);
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

/* Guards against more than 30% of the members ejected when they fail one after the other, so that
 * each has a higher failure rate than the rest. */
static void
test_max_share_when_members_fail_in_turn (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 0, 10);
  for (uint32_t member = 1; member <= MEMBERS; member++)
    for (int i = 0; i < 20; i++)
      az_ejector_report (ejector, member, false);
  assert_int_equal (az_ejector_n_ejected (ejector), 3);
  az_ejector_destroy (ejector);
}

/* Guards against an ejected share above the maximum after healthy members have been removed with
 * their failure domain. */
static void
test_max_share_when_members_are_removed (void **state)
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

/* Guards against more than one probe at a time to an ejected member, and against ejection times
 * that don't double, or that exceed 30 s. */
static void
test_probes_and_intervals (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);
  int64_t interval_ms = 1000;

  report_all (ejector, MEMBERS, 1, 10);
  for (int i = 0; i < 8; i++)
    {
      now_ms += interval_ms - 1;
      assert_false (az_ejector_can_start (ejector, 1));
      now_ms += 1;
      assert_true (az_ejector_can_start (ejector, 1));
      az_ejector_record_start (ejector, 1);
      assert_false (az_ejector_can_start (ejector, 1));
      az_ejector_report (ejector, 1, false);
      interval_ms = interval_ms * 2 > 30000 ? 30000 : interval_ms * 2;
    }
  now_ms += interval_ms;
  az_ejector_record_start (ejector, 1);
  az_ejector_record_cancel (ejector, 1);
  assert_true (az_ejector_can_start (ejector, 1));
  az_ejector_record_start (ejector, 1);
  az_ejector_report (ejector, 1, true);
  assert_false (az_ejector_is_ejected (ejector, 1));
  assert_int_equal (az_ejector_n_ejected (ejector), 0);
  az_ejector_destroy (ejector);
}

/* Guards against taking the result of a task that started before the ejection for the result of a
 * probe: it must neither extend the ejection interval nor readmit the member. */
static void
test_late_reports_do_not_count_as_probes (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 1, 30);
  now_ms += 1000;
  assert_true (az_ejector_can_start (ejector, 1));
  az_ejector_report (ejector, 1, true);
  assert_true (az_ejector_is_ejected (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against a member that recovers only for single probes: its interval keeps doubling until
 * it has reported a full window of tasks. */
static void
test_interval_survives_a_short_recovery (void **state)
{
  struct az_ejector *ejector = create_ejector (MEMBERS);

  report_all (ejector, MEMBERS, 1, 10);
  now_ms += 1000;
  az_ejector_record_start (ejector, 1);
  az_ejector_report (ejector, 1, true);
  report_all (ejector, MEMBERS, 1, 5);
  assert_true (az_ejector_is_ejected (ejector, 1));
  now_ms += 1999;
  assert_false (az_ejector_can_start (ejector, 1));
  now_ms += 1;
  az_ejector_record_start (ejector, 1);
  az_ejector_report (ejector, 1, true);
  report_all (ejector, MEMBERS, 0, 20);
  report_all (ejector, MEMBERS, 1, 10);
  assert_true (az_ejector_is_ejected (ejector, 1));
  now_ms += 1000;
  assert_true (az_ejector_can_start (ejector, 1));
  az_ejector_destroy (ejector);
}

/* Guards against a changed policy that isn't applied to the members already ejected. */
static void
test_policy_change_is_applied (void **state)
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
    cmocka_unit_test (test_failing_member_is_ejected),
    cmocka_unit_test (test_member_whose_first_reports_fail_is_ejected),
    cmocka_unit_test (test_no_member_is_ejected_when_all_fail),
    cmocka_unit_test (test_max_share_when_members_fail_in_turn),
    cmocka_unit_test (test_max_share_when_members_are_removed),
    cmocka_unit_test (test_probes_and_intervals),
    cmocka_unit_test (test_late_reports_do_not_count_as_probes),
    cmocka_unit_test (test_interval_survives_a_short_recovery),
    cmocka_unit_test (test_policy_change_is_applied),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
