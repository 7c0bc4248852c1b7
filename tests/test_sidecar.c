#include "sidecar_rig.h"
#include "testing.h"

/* Guards against a second run while the first start may still be carried out: a start without an
 * answer is repeated, with a higher attempt, only after a stop of the first attempt has been
 * acknowledged and a later hold doesn't list the task. */
static void
test_unanswered_start_is_repeated_after_acknowledged_stop (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  earlier_hold = rig->hold;
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  assert_int_equal (rig->stops->len, 1);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 1);
  earlier_hold = rig->hold;
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  assert_true (rig->hold > earlier_hold);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 2);
  assert_int_equal (sidecar_rig_get_start (rig, 1)->attempt, 2);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose first start is carried out late. The upstream may do
 * so after it has answered a hold that was sent before the stop was acknowledged, so the task's
 * absence from that answer proves nothing. */
static void
test_hold_sent_before_the_stop_proves_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1000 } };
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  earlier_hold = rig->hold;
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_hold_answered (rig->core, earlier_hold, &lists);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a repeated start of a task that its gateway has cancelled. */
static void
test_cancelled_task_is_not_started_again (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_message stop = { .proc = AZ_NODE_STOP };

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  stop.az_message_u.node_stop.job = 1;
  az_sidecar_received (rig->core, 1, &stop);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_STOPPED);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that is adopted and stopped as one of a former sidecar process, because an
 * answer that arrives after a newer one still lists it. */
static void
test_late_answer_adopts_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1000 } };
  struct az_upstream_active active = { .task = (char *)"job.0.0.0", .attempt = 1, .percent = 90 };
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 25);
  earlier_hold = rig->hold - 1;
  sidecar_rig_answer_hold (rig, "", "job.0.0.0");
  lists.active = &active;
  lists.n_active = 1;
  az_sidecar_hold_answered (rig->core, earlier_hold, &lists);
  assert_int_equal (rig->stops->len, 0);
  sidecar_rig_destroy (rig);
}

/* Guards against a surplus session that is closed before the end of its last task is reported: the
 * gateway would run the task again after the orphan timeout. */
static void
test_session_with_an_unreported_end_is_not_idle (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_ended ended = { 1, (char *)"job.0.0.0", 1, AZ_TASK_DONE };
  struct az_upstream_lists lists = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1000 } };

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 25);
  lists.ended = &ended;
  lists.n_ended = 1;
  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  assert_false (az_sidecar_is_session_idle (rig->core, 1));
  az_sidecar_flush (rig->core);
  assert_true (az_sidecar_is_session_idle (rig->core, 1));
  sidecar_rig_destroy (rig);
}

/* Guards against run messages that are lost with a surplus session: their tasks would wait for the
 * orphan timeout. */
static void
test_retired_session_is_closed_after_its_last_run_message (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_true (az_sidecar_can_retire_session (rig->core, 1));
  assert_false (az_sidecar_retire_session (rig->core, 1));
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  assert_false (az_sidecar_can_retire_session (rig->core, 2));
  sidecar_rig_send_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance_answering_holds (rig, 500, "job.0.0.0");
  assert_false (az_sidecar_retire_session (rig->core, 1));
  sidecar_rig_answer_hold (rig, "", "job.0.0.0");
  assert_true (az_sidecar_retire_session (rig->core, 1));
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that stays closed to a gateway whose session is surplus no more. */
static void
test_session_that_is_not_retired_any_more_is_open (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_false (az_sidecar_retire_session (rig->core, 1));
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  assert_false (az_sidecar_retire_session (rig->core, 0));
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  assert_true (az_sidecar_can_retire_session (rig->core, 2));
  sidecar_rig_destroy (rig);
}

/* Guards against reporting a task as lost before the lease of its start request has ended, and
 * against a task that uses capacity for ever because no stop request is answered. Holds succeed
 * meanwhile. */
static void
test_unanswered_start_is_lost_after_its_lease (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_advance_answering_holds (rig, 650, "");
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_advance_answering_holds (rig, 150, "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Advances the time while all holds fail. */
static void
advance_with_failed_holds (struct sidecar_rig *rig, int64_t ms)
{
  for (int64_t elapsed = 0; elapsed < ms; elapsed += 25)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_send_pulse (rig, 2);
      sidecar_rig_advance (rig, 25);
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
    }
}

/* Guards against tasks that are reported as lost although a hold whose answer was lost has renewed
 * their lease: the latest end of a lease moves when the hold is sent, not when it is answered.
 * Guards also against tasks that never end because each failed hold might renew their lease. */
static void
test_tasks_of_unreachable_upstream_are_lost_after_the_lease (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance_answering_holds (rig, 500, "job.0.0.0");
  advance_with_failed_holds (rig, 675);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  advance_with_failed_holds (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose lease was extended by the start of another task: the
 * upstream applies each lease end to all of its tasks. */
static void
test_start_extends_the_leases_of_other_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance_answering_holds (rig, 500, "job.0.0.0");
  /* The holds that renew the first task's lease are in flight and stay unanswered. */
  for (int i = 0; i < 16; i++)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  sidecar_rig_send_run (rig, 1, 2, 1);
  assert_int_equal (rig->starts->len, 2);
  advance_with_failed_holds (rig, 650);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  advance_with_failed_holds (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against two runs of a job that its caller submits again through another gateway: the tasks
 * that the first gateway started are stopped when its session ends. */
static void
test_closed_session_stops_its_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_send_run (rig, 2, 1, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  az_sidecar_session_closed (rig->core, 1, "reset");
  assert_int_equal (rig->stops->len, 1);
  assert_string_equal (g_array_index (rig->stops, struct sidecar_request, 0).name, "job.0.0.0");
  sidecar_rig_destroy (rig);
}

static void
test_silent_session_ends (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 425);
  assert_int_equal (rig->stops->len, 0);
  sidecar_rig_advance (rig, 50);
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (rig->n_closed, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a gateway that repeats tasks of a lost session too early: its new session is
 * reported as open only after these tasks have ended. */
static void
test_new_session_opens_after_former_tasks_have_ended (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_session_closed (rig->core, 1, "reset");
  rig->is_open = false;
  sidecar_rig_open_session (rig, 3, "g1");
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against starts on an upstream that is draining or in a withdrawn domain. */
static void
test_draining_or_withdrawn_upstream_starts_nothing (void **state)
{
  static const char *const withdrawn[] = { "d0", "d1" };
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_announce (rig, "i1", 100, 2, true);
  sidecar_rig_send_run (rig, 1, 1, 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_announce (rig, "i1", 100, 3, false);
  az_sidecar_withdrawals_received (rig->core, 5, 0, withdrawn, 2);
  sidecar_rig_send_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 0);
  /* An older list must not end the withdrawal. */
  az_sidecar_withdrawals_received (rig->core, 4, 0, NULL, 0);
  sidecar_rig_send_run (rig, 1, 1, 2);
  assert_int_equal (rig->starts->len, 0);
  az_sidecar_withdrawals_received (rig->core, 6, 0, NULL, 0);
  sidecar_rig_send_run (rig, 1, 1, 3);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run after a delay in the network or a pause of this process: the gateway
 * has closed the session and runs the task elsewhere, but its request is still delivered. */
static void
test_delayed_request_starts_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->request_age_ms = 451;
  sidecar_rig_send_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  rig->request_age_ms = 450;
  sidecar_rig_send_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against starts in a withdrawn domain after a restart: the new process has no list of
 * withdrawn domains yet, and a gateway's list may be outdated. */
static void
test_started_sidecar_waits_for_the_withdrawals (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();

  (void)state;
  rig->hides_withdrawals = true;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_send_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  assert_true (az_sidecar_has_outdated_withdrawals (rig->core));
  az_sidecar_withdrawals_received (rig->core, 1, 0, NULL, 0);
  sidecar_rig_send_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a crash on a job without a specification: the message has a null pointer then. */
static void
test_empty_specification_is_started (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_message message = { .proc = AZ_NODE_RUN };
  struct az_run_task row = { .index = 0, .attempt = 1 };

  (void)state;
  message.az_message_u.node_run = (struct az_node_run){
    .clock_ms = (uint64_t)rig->now_ms,
    .job = 1,
    .name = (char *)"job.0.0",
    .need = { .cpu_milli = 4000, .memory_mb = 64 },
    .tasks = { 1, &row },
  };
  az_sidecar_received (rig->core, 1, &message);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against repeating a start for a gateway that has closed the session while this process was
 * paused: after the pause, the upstream's answer is handled before the session expires. */
static void
test_start_is_not_repeated_for_a_silent_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  rig->now_ms += 3000;
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_STALE_ATTEMPT);
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against a process that can't take over from the former one after the clock was set back:
 * the fence is raised until the upstream accepts it. */
static void
test_fence_is_raised_above_that_of_a_former_process (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();
  uint64_t fence;

  (void)state;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  fence = rig->hold_fence;
  for (int i = 0; i < 8; i++)
    sidecar_rig_fail_hold (rig, AZ_UPSTREAM_FENCED);
  assert_true (rig->hold_fence >= fence + 2000000);
  assert_false (rig->is_open);
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against two runs after a restart of this process: tasks that the former process started
 * are stopped, their leases aren't renewed, and nothing starts before they have ended. */
static void
test_tasks_of_a_former_process_are_stopped_first (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();

  (void)state;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  sidecar_rig_answer_hold (rig, "old.0.0.0", "");
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  assert_false (rig->is_open);
  sidecar_rig_send_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a resubmitted job that is refused for ever: its attempts begin at 1 again, and the
 * upstream may have seen higher ones. */
static void
test_old_attempt_is_raised (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_STALE_ATTEMPT);
  assert_int_equal (rig->starts->len, 2);
  assert_true (sidecar_rig_get_start (rig, 1)->attempt > 1);
  sidecar_rig_destroy (rig);
}

/* Guards against each gateway having to detect a slow upstream by itself: the sidecar measures the
 * tasks of all gateways and runs one at a time as a probe while the upstream is slow. */
static void
test_slow_upstream_is_detected_from_all_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    {
      sidecar_rig_send_run (rig, 1 + i % 2, 1 + i, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  assert_int_equal (rig->starts->len, 3);
  sidecar_rig_advance_answering_holds (rig, 600, "job.0.0.0 job.0.0.1 job.0.0.2");
  sidecar_rig_answer_hold (rig, "", "job.0.0.0 job.0.0.1 job.0.0.2");
  assert_in_range (rig->speed_percent, 5, 40);
  sidecar_rig_send_run (rig, 1, 2, 10);
  sidecar_rig_send_run (rig, 2, 2, 11);
  assert_int_equal (rig->starts->len, 4);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that counts as slow because the expected time of one job is too low.
 */
static void
test_one_underestimated_job_is_not_a_slow_upstream (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 6; i++)
    {
      sidecar_rig_send_run (rig, 1, 1, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  sidecar_rig_advance_answering_holds (
      rig, 400, "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5");
  sidecar_rig_answer_hold (rig, "", "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5");
  assert_in_range (rig->speed_percent, 46, 99);
  sidecar_rig_destroy (rig);
}

/* Guards against a gateway that takes its tasks for ended because the sidecar is open in a second
 * session, while they run in the first one. */
static void
test_second_session_of_a_gateway_is_not_open_beside_its_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  rig->is_open = false;
  sidecar_rig_open_session (rig, 3, "g1");
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  az_sidecar_session_closed (rig->core, 1, "test");
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that is lost, or an upstream that counts as empty, because of an answer
 * whose rows could not all be read. */
static void
test_answer_with_unreadable_rows_proves_no_end (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists
      = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1025 }, .n_unreadable = 1 };

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_advance (rig, 25);
  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  sidecar_rig_advance (rig, 25);
  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unanswered_start_is_repeated_after_acknowledged_stop),
    cmocka_unit_test (test_hold_sent_before_the_stop_proves_nothing),
    cmocka_unit_test (test_cancelled_task_is_not_started_again),
    cmocka_unit_test (test_session_with_an_unreported_end_is_not_idle),
    cmocka_unit_test (test_retired_session_is_closed_after_its_last_run_message),
    cmocka_unit_test (test_session_that_is_not_retired_any_more_is_open),
    cmocka_unit_test (test_late_answer_adopts_nothing),
    cmocka_unit_test (test_unanswered_start_is_lost_after_its_lease),
    cmocka_unit_test (test_tasks_of_unreachable_upstream_are_lost_after_the_lease),
    cmocka_unit_test (test_start_extends_the_leases_of_other_tasks),
    cmocka_unit_test (test_closed_session_stops_its_tasks),
    cmocka_unit_test (test_silent_session_ends),
    cmocka_unit_test (test_new_session_opens_after_former_tasks_have_ended),
    cmocka_unit_test (test_draining_or_withdrawn_upstream_starts_nothing),
    cmocka_unit_test (test_started_sidecar_waits_for_the_withdrawals),
    cmocka_unit_test (test_empty_specification_is_started),
    cmocka_unit_test (test_delayed_request_starts_nothing),
    cmocka_unit_test (test_start_is_not_repeated_for_a_silent_session),
    cmocka_unit_test (test_fence_is_raised_above_that_of_a_former_process),
    cmocka_unit_test (test_tasks_of_a_former_process_are_stopped_first),
    cmocka_unit_test (test_old_attempt_is_raised),
    cmocka_unit_test (test_slow_upstream_is_detected_from_all_tasks),
    cmocka_unit_test (test_one_underestimated_job_is_not_a_slow_upstream),
    cmocka_unit_test (test_second_session_of_a_gateway_is_not_open_beside_its_tasks),
    cmocka_unit_test (test_answer_with_unreadable_rows_proves_no_end),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
