#include "sidecar_rig.h"
#include "testing.h"

/* Heartbeats that name the present incarnation and were written by another program. */

/* Advances the clock by a heartbeat interval and delivers a sound heartbeat. */
static bool
announce_next (struct sidecar_rig *rig, uint64_t sequence)
{
  sidecar_rig_advance_answering_holds (rig, 1500, "");
  rig->clock_ms = rig->now_ms;
  return sidecar_rig_announce (rig, "i1", 100, sequence, false);
}

static bool
is_open (struct sidecar_rig *rig)
{
  az_sidecar_flush (rig->core);
  return rig->is_open;
}

/* Guards against an upstream that gets no task any more: it would be called at the other address.
 */
static void
test_present_incarnation_keeps_its_address (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_false (sidecar_rig_announce_at (rig, "127.0.0.1:99", "i1", 100, 9, false));
  assert_true (announce_next (rig, 2));
  assert_true (is_open (rig));
  sidecar_rig_destroy (rig);
}

/* Guards against sound heartbeats that are ignored for good after one with a far too high sequence
 * number. */
static void
test_high_sequence_does_not_lock_out_later_heartbeats (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_true (announce_next (rig, 2));
  assert_true (sidecar_rig_announce (rig, "i1", 100, 3, false));
  rig->clock_ms = -1;
  assert_true (sidecar_rig_announce (rig, "i1", 100, INT64_MAX, true));
  assert_false (is_open (rig));
  assert_true (announce_next (rig, 4));
  assert_true (is_open (rig));
  sidecar_rig_destroy (rig);
}

/* Guards against the same with a clock that is far ahead. */
static void
test_clock_ahead_does_not_lock_out_later_heartbeats (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_true (announce_next (rig, 2));
  rig->clock_ms = INT64_MAX;
  assert_false (sidecar_rig_announce (rig, "i1", 100, 3, true));
  assert_true (announce_next (rig, 3));
  assert_true (is_open (rig));
  sidecar_rig_destroy (rig);
}

/* Guards against a new incarnation whose heartbeats are ignored because one that named it first had
 * a clock that is far ahead. */
static void
test_first_announcement_with_clock_ahead_is_dropped (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->clock_ms = INT64_MAX;
  assert_false (sidecar_rig_announce (rig, "i2", 200, 1, false));
  rig->clock_ms = 4;
  assert_true (sidecar_rig_announce (rig, "i2", 200, 1, false));
  sidecar_rig_destroy (rig);
}

/* Guards against a late heartbeat that overwrites a newer one. */
static void
test_heartbeat_with_an_earlier_clock_is_outdated (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  assert_true (announce_next (rig, 2));
  rig->clock_ms -= 400;
  assert_false (sidecar_rig_announce (rig, "i1", 100, 3, false));
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that is used for another service, for other labels or in another
 * failure domain than its own. */
static void
test_present_incarnation_keeps_its_description (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  rig->service = "unnamed";
  assert_false (sidecar_rig_announce (rig, "i1", 100, 8, false));
  rig->service = "service";
  rig->label = "b";
  assert_false (sidecar_rig_announce (rig, "i1", 100, 8, false));
  rig->label = NULL;
  rig->domain = "d2";
  assert_false (sidecar_rig_announce (rig, "i1", 100, 8, false));
  assert_false (sidecar_rig_announce_unanswered (rig, "127.0.0.1:1", "i2", 200, 1));
  assert_int_equal (rig->n_probes, 1);
  rig->domain = "d1";
  assert_true (announce_next (rig, 2));
  assert_true (is_open (rig));
  assert_string_equal (rig->reported_service, "service");
  sidecar_rig_destroy (rig);
}

/* Guards against a wrong description that is kept because it came first. */
static void
test_wrong_first_description_is_replaced (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_bare ();
  bool is_replaced = false;

  (void)state;
  sidecar_rig_open_session (rig, 1, "g1");
  sidecar_rig_open_session (rig, 2, "g2");
  rig->service = "unnamed";
  assert_true (sidecar_rig_announce (rig, "i1", 100, 1, false));
  sidecar_rig_answer_hold (rig, "", "");
  rig->service = "service";
  for (uint64_t sequence = 2; sequence < 6; sequence++)
    is_replaced |= announce_next (rig, sequence);
  assert_true (is_replaced);
  assert_true (is_open (rig));
  assert_string_equal (rig->reported_service, "service");
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_present_incarnation_keeps_its_address),
    cmocka_unit_test (test_high_sequence_does_not_lock_out_later_heartbeats),
    cmocka_unit_test (test_clock_ahead_does_not_lock_out_later_heartbeats),
    cmocka_unit_test (test_first_announcement_with_clock_ahead_is_dropped),
    cmocka_unit_test (test_heartbeat_with_an_earlier_clock_is_outdated),
    cmocka_unit_test (test_present_incarnation_keeps_its_description),
    cmocka_unit_test (test_wrong_first_description_is_replaced),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
