#include "gateway_rig.h"
#include "testing.h"

static void
test_job_is_answered_when_all_tasks_are_done (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 3);
  assert_int_equal (rig->runs->len, 3);
  gateway_rig_end_run (rig, 0, AZ_TASK_DONE, 90);
  gateway_rig_end_run (rig, 1, AZ_TASK_DONE, 90);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_end_run (rig, 2, AZ_TASK_DONE, 90);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_COMPLETED);
  assert_int_equal (az_gateway_n_jobs (rig->core), 0);
  gateway_rig_destroy (rig);
}

/* Guards against the outcomes "failed" and "not run" for a job that has started and misses its
 * deadline. */
static void
test_started_job_past_its_deadline_is_unfinished (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_advance (rig, 1520, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_UNFINISHED);
  assert_int_equal (rig->stops->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against the outcome "unfinished", which leaves open whether tasks have run, although every
 * start was refused. */
static void
test_job_whose_tasks_were_all_refused_has_not_run (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  rig->used_cpu_milli[1] += 32000;
  gateway_rig_end_run (rig, 0, AZ_TASK_NO_ROOM, 0);
  gateway_rig_advance (rig, 1520, 0);
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

static void
test_task_that_fails_too_often_fails_its_job (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 2);
  gateway_rig_end_run (rig, 0, AZ_TASK_FAILED, 20);
  gateway_rig_end_run (rig, 2, AZ_TASK_FAILED, 20);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_end_run (rig, 3, AZ_TASK_FAILED, 20);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_FAILED);
  assert_int_equal (rig->stops->len, 1);
  gateway_rig_destroy (rig);
}

/* A failed task runs on another upstream, and each run has a higher attempt. */
static void
test_failed_task_runs_elsewhere_with_a_higher_attempt (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_end_run (rig, 0, AZ_TASK_FAILED, 20);
  assert_int_equal (rig->runs->len, 2);
  assert_int_not_equal (gateway_rig_get_run (rig, 0)->session,
                        gateway_rig_get_run (rig, 1)->session);
  assert_true (gateway_rig_get_run (rig, 1)->attempt > gateway_rig_get_run (rig, 0)->attempt);
  gateway_rig_destroy (rig);
}

/* Guards against two simultaneous runs of one task: a task of a lost session may still run until
 * its sidecar has ended it. */
static void
test_orphaned_tasks_wait_for_the_orphan_timeout (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);
  uint32_t lost_session;

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  lost_session = gateway_rig_get_run (rig, 0)->session;
  az_gateway_session_closed (rig->core, lost_session, "reset");
  gateway_rig_advance (rig, 1220, 0);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (rig->runs->len, 2);
  assert_int_not_equal (gateway_rig_get_run (rig, 1)->session, lost_session);
  gateway_rig_destroy (rig);
}

/* A sidecar that reconnects and accepts tasks has ended the tasks of the former session. */
static void
test_reopened_session_requeues_orphans_at_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  az_gateway_session_closed (rig->core, 1, "reset");
  gateway_rig_advance (rig, 100, 0);
  gateway_rig_open_upstream (rig, 3, "s1", "d1", false);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_open_upstream (rig, 4, "s1", "d1", true);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_destroy (rig);
}

static void
test_session_without_messages_is_closed (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (2);
  uint32_t silent_session;

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  silent_session = gateway_rig_get_run (rig, 0)->session;
  gateway_rig_advance (rig, 440, 1u << silent_session);
  assert_int_equal (rig->n_closed, 0);
  gateway_rig_advance (rig, 60, 1u << silent_session);
  assert_int_equal (rig->n_closed, 1);
  gateway_rig_destroy (rig);
}

/* A job that is submitted through two connections runs once, and both are answered. */
static void
test_job_sent_twice_runs_once (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);
  const struct az_catalog *catalog = az_gateway_catalog (rig->core);
  struct az_job_request request = { .specification = g_strdup ("spec") };

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  az_gateway_submit (rig->core, 2, &catalog->routes[0], "0000000000000001", &request, 1500);
  az_gateway_flush (rig->core);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_end_run (rig, 0, AZ_TASK_DONE, 90);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_COMPLETED);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_COMPLETED);
  gateway_rig_destroy (rig);
}

static void
test_job_without_callers_is_stopped (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 2);
  az_gateway_caller_disconnected (rig->core, 1);
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (az_gateway_n_jobs (rig->core), 0);
  gateway_rig_destroy (rig);
}

static void
test_withdrawn_domain_gets_no_tasks (void **state)
{
  static const char *const domains[] = { "d2" };
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_open_upstream (rig, 1, "s1", "d2", true);
  gateway_rig_open_upstream (rig, 2, "s2", "d3", true);
  az_gateway_set_withdrawn (rig->core, 10, 0, domains, 1);
  az_gateway_set_withdrawn (rig->core, 9, 0, NULL, 0);
  gateway_rig_submit (rig, 1, "fast", 6);
  assert_int_equal (rig->runs->len, 6);
  for (guint i = 0; i < rig->runs->len; i++)
    assert_int_equal (gateway_rig_get_run (rig, i)->session, 2);
  gateway_rig_destroy (rig);
}

/* Guards against run messages that a sidecar can't tell from delayed ones. They state the time on
 * the sidecar's clock, computed from its last report and the time since then. */
static void
test_run_message_carries_the_sidecar_clock (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  rig->now_ms += 70;
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  /* The clocks may have drifted apart by 1.4 ms since the report. */
  assert_int_equal (gateway_rig_get_run (rig, 0)->clock_ms,
                    rig->now_ms + GATEWAY_RIG_CLOCK_AHEAD_MS - 2);
  gateway_rig_destroy (rig);
}

/* Guards against heartbeats that keep a session open however late they arrive: they state the time
 * on the sidecar's clock. A report that took long doesn't lower it. */
static void
test_heartbeat_states_the_sidecar_clock (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_advance (rig, 100, 0);
  rig->report_delay_ms = 300;
  gateway_rig_advance (rig, 400, 0);
  assert_in_range (rig->heartbeat_clock_ms, rig->now_ms + GATEWAY_RIG_CLOCK_AHEAD_MS - 100,
                   rig->now_ms + GATEWAY_RIG_CLOCK_AHEAD_MS);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway that was paused and starts a job whose caller has resubmitted it
 * elsewhere: after the pause it reads a report of freed resources before it checks deadlines. */
static void
test_paused_gateway_starts_no_expired_job (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 8);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 8);
  rig->now_ms += 3000;
  gateway_rig_end_run (rig, 0, AZ_TASK_DONE, 90);
  assert_int_equal (rig->runs->len, 8);
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (rig->runs->len, 8);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway that was paused and starts a job before it has read that the caller has
 * disconnected meanwhile. */
static void
test_resumed_gateway_reads_messages_before_placing (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_submit (rig, 2, "fast", 1);
  rig->now_ms += 400;
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  az_gateway_tick (rig->core);
  az_gateway_flush (rig->core);
  az_gateway_caller_disconnected (rig->core, 2);
  az_gateway_flush (rig->core);
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (gateway_rig_get_run (rig, 0)->job, 1);
  gateway_rig_destroy (rig);
}

static void
submit_without_needs (struct gateway_rig *rig, uint32_t caller)
{
  const struct az_catalog *catalog = az_gateway_catalog (rig->core);
  struct az_job_request request = { .specification = g_strdup ("spec"), .n_steps = 1 };

  request.steps = g_new0 (struct az_job_step, 1);
  request.steps[0] = (struct az_job_step){ .n_tasks = 1, .estimate_ms = 100 };
  az_gateway_submit (rig->core, caller, az_catalog_find_route (catalog, "host", "/fast/"), "00ab",
                     &request, rig->wait_ms);
  az_gateway_flush (rig->core);
}

/* Guards against run messages that a sidecar can't tell from delayed ones, in a session without a
 * report from which its clock is known. */
static void
test_nothing_is_sent_before_the_first_report_of_a_session (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);
  struct az_message hello = { .proc = AZ_NODE_HELLO };
  struct az_message opened = { .proc = AZ_NODE_UPSTREAM };

  (void)state;
  az_gateway_session_closed (rig->core, 1, "reset");
  hello.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = 300, .instance = (char *)"s1", .domain = (char *)"d1", .address = (char *)""
  };
  opened.az_message_u.node_upstream = (struct az_node_upstream){
    .life = 1,
    .open = true,
    .service = (char *)"service",
    .capacity = { .cpu_milli = 32000, .memory_mb = 65536 },
  };
  az_gateway_session_opened (rig->core, 2, NULL);
  az_gateway_received (rig->core, 2, &hello);
  az_gateway_received (rig->core, 2, &opened);
  gateway_rig_submit (rig, 1, "fast", 1);
  submit_without_needs (rig, 2);
  assert_int_equal (rig->runs->len, 0);
  gateway_rig_advance (rig, 20, ~(1u << 2));
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_destroy (rig);
}

/* Guards against a crash after two hellos on one connection: the upstream of the first one would
 * keep the handle of the session after its end, and placing a task there would dereference NULL. */
static void
test_second_hello_is_ignored (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);
  struct az_message hello = { .proc = AZ_NODE_HELLO };

  (void)state;
  gateway_rig_open_upstream (rig, 1, "s1", "d1", true);
  hello.az_message_u.node_hello = (struct az_node_hello){
    .incarnation = 101,
    .instance = (char *)"s2",
    .domain = (char *)"d1",
    .address = (char *)"",
  };
  az_gateway_received (rig->core, 1, &hello);
  az_gateway_session_closed (rig->core, 1, "reset");
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (rig->runs->len, 0);
  gateway_rig_open_upstream (rig, 2, "s1", "d1", true);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against a report whose implausibly high counts keep the process busy for minutes. */
static void
test_implausible_counts_are_limited (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  rig->n_done[1] = UINT32_MAX;
  rig->n_failed[1] = UINT32_MAX - 1;
  gateway_rig_advance (rig, 20, 0);
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  gateway_rig_destroy (rig);
}

/* Guards against one odd entry of the store that costs the others: the list of gateways can't be
 * encoded with it, so no sidecar would learn of any other gateway. */
static void
test_invalid_member_address_is_ignored (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);
  g_autofree char *long_address = g_strnfill (5000, 'a');

  (void)state;
  az_gateway_add_member (rig->core, long_address);
  az_gateway_add_member (rig->core, "127.0.0.1:99999");
  gateway_rig_advance (rig, 1000, 0);
  assert_int_equal (rig->connects->len, 0);
  az_gateway_add_member (rig->core, "127.0.0.1:10");
  gateway_rig_advance (rig, 1000, 0);
  assert_true (rig->connects->len > 0);
  assert_string_equal (rig->connects->pdata[0], "127.0.0.1:10");
  gateway_rig_destroy (rig);
}

/* Guards against a run of a job that its caller has sent elsewhere: the request waited unread while
 * the process was paused, and its deadline counted from the end of the pause. */
static void
test_deadline_counts_from_the_beginning_of_a_pause (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  gateway_rig_advance (rig, 100, 0);
  rig->now_ms += 1600;
  gateway_rig_submit (rig, 1, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_advance (rig, 20, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), AZ_JOB_NOT_RUN);
  gateway_rig_advance (rig, 100, 0);
  assert_int_equal (rig->runs->len, 0);
  gateway_rig_submit (rig, 3, "fast", 1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against two jobs that are taken for one because their ids differ only in the case of their
 * letters, and against a task name that doesn't begin with the id that the caller chose. */
static void
test_ids_that_differ_in_case_are_two_jobs (void **state)
{
  static const char *const ids[] = { "00000000000000aB", "00000000000000Ab" };
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  for (uint32_t i = 0; i < G_N_ELEMENTS (ids); i++)
    gateway_rig_submit_as (rig, i + 1, ids[i]);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_end_run (rig, 0, AZ_TASK_DONE, 100);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_COMPLETED);
  assert_int_equal (gateway_rig_get_outcome (rig, 2), -1);
  assert_string_equal (gateway_rig_get_run (rig, 0)->name, "00000000000000aB.0.0");
  az_gateway_cancel (rig->core, 9, ids[1]);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_DONE);
  gateway_rig_destroy (rig);
}

/* Guards against a job that counts as expired at once because its wait time, in microseconds, is
 * more than the type holds. */
static void
test_longest_wait_time_is_accepted (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  (void)state;
  rig->wait_ms = INT64_MAX;
  gateway_rig_submit (rig, 1, "fast", 1);
  gateway_rig_advance (rig, 100, 0);
  assert_int_equal (gateway_rig_get_outcome (rig, 1), -1);
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_answered_when_all_tasks_are_done),
    cmocka_unit_test (test_started_job_past_its_deadline_is_unfinished),
    cmocka_unit_test (test_job_whose_tasks_were_all_refused_has_not_run),
    cmocka_unit_test (test_task_that_fails_too_often_fails_its_job),
    cmocka_unit_test (test_failed_task_runs_elsewhere_with_a_higher_attempt),
    cmocka_unit_test (test_orphaned_tasks_wait_for_the_orphan_timeout),
    cmocka_unit_test (test_reopened_session_requeues_orphans_at_once),
    cmocka_unit_test (test_session_without_messages_is_closed),
    cmocka_unit_test (test_job_sent_twice_runs_once),
    cmocka_unit_test (test_job_without_callers_is_stopped),
    cmocka_unit_test (test_withdrawn_domain_gets_no_tasks),
    cmocka_unit_test (test_run_message_carries_the_sidecar_clock),
    cmocka_unit_test (test_heartbeat_states_the_sidecar_clock),
    cmocka_unit_test (test_nothing_is_sent_before_the_first_report_of_a_session),
    cmocka_unit_test (test_paused_gateway_starts_no_expired_job),
    cmocka_unit_test (test_resumed_gateway_reads_messages_before_placing),
    cmocka_unit_test (test_second_hello_is_ignored),
    cmocka_unit_test (test_implausible_counts_are_limited),
    cmocka_unit_test (test_deadline_counts_from_the_beginning_of_a_pause),
    cmocka_unit_test (test_ids_that_differ_in_case_are_two_jobs),
    cmocka_unit_test (test_longest_wait_time_is_accepted),
    cmocka_unit_test (test_invalid_member_address_is_ignored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
