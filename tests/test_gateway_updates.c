#include "gateway_rig.h"
#include "testing.h"

#define PEER 9

static void
request_updates (struct gateway_rig *rig)
{
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  pulse.az_message_u.node_pulse.wants_updates = true;
  pulse.az_message_u.node_pulse.catalog_version = 1;
  az_gateway_received (rig->core, PEER, &pulse);
}

static void
receive_evidence (struct gateway_rig *rig, uint64_t version, uint32_t age_ms)
{
  struct az_message message = { .proc = AZ_NODE_EVIDENCE };

  message.az_message_u.node_evidence = (struct az_node_evidence){ version, age_ms };
  az_gateway_received (rig->core, PEER, &message);
}

/* Guards against a return to an older configuration that comes from an outdated peer or store. */
static void
test_older_configuration_is_ignored (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  assert_true (az_gateway_set_catalog (
      rig->core, gateway_rig_create_catalog (7),
      &(struct az_catalog_origin){ .revision = 3, .text = "{}", .length = 2 }));
  assert_false (az_gateway_set_catalog (
      rig->core, gateway_rig_create_catalog (6),
      &(struct az_catalog_origin){ .revision = 9, .text = "{}", .length = 2 }));
  assert_int_equal (az_gateway_catalog (rig->core)->version, 7);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway that keeps an old configuration because the store refuses it or can't be
 * reached, and against traffic that grows with the square of the number of gateways while all reach
 * the store. */
static void
test_updates_come_from_peers_only_without_the_store (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  gateway_rig_advance (rig, 1000, 0);
  assert_int_equal (rig->n_update_requests, 0);
  assert_int_equal (rig->n_catalogs_sent, 0);
  az_gateway_set_store_reachable (rig->core, false);
  gateway_rig_advance (rig, 500, 0);
  assert_in_range (rig->n_update_requests, 2, 3);
  pulse.az_message_u.node_pulse.wants_updates = true;
  pulse.az_message_u.node_pulse.catalog_version = 1;
  az_gateway_received (rig->core, PEER, &pulse);
  assert_int_equal (rig->n_catalogs_sent, 0);
  pulse.az_message_u.node_pulse.catalog_version = 0;
  az_gateway_received (rig->core, PEER, &pulse);
  assert_int_equal (rig->n_catalogs_sent, 1);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway that passes on what it heard from another one as if it were new. */
static void
test_relayed_evidence_keeps_its_age (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  request_updates (rig);
  assert_int_equal (rig->n_evidence_sent, 0);
  receive_evidence (rig, 1, 700);
  gateway_rig_advance (rig, 200, 0);
  request_updates (rig);
  assert_int_equal (rig->n_evidence_sent, 1);
  assert_int_equal (rig->evidence.catalog_version, 1);
  assert_int_equal (rig->evidence.age_ms, 900);
  gateway_rig_destroy (rig);
}

/* Guards against a configuration that counts as the newest although a newer one is known to exist,
 * and against older evidence that replaces recent one. */
static void
test_evidence_for_a_newer_configuration_is_no_evidence_for_the_present_one (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (0);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  receive_evidence (rig, 2, 0);
  assert_int_equal (az_gateway_catalog_age_ms (rig->core), -1);
  receive_evidence (rig, 1, 100);
  receive_evidence (rig, 1, 600);
  assert_int_equal (az_gateway_catalog_age_ms (rig->core), 100);
  gateway_rig_destroy (rig);
}

/* Guards against peers that take a gateway without the store for one without demand. */
static void
test_update_request_states_the_demand (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (0);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  az_gateway_set_store_reachable (rig->core, false);
  rig->wait_ms = 10000;
  for (uint32_t i = 1; i <= 100; i++)
    {
      gateway_rig_submit (rig, i, "fast", 2);
      gateway_rig_advance (rig, 20, 0);
      if (rig->n_update_requests > 0 && i > 50)
        assert_true (rig->heartbeat_cpu_milli[PEER] > 0);
    }
  assert_true (rig->n_update_requests >= 5);
  gateway_rig_destroy (rig);
}

static void
receive_withdrawn (struct gateway_rig *rig, uint32_t age_ms)
{
  struct az_message message = { .proc = AZ_NODE_WITHDRAWN };

  message.az_message_u.node_withdrawn.revision = 4;
  message.az_message_u.node_withdrawn.age_ms = age_ms;
  az_gateway_received (rig->core, PEER, &message);
}

/* Guards against a change that stays unknown while the store serves sidecars but no gateway. */
static void
test_sidecars_are_asked_if_no_peer_knows_more (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  az_gateway_set_store_reachable (rig->core, false);
  gateway_rig_advance (rig, 1000, 0);
  for (uint32_t session = 1; session <= 4; session++)
    assert_true (rig->n_update_requests_to[session] > 0);
  gateway_rig_destroy (rig);
}

static void
test_sidecars_are_not_asked_while_a_peer_knows_what_is_current (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.2:9");
  az_gateway_set_store_reachable (rig->core, false);
  for (unsigned i = 0; i < 20; i++)
    {
      receive_evidence (rig, 1, 100);
      receive_withdrawn (rig, 100);
      gateway_rig_advance (rig, 100, 0);
    }
  assert_true (rig->n_update_requests_to[PEER] > 0);
  assert_int_equal (rig->n_update_requests, rig->n_update_requests_to[PEER]);
  gateway_rig_destroy (rig);
}

/* Guards against load on a store that is out of service for everybody. */
static void
test_sidecars_are_asked_less_often_if_none_answers (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (4);
  unsigned n_before;

  (void)state;
  az_gateway_set_store_reachable (rig->core, false);
  gateway_rig_advance (rig, 3000, 0);
  n_before = rig->n_update_requests;
  gateway_rig_advance (rig, 10000, 0);
  assert_in_range (rig->n_update_requests - n_before, 18, 22);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_older_configuration_is_ignored),
    cmocka_unit_test (test_updates_come_from_peers_only_without_the_store),
    cmocka_unit_test (test_relayed_evidence_keeps_its_age),
    cmocka_unit_test (test_update_request_states_the_demand),
    cmocka_unit_test (test_sidecars_are_asked_if_no_peer_knows_more),
    cmocka_unit_test (test_sidecars_are_not_asked_while_a_peer_knows_what_is_current),
    cmocka_unit_test (test_sidecars_are_asked_less_often_if_none_answers),
    cmocka_unit_test (test_evidence_for_a_newer_configuration_is_no_evidence_for_the_present_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
