#include "gateway_rig.h"
#include "testing.h"

#define CALLER 40
#define LONG_AFTER_START_MS 31000

static void
receive_cancelled (struct gateway_rig *rig, uint32_t session, bool was_held)
{
  struct az_message message = { .proc = AZ_NODE_CANCELLED };

  message.az_message_u.node_cancelled
      = (struct az_node_cancelled){ .number = rig->cancel_number, .was_held = was_held };
  az_gateway_received (rig->core, session, &message);
}

static void
receive_cancel (struct gateway_rig *rig, uint32_t session, const char *id)
{
  struct az_message message = { .proc = AZ_NODE_CANCEL };

  message.az_message_u.node_cancel = (struct az_node_cancel){ .number = 7, .job_id = (char *)id };
  az_gateway_received (rig->core, session, &message);
}

/* Creates a gateway with an upstream, and peers in sessions 4 and 5, that has run for long. */
static struct gateway_rig *
create_rig (void)
{
  struct gateway_rig *rig = gateway_rig_create (1);

  gateway_rig_advance (rig, LONG_AFTER_START_MS, 0);
  gateway_rig_open_peer (rig, 4, "127.0.0.1:14");
  gateway_rig_open_peer (rig, 5, "127.0.0.1:15");
  return rig;
}

/* Guards against a cancel that stops nothing because it reaches another gateway than the job. */
static void
test_cancel_reaches_the_gateway_that_holds_the_job (void **state)
{
  struct gateway_rig *rig = create_rig ();

  (void)state;
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  assert_int_equal (rig->n_cancels, 0);
  receive_cancelled (rig, 4, false);
  receive_cancelled (rig, 5, true);
  assert_int_equal (rig->n_cancels, 1);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_DONE);
  gateway_rig_submit_as (rig, 1, "00000000000000f2");
  receive_cancel (rig, 4, "00000000000000f2");
  assert_true (rig->replied_held);
  assert_int_equal (rig->stops->len, 1);
  gateway_rig_destroy (rig);
}

/* Guards against "no such job" while a gateway that hasn't answered may hold it. */
static void
test_cancel_is_unknown_until_all_peers_have_answered (void **state)
{
  struct gateway_rig *rig = create_rig ();

  (void)state;
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  receive_cancelled (rig, 4, false);
  receive_cancelled (rig, 4, false);
  assert_int_equal (rig->n_cancels, 0);
  receive_cancelled (rig, 5, false);
  assert_int_equal (rig->n_cancels, 1);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_NO_JOB);
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  receive_cancelled (rig, 4, false);
  gateway_rig_advance (rig, 600, 0);
  assert_int_equal (rig->n_cancels, 2);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_UNKNOWN);
  gateway_rig_destroy (rig);
}

/* Guards against the same after the loss of a peer, which may hold the job. */
static void
test_cancel_is_unknown_after_the_loss_of_a_peer (void **state)
{
  struct gateway_rig *rig = create_rig ();

  (void)state;
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  receive_cancelled (rig, 4, false);
  az_gateway_session_closed (rig->core, 5, "reset");
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_UNKNOWN);
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  receive_cancelled (rig, 4, false);
  assert_int_equal (rig->n_cancels, 2);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_UNKNOWN);
  gateway_rig_open_peer (rig, 6, "127.0.0.1:15");
  az_gateway_cancel (rig->core, CALLER, "00000000000000f1");
  receive_cancelled (rig, 4, false);
  receive_cancelled (rig, 6, false);
  assert_int_equal (rig->cancel_outcome, AZ_CANCEL_NO_JOB);
  gateway_rig_destroy (rig);
}

/* Guards against a job that runs although its cancel, which overtook it, was answered before. */
static void
test_job_that_arrives_after_its_cancel_does_not_run (void **state)
{
  struct gateway_rig *rig = create_rig ();

  (void)state;
  receive_cancel (rig, 4, "00000000000000f1");
  assert_false (rig->replied_held);
  gateway_rig_submit_as (rig, 1, "00000000000000f1");
  assert_int_equal (gateway_rig_get_outcome (rig, 1), AZ_JOB_NOT_RUN);
  gateway_rig_advance (rig, 11000, 0);
  gateway_rig_submit_as (rig, 2, "00000000000000f1");
  assert_int_equal (rig->runs->len, 1);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cancel_reaches_the_gateway_that_holds_the_job),
    cmocka_unit_test (test_cancel_is_unknown_until_all_peers_have_answered),
    cmocka_unit_test (test_cancel_is_unknown_after_the_loss_of_a_peer),
    cmocka_unit_test (test_job_that_arrives_after_its_cancel_does_not_run),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
