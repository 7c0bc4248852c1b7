#include "gateway_rig.h"
#include "testing.h"

/* Guards against a job that waits for free resources until after its caller gives up. A caller that
 * resubmits a job has little time left. */
static void
test_job_with_short_deadline_is_refused_early (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 8);
  rig->wait_ms = 110;
  gateway_rig_submit (rig, 2, "fast", 1);
  gateway_rig_advance (rig, 20, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

/* Guards against a stopping gateway that refuses jobs it could still serve. */
static void
test_stopping_gateway_accepts_jobs_that_end_in_time (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  az_gateway_stop (rig->core, 1000);
  gateway_rig_advance (rig, 700, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_advance (rig, 200, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

/* When not all jobs can be served in time, the excess is refused at once and the rest is served. */
static void
test_excess_load_is_refused_at_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);
  unsigned n_refused = 0;

  (void)state;
  for (uint32_t i = 0; i < 40; i++)
    gateway_rig_submit (rig, 1 + i, "fast", 2);
  for (guint i = 0; i < rig->answers->len; i++)
    n_refused += g_array_index (rig->answers, struct gateway_answer, i).outcome == AZ_JOB_NOT_RUN;
  assert_in_range (n_refused, 25, 36);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway with few callers that refuses them because others use the cores,
 * although some of these become free in time. */
static void
test_rare_job_waits_for_cores_that_others_use (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (8);

  (void)state;
  for (uint32_t session = 1; session <= 8; session++)
    rig->used_cpu_milli[session] = 32000;
  gateway_rig_advance (rig, 40, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  rig->used_cpu_milli[3] = 28000;
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against a search of all upstreams for each waiting job in each event loop iteration: a
 * gateway with many callers and little CPU time would then lose freed resources to others. */
static void
test_full_upstreams_are_examined_once_per_iteration (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (12);
  uint64_t before;
  unsigned n_waiting;

  (void)state;
  for (uint32_t i = 0; i < 88; i++)
    gateway_rig_submit (rig, 1 + i, "fast", 2);
  assert_int_equal (rig->runs->len, 12 * 8);
  n_waiting = 88 - 12 * 4 - rig->answers->len;
  assert_true (n_waiting > 20);
  before = gateway_rig_read_counter (rig, "azurerock_gateway_examined_total");
  gateway_rig_advance (rig, 20, 0);
  assert_true (gateway_rig_read_counter (rig, "azurerock_gateway_examined_total") - before <= 12);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_with_short_deadline_is_refused_early),
    cmocka_unit_test (test_stopping_gateway_accepts_jobs_that_end_in_time),
    cmocka_unit_test (test_excess_load_is_refused_at_once),
    cmocka_unit_test (test_rare_job_waits_for_cores_that_others_use),
    cmocka_unit_test (test_full_upstreams_are_examined_once_per_iteration),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
