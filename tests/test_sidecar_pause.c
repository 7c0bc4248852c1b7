#include "sidecar_rig.h"
#include "testing.h"

/* Guards against a start that is repeated after the sidecar was paused: the gateway has closed the
 * session meanwhile, but its earlier messages are still unread. */
static void
test_no_start_is_repeated_after_a_pause (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  sidecar_rig_send_run (rig, 1, 1, 0);
  rig->now_ms += 2000;
  sidecar_rig_send_pulse (rig, 1);
  sidecar_rig_answer_start (rig, 0, AZ_UPSTREAM_UNANSWERED);
  sidecar_rig_answer_stop (rig, 0, AZ_UPSTREAM_OK);
  sidecar_rig_answer_hold (rig, "", "");
  assert_int_equal (rig->starts->len, 1);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_start_is_repeated_after_a_pause),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
