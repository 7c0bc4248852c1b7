#include "sidecar_rig.h"
#include "testing.h"

/* Guards against a late heartbeat that replaces a newer announcement: it comes from an earlier
 * incarnation or is a duplicate. */
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

/* Guards against a heartbeat that is ignored after the announcement was read from the store: the
 * stored announcement has sequence 0, so that every heartbeat is newer. */
static void
test_heartbeat_is_newer_than_stored_announcement (void **state)
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

/* Guards against a second run elsewhere while the upstream runs on: a heartbeat of another writer,
 * or a late one, named another instance at its address and was taken for proof that it has ended.
 */
static void
test_announcement_that_no_instance_confirms_ends_no_task (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  assert_false (sidecar_rig_announce_unanswered (rig, "127.0.0.1:1", "i2", 200, 1));
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_false (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_OTHER_INSTANCE, 0));
  sidecar_rig_advance_answering_holds (rig, 3000, "job.0.0.0");
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  assert_true (rig->is_open);
  sidecar_rig_send_run (rig, 1, 1, 1);
  assert_int_equal (rig->starts->len, 2);
  sidecar_rig_destroy (rig);
}

/* Guards against the same with a heartbeat that names the present instance id: its birth time or
 * its address is another one. */
static void
test_announcement_of_present_id_needs_an_answer (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_false (sidecar_rig_announce_unanswered (rig, "127.0.0.1:1", "i1", 900, 1));
  assert_false (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_OK, 100));
  assert_false (sidecar_rig_announce_unanswered (rig, "127.0.0.1:9", "i1", 900, 2));
  assert_false (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_NOT_SENT, 0));
  sidecar_rig_advance_answering_holds (rig, 10000, "");
  assert_true (rig->is_open);
  assert_true (sidecar_rig_announce (rig, "i1", 100, 2, false));
  sidecar_rig_destroy (rig);
}

/* Guards against a new instance that stays unknown because it announces itself before it listens.
 */
static void
test_probe_is_repeated_until_the_instance_answers (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_announce_unanswered (rig, "127.0.0.1:1", "i2", 200, 1);
  assert_false (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_NOT_SENT, 0));
  sidecar_rig_advance (rig, 50);
  assert_int_equal (rig->n_probes, 3);
  assert_true (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_OK, 200));
  assert_true (sidecar_rig_announce (rig, "i2", 200, 2, false));
  sidecar_rig_destroy (rig);
}

/* Guards against a restarted upstream that stays closed until its next heartbeat because a hold
 * showed the restart before the probe did. */
static void
test_announcement_counts_if_a_hold_shows_the_restart_first (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_announce_unanswered (rig, "127.0.0.1:1", "i1", 200, 1);
  sidecar_rig_advance (rig, 25);
  sidecar_rig_answer_hold_as (rig, 200);
  assert_true (sidecar_rig_answer_probe (rig, AZ_UPSTREAM_OK, 200));
  sidecar_rig_answer_hold_as (rig, 200);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against tasks that wait for a proof that isn't needed: a start names the instance, so one
 * with another id refuses it. */
static void
test_incarnation_with_another_id_ends_the_tasks_at_once (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_announce (rig, "i2", 200, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a second run elsewhere while an incarnation at a former address may run the task.
 */
static void
test_tasks_at_a_former_address_outlast_the_next_restart (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 200, 1, false);
  sidecar_rig_announce_at (rig, "127.0.0.1:2", "i3", 300, 1, false);
  az_sidecar_flush (rig->core);
  assert_int_equal (sidecar_rig_last_event (rig), -1);
  sidecar_rig_advance_answering_holds (rig, 800, "");
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a task that runs in the new incarnation but ends with the leases of the former. */
static void
test_start_at_a_former_address_is_not_repeated (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 200, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_STALE_ATTEMPT);
  assert_int_equal (rig->starts->len, 1);
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_CLOSED);
  sidecar_rig_destroy (rig);
}

/* Guards against tasks that never end after their upstream has left: the answers of the instance
 * that takes its place would renew the bound of their leases. */
static void
test_tasks_of_a_departed_upstream_end_when_another_answers (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_OK);
  az_sidecar_upstream_left (rig->core, "i1", 100);
  for (int i = 0; i < 120; i++)
    {
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_OTHER_INSTANCE);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
    }
  assert_int_equal (sidecar_rig_last_event (rig), AZ_TASK_LOST);
  sidecar_rig_destroy (rig);
}

/* Guards against a departure that isn't believed because it states no birth time. */
static void
test_departure_without_birth_time_closes_the_upstream (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  az_sidecar_upstream_left (rig->core, "i1", 0);
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream with another id and address that is ignored for good because its clock
 * was set back, although the former one doesn't answer any more. */
static void
test_other_upstream_with_clock_set_back_opens (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->is_open = false;
  for (int i = 0; i < 200; i++)
    {
      sidecar_rig_fail_hold (rig, AZ_UPSTREAM_NOT_SENT);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_advance (rig, 25);
      sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 60, (uint64_t)i + 1, false);
    }
  sidecar_rig_advance (rig, 50);
  sidecar_rig_answer_hold (rig, "", "");
  assert_true (sidecar_rig_announce_at (rig, "127.0.0.1:2", "i2", 60, 1000, false));
  az_sidecar_flush (rig->core);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stale_announcements_are_ignored),
    cmocka_unit_test (test_heartbeat_is_newer_than_stored_announcement),
    cmocka_unit_test (test_announcement_that_no_instance_confirms_ends_no_task),
    cmocka_unit_test (test_announcement_of_present_id_needs_an_answer),
    cmocka_unit_test (test_probe_is_repeated_until_the_instance_answers),
    cmocka_unit_test (test_announcement_counts_if_a_hold_shows_the_restart_first),
    cmocka_unit_test (test_incarnation_with_another_id_ends_the_tasks_at_once),
    cmocka_unit_test (test_tasks_at_a_former_address_outlast_the_next_restart),
    cmocka_unit_test (test_start_at_a_former_address_is_not_repeated),
    cmocka_unit_test (test_tasks_of_a_departed_upstream_end_when_another_answers),
    cmocka_unit_test (test_other_upstream_with_clock_set_back_opens),
    cmocka_unit_test (test_departure_without_birth_time_closes_the_upstream),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
