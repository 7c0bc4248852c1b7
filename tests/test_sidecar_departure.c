#include "sidecar_rig.h"
#include "testing.h"

#define HEARTBEAT_MS 1500

/* Creates a sidecar whose upstream has answered a hold and is reported to have left, by itself or
 * by another program. */
static struct sidecar_rig *
create_with_departure (bool is_draining)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  rig->clock_ms = rig->now_ms;
  sidecar_rig_announce (rig, "i1", 100, 2, is_draining);
  sidecar_rig_advance (rig, 100);
  az_sidecar_upstream_left (rig->core, "i1", 100);
  az_sidecar_flush (rig->core);
  assert_false (rig->is_open);
  return rig;
}

static void
announce (struct sidecar_rig *rig, uint64_t sequence, int64_t clock_ms)
{
  rig->clock_ms = clock_ms;
  sidecar_rig_announce (rig, "i1", 100, sequence, false);
  az_sidecar_flush (rig->core);
}

/* Guards against an upstream that is closed for good by another program, though it runs on. */
static void
test_heartbeat_after_a_departure_disproves_it (void **state)
{
  struct sidecar_rig *rig = create_with_departure (false);

  (void)state;
  sidecar_rig_advance (rig, HEARTBEAT_MS);
  announce (rig, 3, rig->now_ms);
  assert_true (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against an upstream that has left and is used again because of a late heartbeat. */
static void
test_late_heartbeat_does_not_disprove_a_departure (void **state)
{
  struct sidecar_rig *rig = create_with_departure (false);
  int64_t sent_ms = rig->now_ms - 50;

  (void)state;
  sidecar_rig_advance (rig, HEARTBEAT_MS);
  announce (rig, 3, sent_ms);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

/* Guards against the same for an upstream that has announced that it drains. */
static void
test_departure_after_draining_is_final (void **state)
{
  struct sidecar_rig *rig = create_with_departure (true);

  (void)state;
  sidecar_rig_advance (rig, HEARTBEAT_MS);
  announce (rig, 3, rig->now_ms);
  sidecar_rig_advance (rig, HEARTBEAT_MS);
  announce (rig, 4, rig->now_ms);
  assert_false (rig->is_open);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_heartbeat_after_a_departure_disproves_it),
    cmocka_unit_test (test_late_heartbeat_does_not_disprove_a_departure),
    cmocka_unit_test (test_departure_after_draining_is_final),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
