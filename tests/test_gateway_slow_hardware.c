#include "azurerock/log.h"
#include "gateway_rig.h"
#include "testing.h"

/* A task is expected to take 100 ms, or 182 ms on the slow hardware. The latency objective of its
 * job is 220 ms. */
#define SLOW_HARDWARE_PERCENT 55
#define CAPACITY_MILLI 32000

/* Longer than an upstream that becomes slow, or recovers, takes to pass that speed. */
#define SLOW_FOR_MS 6000

struct wait_row
{
  const char *name;
  bool relative_slowness;
  uint32_t speed_percent; /* of the upstream of session 1 */
  int64_t wait_ms;        /* until it has room */
  bool is_placed;
};

/* Guards against jobs that are late because they run on slow hardware, against slow hardware that
 * stays idle although jobs end in time there, and against a change without the setting. */
static void
test_task_waits_for_normal_hardware (void **state)
{
  static const struct wait_row rows[] = {
    { "late on slow hardware", true, SLOW_HARDWARE_PERCENT, 40, false },
    { "in time on slow hardware", true, SLOW_HARDWARE_PERCENT, 0, true },
    { "normal hardware", true, 100, 40, true },
    { "without the setting", false, SLOW_HARDWARE_PERCENT, 40, true },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct wait_row *row = &rows[i];
      struct gateway_rig *rig = row->relative_slowness ? gateway_rig_create_for_uneven_hardware (2)
                                                       : gateway_rig_create_tail_aware (2);

      rig->used_cpu_milli[1] = rig->used_cpu_milli[2] = CAPACITY_MILLI;
      rig->speed[1] = row->speed_percent;
      gateway_rig_advance (rig, SLOW_FOR_MS, 0);
      gateway_rig_submit (rig, 1, "fast", 1);
      gateway_rig_advance (rig, row->wait_ms, 0);
      assert_int_equal (rig->runs->len, 0);
      rig->used_cpu_milli[1] = 0;
      gateway_rig_advance (rig, 20, 0);
      if (rig->runs->len != row->is_placed)
        fail_msg ("%s: %u runs", row->name, rig->runs->len);
      rig->used_cpu_milli[2] = 0;
      gateway_rig_advance (rig, 20, 0);
      if (rig->runs->len != 1)
        fail_msg ("%s: %u runs, outcome %d", row->name, rig->runs->len,
                  gateway_rig_get_outcome (rig, 1));
      assert_int_equal (gateway_rig_get_run (rig, 0)->session, row->is_placed ? 1 : 2);
      gateway_rig_destroy (rig);
    }
}

/* Guards against a job that has begun and waits for normal hardware although it is late anyway. */
static void
test_late_job_uses_slow_hardware (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_for_uneven_hardware (2);

  (void)state;
  rig->used_cpu_milli[1] = CAPACITY_MILLI;
  rig->used_cpu_milli[2] = CAPACITY_MILLI - 4000;
  rig->speed[1] = SLOW_HARDWARE_PERCENT;
  gateway_rig_advance (rig, SLOW_FOR_MS, 0);
  gateway_rig_submit (rig, 1, "fast", 2);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_advance (rig, 60, 0);
  rig->used_cpu_milli[1] = 0;
  gateway_rig_advance (rig, 20, 0);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (rig->runs->len, 2);
  assert_int_equal (gateway_rig_get_run (rig, 1)->session, 1);
  gateway_rig_destroy (rig);
}

/* Guards against a service without other hardware whose jobs wait until they are too late. */
static void
test_all_hardware_is_slow (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_for_uneven_hardware (2);

  (void)state;
  rig->used_cpu_milli[1] = rig->used_cpu_milli[2] = CAPACITY_MILLI;
  rig->speed[1] = rig->speed[2] = SLOW_HARDWARE_PERCENT;
  gateway_rig_advance (rig, SLOW_FOR_MS, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_advance (rig, 40, 0);
  rig->used_cpu_milli[1] = 0;
  gateway_rig_advance (rig, 20, 0);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_waits_for_normal_hardware),
    cmocka_unit_test (test_all_hardware_is_slow),
    cmocka_unit_test (test_late_job_uses_slow_hardware),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
