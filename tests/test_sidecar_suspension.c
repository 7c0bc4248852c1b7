#include "sidecar_rig.h"
#include "testing.h"

/* Answers the last hold as an incarnation that runs @attempt of task "job.0.0.0", which it was not
 * sent. */
static void
list_late_start (struct sidecar_rig *rig, uint32_t attempt)
{
  struct az_upstream_active active
      = { .task = (char *)"job.0.0.0", .attempt = attempt, .percent = 10 };
  const struct az_upstream_lists lists = {
    .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5 },
    .active = &active,
    .n_active = 1,
  };

  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_sidecar_flush (rig->core);
}

/* Guards against a second run elsewhere while the new incarnation may still carry out the start. */
static void
test_late_start_is_excluded_before_its_task_is_lost (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a late start that runs on in the new incarnation beside a run elsewhere. */
static void
test_late_start_in_new_incarnation_is_stopped (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  guint n_stops;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  n_stops = rig->stops->len;
  list_late_start (rig, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_false (rig->is_open);
  assert_int_equal (rig->stops->len, n_stops + 1);
  sidecar_rig_answer_stop (rig, n_stops, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_STOPPED);
  sidecar_rig_destroy (rig);
}

/* Guards against a late start of an earlier attempt than the one that ran when the upstream
 * restarted. */
static void
test_late_start_of_earlier_attempt_is_stopped (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  guint n_stops;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  n_stops = rig->stops->len;
  list_late_start (rig, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_int_equal (rig->stops->len, n_stops + 1);
  assert_int_equal (g_array_index (rig->stops, struct sidecar_request, n_stops).attempt, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that is reported as lost, or whose late start gets a lease, between the
 * first answer of a restarted upstream and its announcement. */
static void
test_restart_seen_in_an_answer_excludes_late_starts (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t former_fence = rig->hold_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_hold_as (rig, 200);
  sidecar_rig_advance (rig, 25);
  assert_true (rig->hold_fence > former_fence);
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  for (int i = 0; i < 60; i++)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose start the restarted upstream has accepted before an
 * answer shows the restart. */
static void
test_start_accepted_before_an_answer_shows_the_restart_is_not_lost (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold_as (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  list_late_start (rig, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_int_equal (rig->stops->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose start the restarted upstream has accepted before it
 * announces itself. */
static void
test_start_accepted_before_the_announcement_is_not_lost (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  const struct az_upstream_answer answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5 };

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  az_sidecar_start_answered (rig->core, sidecar_rig_get_start (rig, 0)->task, &answer);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  list_late_start (rig, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_int_equal (rig->stops->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose earlier attempt may start late at the restarted
 * upstream, which refuses the present attempt. */
static void
test_start_refused_by_the_restarted_upstream_is_not_handed_back (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  const struct az_upstream_answer refusal
      = { .result = AZ_UPSTREAM_NO_ROOM, .clock_ms = 5, .started_ms = 200 };
  uint64_t former_fence = rig->hold_fence;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  az_sidecar_start_answered (rig->core, sidecar_rig_get_start (rig, 1)->task, &refusal);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_true (rig->hold_fence > former_fence);
  list_late_start (rig, 1);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_int_equal (rig->stops->len, 2);
  sidecar_rig_destroy (rig);
}

/* Guards against another instance that is taken for a restart under the same id, since its refusal
 * states its birth time. */
static void
test_refusal_by_another_instance_is_no_restart (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  const struct az_upstream_answer refusal
      = { .result = AZ_UPSTREAM_OTHER_INSTANCE, .clock_ms = 5, .started_ms = 200 };

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  az_sidecar_start_answered (rig->core, sidecar_rig_get_start (rig, 0)->task, &refusal);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against a late start of an earlier attempt that runs on because the later one was stopped
 * when its session was closed. */
static void
test_late_start_is_stopped_after_the_session_was_closed (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  guint n_stops;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_session_closed (rig->core, 1, "test");
  n_stops = rig->stops->len;
  list_late_start (rig, 1);
  sidecar_rig_answer_stop (rig, n_stops - 1, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 100);
  assert_true (rig->stops->len > n_stops);
  assert_int_equal (g_array_index (rig->stops, struct sidecar_request, rig->stops->len - 1).attempt,
                    1);
  sidecar_rig_destroy (rig);
}

/* Guards against a late start that runs on because the former incarnation acknowledged a stop of
 * the same attempt. */
static void
test_stop_acknowledged_by_the_former_incarnation_is_repeated (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  assert_int_equal (rig->stops->len, 1);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  list_late_start (rig, 1);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 50);
  assert_int_equal (rig->stops->len, 2);
  sidecar_rig_answer_stop (rig, 1, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_advance (rig, 50);
  assert_int_equal (rig->stops->len, 3);
  sidecar_rig_answer_stop (rig, 2, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_STOPPED);
  sidecar_rig_destroy (rig);
}

/* Fails the two holds that may be in flight. */
static void
advance_with_silent_upstream (struct sidecar_rig *rig, int64_t ms)
{
  const struct az_upstream_lists unanswered
      = { .answer = { .result = AZ_UPSTREAM_UNANSWERED, .clock_ms = -1 } };

  for (int64_t elapsed = 0; elapsed < ms; elapsed += 25)
    {
      uint64_t last_hold = rig->hold;

      az_sidecar_hold_answered (rig->core, last_hold - 1, &unanswered);
      az_sidecar_hold_answered (rig->core, last_hold, &unanswered);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
}

/* Guards against a suspended task that is kept for good if the restarted upstream answers nothing,
 * and against one that ends while a late request may still be carried out. */
static void
test_suspended_task_of_a_silent_upstream_ends (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold_as (rig, 200);
  advance_with_silent_upstream (rig, 16000);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  advance_with_silent_upstream (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

/* Guards against a stop request in each tick for a suspended task whose upstream doesn't return. */
static void
test_suspended_task_is_not_stopped_in_each_tick (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  guint n_stops;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_cancel_all (rig->core);
  n_stops = rig->stops->len;
  for (int i = 0; i < 40; i++)
    {
      if (rig->stops->len > 0)
        sidecar_rig_answer_stop (rig, rig->stops->len - 1, AZ_UPSTREAM_NOT_SENT);
      advance_with_silent_upstream (rig, 25);
    }
  assert_int_equal (rig->stops->len, n_stops);
  sidecar_rig_destroy (rig);
}

/* Guards against a suspended task that is forgotten or runs on after its gateway asked for a stop.
 */
static void
test_cancelled_suspended_task_ends_with_the_first_hold (void **state)
{
  const struct
  {
    uint32_t listed_attempt;
    int end;
  } cases[] = { { 0, AZ_TASK_CRASHED }, { 1, AZ_TASK_STOPPED } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct sidecar_rig *rig = sidecar_rig_create ();

      sidecar_rig_send_run (rig, 1, 1, 0);
      sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
      sidecar_rig_announce (rig, "i1", 200, 1, false);
      az_sidecar_stop (rig->core);
      az_sidecar_cancel_all (rig->core);
      assert_int_equal (sidecar_rig_last_event (rig), -1);
      if (cases[i].listed_attempt > 0)
        {
          list_late_start (rig, cases[i].listed_attempt);
          assert_int_equal (rig->stops->len, 1);
          sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
          sidecar_rig_answer_hold (rig, "", "");
        }
      sidecar_rig_answer_hold (rig, "", "");
      assert_int_equal (sidecar_rig_last_event (rig), cases[i].end);
      assert_true (az_sidecar_is_idle (rig->core));
      sidecar_rig_destroy (rig);
    }
}

/* Guards against a suspended task that is lost when an incarnation at another address doesn't run
 * it. */
static void
test_suspended_task_is_not_proven_ended_by_another_address (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_hold_as (rig, 200);
  sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 300, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_int_equal (rig->free_milli, 32000);
  sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 400, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_advance_answering_holds (rig, 16200, "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a job that is never answered: a gateway ignores the end of a lower attempt than
 * the one that it has sent. */
static void
test_end_of_late_start_has_the_attempt_of_the_gateway (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_attempt (rig, 1, 1, 0, 2);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  list_late_start (rig, 1);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_STOPPED);
  assert_int_equal (g_array_index (rig->events, struct az_task_event, rig->events->len - 1).attempt,
                    2);
  sidecar_rig_destroy (rig);
}

/* Guards against a suspended task that is decided on by an answer of an incarnation that has ended
 * as well, and against a bound that counts from the first of several restarts. */
static void
test_suspended_task_outlasts_further_restarts (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  const struct az_upstream_lists second
      = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5, .started_ms = 200 } };
  uint64_t second_hold;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold_as (rig, 200);
  az_sidecar_cancel_all (rig->core);
  advance_with_silent_upstream (rig, 10000);
  sidecar_rig_advance (rig, 50);
  second_hold = rig->hold;
  sidecar_rig_announce (rig, "i1", 300, 1, false);
  az_sidecar_hold_answered (rig->core, second_hold, &second);
  advance_with_silent_upstream (rig, 10000);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_advance (rig, 50);
  sidecar_rig_answer_hold_as (rig, 250);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CRASHED);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_start_is_excluded_before_its_task_is_lost),
    cmocka_unit_test (test_late_start_in_new_incarnation_is_stopped),
    cmocka_unit_test (test_late_start_of_earlier_attempt_is_stopped),
    cmocka_unit_test (test_restart_seen_in_an_answer_excludes_late_starts),
    cmocka_unit_test (test_start_accepted_before_an_answer_shows_the_restart_is_not_lost),
    cmocka_unit_test (test_start_accepted_before_the_announcement_is_not_lost),
    cmocka_unit_test (test_start_refused_by_the_restarted_upstream_is_not_handed_back),
    cmocka_unit_test (test_refusal_by_another_instance_is_no_restart),
    cmocka_unit_test (test_late_start_is_stopped_after_the_session_was_closed),
    cmocka_unit_test (test_stop_acknowledged_by_the_former_incarnation_is_repeated),
    cmocka_unit_test (test_suspended_task_of_a_silent_upstream_ends),
    cmocka_unit_test (test_suspended_task_outlasts_further_restarts),
    cmocka_unit_test (test_suspended_task_is_not_stopped_in_each_tick),
    cmocka_unit_test (test_cancelled_suspended_task_ends_with_the_first_hold),
    cmocka_unit_test (test_suspended_task_is_not_proven_ended_by_another_address),
    cmocka_unit_test (test_end_of_late_start_has_the_attempt_of_the_gateway),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
