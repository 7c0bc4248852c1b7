#include "sidecar_rig.h"
#include "testing.h"

/* Guards against an overcommitted upstream: a task also uses capacity while it is being started
 * or stopped. */
static void
test_capacity_is_never_exceeded (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 9; i++)
    sidecar_rig_send_run (rig, 1 + i % 2, 1, i);
  assert_int_equal (rig->starts->len, 8);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_NO_ROOM);
  assert_int_equal (rig->free_milli, 0);
  sidecar_rig_destroy (rig);
}

/* Guards against gateways that count on the former capacity of an upstream whose capacity has
 * shrunk or grown again. */
static void
test_changed_capacity_is_reported (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_int_equal (rig->reported_capacity_milli[1], 32000);
  rig->capacity_milli = 8000;
  sidecar_rig_announce (rig, "i1", 100, 2, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->reported_capacity_milli[1], 8000);
  assert_int_equal (rig->reported_capacity_milli[2], 8000);
  rig->capacity_milli = 32000;
  sidecar_rig_announce (rig, "i1", 100, 3, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->reported_capacity_milli[1], 32000);
  sidecar_rig_destroy (rig);
}

/* Guards against a repeated start of a task that no longer fits, because the upstream's capacity
 * has shrunk since the first start. */
static void
test_start_is_not_repeated_beyond_a_shrunk_capacity (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_send_run (rig, 1, 1, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  rig->capacity_milli = 4000;
  sidecar_rig_announce (rig, "i1", 100, 2, false);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_FENCED);
  assert_int_equal (rig->starts->len, 2);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_NO_ROOM);
  sidecar_rig_destroy (rig);
}

/* Guards against a start at an upstream that already uses more than its shrunk capacity, by a task
 * that needs nothing of the exceeded resource. */
static void
test_nothing_starts_beyond_a_shrunk_capacity (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  rig->capacity_milli = 2000;
  sidecar_rig_announce (rig, "i1", 100, 2, false);
  rig->need.cpu_milli = 0;
  sidecar_rig_send_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_NO_ROOM);
  sidecar_rig_destroy (rig);
}

static void
test_end_is_reported_and_frees_capacity (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "job.0.0.0");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_DONE);
  assert_int_equal (rig->free_milli, 32000);
  assert_true (az_sidecar_is_idle (rig->core));
  sidecar_rig_destroy (rig);
}

static void
wait_for_capacity (struct sidecar_rig *rig, uint32_t session, uint32_t cpu_milli)
{
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  pulse.az_message_u.node_pulse.waiting_cpu_milli = cpu_milli;
  pulse.az_message_u.node_pulse.wants_reports = true;
  az_sidecar_received (rig->core, session, &pulse);
}

/* Guards against a report of freed capacity to all waiting gateways when only one can use it: the
 * tasks of the others would be refused and sent again. This happens when many gateways wait for
 * full upstreams. */
static void
test_freed_capacity_is_offered_to_those_that_can_fill_it (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  unsigned before;

  (void)state;
  sidecar_rig_open_session (rig, 3, "g3");
  for (uint32_t i = 0; i < 8; i++)
    {
      sidecar_rig_send_run (rig, 1, 1, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  sidecar_rig_advance_answering_holds (
      rig, 100,
      "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5 job.0.0.6 "
      "job.0.0.7");
  wait_for_capacity (rig, 2, 4000);
  wait_for_capacity (rig, 3, 4000);
  az_sidecar_flush (rig->core);
  before = rig->n_reports[2] + rig->n_reports[3];
  sidecar_rig_answer_hold (
      rig, "job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5 job.0.0.6 job.0.0.7", "job.0.0.0");
  assert_int_equal (rig->free_milli, 4000);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 1);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 1);
  /* The gateway to which the capacity was offered first doesn't use it. */
  rig->now_ms += 5;
  sidecar_rig_send_pulse (rig, 1);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 2);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_capacity_is_never_exceeded),
    cmocka_unit_test (test_changed_capacity_is_reported),
    cmocka_unit_test (test_start_is_not_repeated_beyond_a_shrunk_capacity),
    cmocka_unit_test (test_nothing_starts_beyond_a_shrunk_capacity),
    cmocka_unit_test (test_end_is_reported_and_frees_capacity),
    cmocka_unit_test (test_freed_capacity_is_offered_to_those_that_can_fill_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
