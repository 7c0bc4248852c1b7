#include "sidecar_rig.h"
#include "testing.h"

/* Guards against an upstream that has restarted under the same name and is taken for its former
 * incarnation: the tasks are lost, the numbers of ended tasks start again, and its capacity may
 * differ, so nothing starts before it has announced itself. */
static void
test_restarted_upstream_is_detected_by_its_answers (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold_as (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  assert_false (rig->is_open);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  assert_int_equal (rig->hold_last_processed_end, 0);
  sidecar_rig_destroy (rig);
}

static void
test_new_incarnation_at_the_address_ends_the_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

/* Guards against a late start of a former incarnation that the new one accepts. */
static void
test_each_incarnation_has_a_higher_fence (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  former_fence = sidecar_rig_get_start (rig, 0)->fence;
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  assert_true (rig->hold_fence > former_fence);
  sidecar_rig_destroy (rig);
}

/* Guards against a restarted upstream that stays closed after a late departure of the former. */
static void
test_late_departure_of_the_former_incarnation_is_ignored (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  az_sidecar_upstream_left (rig->core, "i1", 100);
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  az_sidecar_upstream_left (rig->core, "i1", 200);
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a restarted upstream that stays closed because its clock was set back. */
static void
test_restart_with_clock_set_back_is_recognized (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_false (sidecar_rig_announce (rig, "i1", 60, 1, false));
  sidecar_rig_answer_hold_as (rig, 60);
  assert_false (sidecar_rig_announce (rig, "i1", 50, 9, false));
  assert_true (sidecar_rig_announce (rig, "i1", 60, 2, false));
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a restart that is ignored because the former incarnation has deregistered: a late
 * start gets its lease renewed and isn't excluded. */
static void
test_restart_after_departure_excludes_late_starts (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence = rig->hold_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  az_sidecar_upstream_left (rig->core, "i1", 100);
  sidecar_rig_answer_hold_as (rig, 200);
  sidecar_rig_advance (rig, 25);
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  assert_true (rig->hold_fence > former_fence);
  sidecar_rig_destroy (rig);
}

/* Guards against a restarted upstream that gets no higher fence before it announces itself, because
 * no task is left: the start of a task that is lost already may be carried out late. */
static void
test_restart_seen_without_tasks_raises_the_fence_at_once (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence = rig->hold_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  for (int i = 0; i < 36; i++)
    {
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_answer_hold_as (rig, 200);
  sidecar_rig_advance (rig, 100);
  assert_true (rig->hold_fence > former_fence);
  sidecar_rig_destroy (rig);
}

/* Guards against an overtaken answer of the former incarnation that is taken for one of the new
 * one, so that a suspended task is lost after a lease that the new one doesn't know. */
static void
test_overtaken_answer_of_former_incarnation_is_ignored (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_active active = { .task = (char *)"job.0.0.0", .attempt = 1, .percent = 10 };
  const struct az_upstream_lists former = {
    .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5000, .started_ms = 100 },
    .active = &active,
    .n_active = 1,
  };
  uint64_t former_hold;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_advance (rig, 25);
  assert_true (rig->n_holds >= 3);
  former_hold = rig->hold - 1;
  sidecar_rig_answer_hold_as (rig, 200);
  az_sidecar_hold_answered (rig->core, former_hold, &former);
  for (int i = 0; i < 60; i++)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* Guards against a late heartbeat of the former incarnation that ends the tasks of the present one,
 * whose machine's clock was set back. */
static void
test_late_heartbeat_after_clock_set_back_is_ignored (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_answer_hold_as (rig, 60);
  sidecar_rig_announce (rig, "i1", 60, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "job.0.0.0", "");
  assert_false (sidecar_rig_announce (rig, "i1", 100, 2, false));
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* Guards against a late departure of the former incarnation that closes the present one for good,
 * whose machine's clock was set back. */
static void
test_late_departure_after_clock_set_back_is_ignored (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_answer_hold_as (rig, 60);
  sidecar_rig_announce (rig, "i1", 60, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  az_sidecar_upstream_left (rig->core, "i1", 100);
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  az_sidecar_upstream_left (rig->core, "i1", 60);
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that is lost while the restarted upstream, which has accepted its start
 * before the restart was noticed, runs it: the lease end of the start is far in the future of the
 * new clock, so that the upstream grants the longest lease, one second. */
static void
test_start_of_restarted_silent_upstream_is_not_lost_before_its_longest_lease (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  const struct az_upstream_answer answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5 };

  (void)state;
  sidecar_rig_advance_answering_holds (rig, 3000, "");
  sidecar_rig_send_run (rig, 1, 1, 0);
  az_sidecar_start_answered (rig->core, sidecar_rig_get_start (rig, 0)->task, &answer);
  for (int i = 0; i < 38; i++)
    {
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that deregisters, restarts under its id after its clock was set back
 * and stays closed, because no request is sent that would show the new birth time. */
static void
test_restart_after_departure_with_clock_set_back_opens (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  unsigned n_holds;

  (void)state;
  az_sidecar_upstream_left (rig->core, "i1", 100);
  sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
  n_holds = rig->n_holds;
  sidecar_rig_announce (rig, "i1", 60, 1, false);
  sidecar_rig_advance (rig, 200);
  sidecar_rig_announce (rig, "i1", 60, 2, false);
  assert_true (rig->n_holds > n_holds);
  sidecar_rig_answer_hold_as (rig, 60);
  sidecar_rig_announce (rig, "i1", 60, 3, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against gateways that never learn the labels of an upstream that has restarted under its
 * id: an answer showed the restart before its announcement stated the labels. */
static void
test_labels_are_reported_when_a_restart_is_announced_later (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->label = "b";
  sidecar_rig_advance (rig, 25);
  sidecar_rig_answer_hold_as (rig, 200);
  assert_string_equal (rig->reported_service, "");
  sidecar_rig_answer_hold_as (rig, 200);
  assert_false (rig->is_open);
  assert_true (sidecar_rig_announce (rig, "i1", 200, 1, false));
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  assert_string_equal (rig->reported_service, "service");
  assert_string_equal (rig->reported_label, "b");
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_restarted_upstream_is_detected_by_its_answers),
    cmocka_unit_test (test_new_incarnation_at_the_address_ends_the_tasks),
    cmocka_unit_test (test_each_incarnation_has_a_higher_fence),
    cmocka_unit_test (test_late_departure_of_the_former_incarnation_is_ignored),
    cmocka_unit_test (test_restart_with_clock_set_back_is_recognized),
    cmocka_unit_test (test_late_heartbeat_after_clock_set_back_is_ignored),
    cmocka_unit_test (test_late_departure_after_clock_set_back_is_ignored),
    cmocka_unit_test (test_restart_after_departure_with_clock_set_back_opens),
    cmocka_unit_test (test_restart_after_departure_excludes_late_starts),
    cmocka_unit_test (test_restart_seen_without_tasks_raises_the_fence_at_once),
    cmocka_unit_test (test_start_of_restarted_silent_upstream_is_not_lost_before_its_longest_lease),
    cmocka_unit_test (test_overtaken_answer_of_former_incarnation_is_ignored),
    cmocka_unit_test (test_labels_are_reported_when_a_restart_is_announced_later),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
