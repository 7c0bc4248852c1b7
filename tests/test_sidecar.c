#include "sidecar_rig.h"
#include "testing.h"

/* Guards against overcommitting an upstream: what is being started or stopped counts. */
static void
test_room_is_never_exceeded (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 9; i++)
    sidecar_rig_run (rig, 1 + i % 2, 1, i);
  assert_int_equal (rig->starts->len, 8);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_NO_ROOM);
  assert_int_equal (rig->free_milli, 0);
  sidecar_rig_destroy (rig);
}

static void
test_end_is_told_and_frees_room (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "job.0.0.0");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_DONE);
  assert_int_equal (rig->free_milli, 32000);
  assert_true (az_sidecar_is_idle (rig->core));
  sidecar_rig_destroy (rig);
}

/* Guards against a second run while the first order may still be carried out: a start without an
 * answer is sent again, with a higher attempt, only when a stop of the first attempt was taken and
 * a later look shows no trace of it. */
static void
test_unanswered_start_needs_a_proven_stop (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
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
  assert_int_equal (sidecar_rig_start (rig, 1)->attempt, 2);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_destroy (rig);
}

/* A look that was sent before the stop was answered proves nothing. */
static void
test_look_before_the_stop_proves_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1000 } };
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  earlier_hold = rig->hold;
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_hold_answered (rig->core, earlier_hold, &lists);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* The gateway doesn't want the task any more: it is not sent again. */
static void
test_recalled_task_is_not_sent_again (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_message stop = { .proc = AZ_NODE_STOP };

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  stop.az_message_u.node_stop.job = 1;
  az_sidecar_received (rig->core, 1, &stop);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_STOPPED);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that is taken for one of an earlier life, and stopped, because an answer
 * that was overtaken by a newer one still lists it. */
static void
test_overtaken_answer_adopts_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 1000 } };
  struct az_upstream_active active = { .task = (char *)"job.0.0.0", .attempt = 1, .percent = 90 };
  uint64_t earlier_hold;

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_pass (rig, 25);
  earlier_hold = rig->hold - 1;
  sidecar_rig_answer_hold (rig, "", "job.0.0.0");
  lists.active = &active;
  lists.n_active = 1;
  az_sidecar_hold_answered (rig->core, earlier_hold, &lists);
  assert_int_equal (rig->stops->len, 0);
  sidecar_rig_destroy (rig);
}

/* Guards against giving up a task before the lease of its order has passed, and against keeping
 * its room for ever: orders to stop stay unanswered while holds go on. */
static void
test_unanswered_start_is_gone_with_its_lease (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_pass_held (rig, 650, "");
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_pass_held (rig, 150, "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Lets time pass while the upstream answers no hold. */
static void
pass_silent (struct sidecar_rig *rig, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 25)
    {
      sidecar_rig_pulse (rig, 1);
      sidecar_rig_pulse (rig, 2);
      sidecar_rig_pass (rig, 25);
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_UNANSWERED);
    }
}

/* Guards against a lease that a lost answer has renewed (the bound moves when a hold is sent), and
 * against tasks that never end because each further hold might renew them. */
static void
test_silent_upstream_keeps_its_tasks_until_the_lease_ends (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_pass_held (rig, 500, "job.0.0.0");
  pass_silent (rig, 675);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  pass_silent (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run of a task whose lease was extended by the start of another one: the
 * upstream applies each lease end to all of its tasks. */
static void
test_start_extends_the_leases_of_other_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_pass_held (rig, 500, "job.0.0.0");
  /* The holds that renewed the first task's lease are on their way; no answer comes any more. */
  for (int i = 0; i < 16; i++)
    {
      sidecar_rig_pulse (rig, 1);
      sidecar_rig_pass (rig, 25);
    }
  sidecar_rig_run (rig, 1, 2, 1);
  assert_int_equal (rig->starts->len, 2);
  pass_silent (rig, 650);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  pass_silent (rig, 200);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against two runs of a job that its caller sends again through another gateway: what the
 * first one started is stopped when its session ends. */
static void
test_closed_session_stops_its_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_run (rig, 2, 1, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_start (rig, 1, AZ_UPSTREAM_OK);
  az_sidecar_session_closed (rig->core, 1, "reset");
  assert_int_equal (rig->stops->len, 1);
  assert_string_equal (g_array_index (rig->stops, struct sidecar_order, 0).name, "job.0.0.0");
  sidecar_rig_destroy (rig);
}

static void
test_silent_session_ends (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_pass (rig, 425);
  assert_int_equal (rig->stops->len, 0);
  sidecar_rig_pass (rig, 50);
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (rig->n_closed, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a gateway that takes its lost tasks for gone too early: a new session of the same
 * gateway is open only when they are. */
static void
test_new_session_is_open_when_the_former_ones_tasks_are_gone (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
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

/* Guards against a heartbeat that was delayed until a newer incarnation had announced itself. */
static void
test_stale_announcements_are_ignored (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_true (sidecar_rig_announce (rig, "i2", 200, 1, false));
  assert_false (sidecar_rig_announce (rig, "i1", 100, 9, false));
  assert_false (sidecar_rig_announce (rig, "i2", 200, 1, false));
  assert_true (sidecar_rig_announce (rig, "i2", 200, 2, false));
  assert_true (sidecar_rig_announce (rig, "i2", 300, 1, false));
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that has started again under its former name: its tasks are gone, its
 * counts of ends begin anew, and its size may differ, so nothing starts before it announces. */
static void
test_reborn_upstream_is_noticed_by_its_answers (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  struct az_upstream_lists lists
      = { .answer = { .result = AZ_UPSTREAM_OK, .clock_ms = 5, .born_ms = 200 } };

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_hold_answered (rig->core, rig->hold, &lists);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  assert_false (rig->is_open);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  assert_int_equal (rig->hold_seen, 0);
  sidecar_rig_destroy (rig);
}

/* A record that a former life of this process kept has sequence 0: each heartbeat is newer. */
static void
test_heartbeat_follows_a_record (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();

  (void)state;
  sidecar_rig_open_session (rig, 1, "g1");
  assert_true (sidecar_rig_announce (rig, "i1", 100, 0, false));
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  assert_true (sidecar_rig_announce (rig, "i1", 100, 5, true));
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

static void
test_new_life_at_the_address_ends_the_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce (rig, "i1", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against work on an upstream that is leaving or in a domain that was withdrawn. */
static void
test_draining_or_withdrawn_upstream_takes_nothing (void **state)
{
  static const char *const withdrawn[] = { "d0", "d1" };
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_announce (rig, "i1", 100, 2, true);
  sidecar_rig_run (rig, 1, 1, 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_announce (rig, "i1", 100, 3, false);
  az_sidecar_withdrawn (rig->core, 5, 0, withdrawn, 2);
  sidecar_rig_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 0);
  /* Older news must not bring the domain back. */
  az_sidecar_withdrawn (rig->core, 4, 0, NULL, 0);
  sidecar_rig_run (rig, 1, 1, 2);
  assert_int_equal (rig->starts->len, 0);
  az_sidecar_withdrawn (rig->core, 6, 0, NULL, 0);
  sidecar_rig_run (rig, 1, 1, 3);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run after the network or this process was held up: the gateway has given
 * the session up meanwhile and runs the task elsewhere, but its order is still delivered. */
static void
test_delayed_order_starts_nothing (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->order_age_ms = 451;
  sidecar_rig_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  rig->order_age_ms = 450;
  sidecar_rig_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against starts in a withdrawn domain right after a restart: what the former process knew
 * of withdrawals is gone, and a gateway may have older news. */
static void
test_started_sidecar_waits_for_the_withdrawals (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();

  (void)state;
  rig->hides_withdrawals = true;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  assert_true (az_sidecar_needs_withdrawals (rig->core));
  az_sidecar_withdrawn (rig->core, 1, 0, NULL, 0);
  sidecar_rig_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a caller whose job has no specification: it comes without bytes and used to end
 * the process. */
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

/* Guards against an order that is sent again after a pause, for a gateway that has given the
 * session up meanwhile: answers of the upstream are read before the loss is noticed. */
static void
test_start_is_not_repeated_for_a_silent_session (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  rig->now_ms += 3000;
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OLD);
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against a process that can't take over from its predecessor after its clock was set
 * back: the fence rises until the upstream takes it. */
static void
test_fence_rises_above_an_earlier_life (void **state)
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

/* Guards against two runs after a restart of this process: what the former one started is stopped,
 * its lease isn't renewed, and nothing new begins before it is gone. */
static void
test_tasks_of_an_earlier_life_are_stopped_first (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();

  (void)state;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_announce (rig, "i1", 100, 1, false);
  sidecar_rig_answer_hold (rig, "old.0.0.0", "");
  assert_int_equal (rig->stops->len, 1);
  assert_int_equal (rig->hold_lease_end_clock_ms, 0);
  assert_false (rig->is_open);
  sidecar_rig_run (rig, 1, 1, 0);
  assert_int_equal (rig->starts->len, 0);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

static void
wait_for_room (struct sidecar_rig *rig, uint32_t session, uint32_t cpu_milli)
{
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  pulse.az_message_u.node_pulse.waiting_cpu_milli = cpu_milli;
  pulse.az_message_u.node_pulse.wants_reports = true;
  az_sidecar_received (rig->core, session, &pulse);
}

/* Load: many gateways wait for the room of full upstreams. Guards against telling all of them about
 * room that only one can use: the others would be refused, and ask again. */
static void
test_freed_room_is_offered_to_those_who_can_fill_it (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();
  unsigned before;

  (void)state;
  sidecar_rig_open_session (rig, 3, "g3");
  for (uint32_t i = 0; i < 8; i++)
    {
      sidecar_rig_run (rig, 1, 1, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  sidecar_rig_pass_held (rig, 100,
                         "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5 job.0.0.6 "
                         "job.0.0.7");
  wait_for_room (rig, 2, 4000);
  wait_for_room (rig, 3, 4000);
  az_sidecar_flush (rig->core);
  before = rig->n_reports[2] + rig->n_reports[3];
  sidecar_rig_answer_hold (
      rig, "job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5 job.0.0.6 job.0.0.7", "job.0.0.0");
  assert_int_equal (rig->free_milli, 4000);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 1);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 1);
  /* The first doesn't take it. */
  rig->now_ms += 5;
  sidecar_rig_pulse (rig, 1);
  az_sidecar_flush (rig->core);
  assert_int_equal (rig->n_reports[2] + rig->n_reports[3], before + 2);
  sidecar_rig_destroy (rig);
}

/* A job that is sent again starts its attempts anew; the upstream may have passed them. */
static void
test_old_attempt_is_raised (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OLD);
  assert_int_equal (rig->starts->len, 2);
  assert_true (sidecar_rig_start (rig, 1)->attempt > 1);
  sidecar_rig_destroy (rig);
}

/* Guards against each gateway having to find out by itself that an upstream is slow: the sidecar
 * learns from the tasks of all, and takes one at a time to see whether it still is. */
static void
test_slow_upstream_is_found_from_all_tasks (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    {
      sidecar_rig_run (rig, 1 + i % 2, 1 + i, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  assert_int_equal (rig->starts->len, 3);
  sidecar_rig_pass_held (rig, 600, "job.0.0.0 job.0.0.1 job.0.0.2");
  sidecar_rig_answer_hold (rig, "", "job.0.0.0 job.0.0.1 job.0.0.2");
  assert_in_range (rig->speed_percent, 5, 40);
  sidecar_rig_run (rig, 1, 2, 10);
  sidecar_rig_run (rig, 2, 2, 11);
  assert_int_equal (rig->starts->len, 4);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that is taken for slow because one job's estimate was too low. */
static void
test_one_underestimated_job_says_little (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  for (uint32_t i = 0; i < 6; i++)
    {
      sidecar_rig_run (rig, 1, 1, i);
      sidecar_rig_answer_start (rig, i, AZ_UPSTREAM_OK);
    }
  sidecar_rig_pass_held (rig, 400, "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5");
  sidecar_rig_answer_hold (rig, "", "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5");
  assert_in_range (rig->speed_percent, 46, 99);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_room_is_never_exceeded),
    cmocka_unit_test (test_end_is_told_and_frees_room),
    cmocka_unit_test (test_unanswered_start_needs_a_proven_stop),
    cmocka_unit_test (test_look_before_the_stop_proves_nothing),
    cmocka_unit_test (test_recalled_task_is_not_sent_again),
    cmocka_unit_test (test_overtaken_answer_adopts_nothing),
    cmocka_unit_test (test_unanswered_start_is_gone_with_its_lease),
    cmocka_unit_test (test_silent_upstream_keeps_its_tasks_until_the_lease_ends),
    cmocka_unit_test (test_start_extends_the_leases_of_other_tasks),
    cmocka_unit_test (test_closed_session_stops_its_tasks),
    cmocka_unit_test (test_silent_session_ends),
    cmocka_unit_test (test_new_session_is_open_when_the_former_ones_tasks_are_gone),
    cmocka_unit_test (test_stale_announcements_are_ignored),
    cmocka_unit_test (test_new_life_at_the_address_ends_the_tasks),
    cmocka_unit_test (test_reborn_upstream_is_noticed_by_its_answers),
    cmocka_unit_test (test_heartbeat_follows_a_record),
    cmocka_unit_test (test_draining_or_withdrawn_upstream_takes_nothing),
    cmocka_unit_test (test_started_sidecar_waits_for_the_withdrawals),
    cmocka_unit_test (test_empty_specification_is_started),
    cmocka_unit_test (test_delayed_order_starts_nothing),
    cmocka_unit_test (test_start_is_not_repeated_for_a_silent_session),
    cmocka_unit_test (test_fence_rises_above_an_earlier_life),
    cmocka_unit_test (test_tasks_of_an_earlier_life_are_stopped_first),
    cmocka_unit_test (test_freed_room_is_offered_to_those_who_can_fill_it),
    cmocka_unit_test (test_old_attempt_is_raised),
    cmocka_unit_test (test_slow_upstream_is_found_from_all_tasks),
    cmocka_unit_test (test_one_underestimated_job_says_little),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
