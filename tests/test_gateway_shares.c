#include "gateway_rig.h"
#include "testing.h"

#define BIG_JOBS 60
#define FAST_JOBS 40

/* Counts the jobs of the callers from @first on that haven't been refused. */
static unsigned
count_accepted (const struct gateway_rig *rig, uint32_t first, uint32_t n)
{
  unsigned count = 0;

  for (uint32_t caller = first; caller < first + n; caller++)
    count += gateway_rig_get_outcome (rig, caller) != AZ_JOB_NOT_RUN;
  return count;
}

/* Submits more jobs to each of two queues than can be served, while other gateways use the only
 * upstream. */
static void
submit_excess (struct gateway_rig *rig)
{
  rig->used_cpu_milli[1] = 32000;
  gateway_rig_advance (rig, 40, 0);
  for (uint32_t i = 0; i < BIG_JOBS; i++)
    {
      gateway_rig_submit (rig, 1 + i, "big", 1);
      if (i < FAST_JOBS)
        gateway_rig_submit (rig, 1 + BIG_JOBS + i, "fast", 1);
    }
}

/* Guards against a queue that gets nothing because it asks for more than the other one. */
static void
test_each_queue_keeps_its_share (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_dividing_by_queue (1);

  (void)state;
  submit_excess (rig);
  assert_true (count_accepted (rig, 1, BIG_JOBS) >= 2);
  assert_true (count_accepted (rig, 1 + BIG_JOBS, FAST_JOBS) >= 2);
  assert_true (count_accepted (rig, 1, BIG_JOBS) < BIG_JOBS / 2);
  gateway_rig_destroy (rig);
}

/* Without the setting, the queue that asks for less is served first. */
static void
test_value_decides_without_the_setting (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  submit_excess (rig);
  assert_true (count_accepted (rig, 1, BIG_JOBS) < count_accepted (rig, 1 + BIG_JOBS, FAST_JOBS));
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_queue_keeps_its_share),
    cmocka_unit_test (test_value_decides_without_the_setting),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
