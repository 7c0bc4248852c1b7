#include "gateway_rig.h"
#include "testing.h"

#define PEER 4

static void
state_demand (struct gateway_rig *rig, uint32_t cores)
{
  struct az_message pulse = { .proc = AZ_NODE_PULSE };

  pulse.az_message_u.node_pulse.waiting_cpu_milli = cores * 1000;
  az_gateway_received (rig->core, PEER, &pulse);
}

/* Fills three upstreams of 32 cores up to the last four cores, four of them with a task of this
 * gateway, which has one peer. */
static void
fill_upstreams (struct gateway_rig *rig)
{
  gateway_rig_open_peer (rig, PEER, "127.0.0.1:14");
  gateway_rig_submit (rig, 1, "fast", 1);
  for (uint32_t session = 1; session <= 3; session++)
    rig->used_cpu_milli[session] = session < 3 ? 32000 : 28000;
  gateway_rig_advance (rig, 40, 0);
  assert_int_equal (rig->runs->len, 1);
}

/* Guards against a gateway that takes all that becomes free because it is faster or nearer than
 * those whose callers ask for more. */
static void
test_gateway_leaves_cores_beyond_its_share (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 300);
  gateway_rig_submit (rig, 2, "fast", 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_share_waits_total"), 1);
  gateway_rig_destroy (rig);
}

/* Guards against idle cores while nobody is short of them. */
static void
test_nothing_is_left_when_the_cores_suffice (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 50);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_destroy (rig);
}

/* Guards against the same while many cores are free, whatever the others ask for. */
static void
test_nothing_is_left_while_many_cores_are_free (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 300);
  rig->used_cpu_milli[2] = 20000;
  gateway_rig_advance (rig, 40, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_destroy (rig);
}

/* Guards against a gateway that takes more than its share because of free cores that are too
 * scattered for a task: here three cores on each of two upstreams, while a task needs four. */
static void
test_scattered_cores_do_not_count_as_free (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 300);
  rig->used_cpu_milli[1] = rig->used_cpu_milli[2] = 29000;
  gateway_rig_advance (rig, 40, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  gateway_rig_advance (rig, 60, 0);
  assert_int_equal (rig->runs->len, 1);
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_share_waits_total"), 1);
  gateway_rig_destroy (rig);
}

/* Guards against cores that are kept for a gateway that is cut off or has ended. */
static void
test_old_statements_do_not_count (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 300);
  gateway_rig_advance (rig, 5500, 0);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_destroy (rig);
}

/* Guards against a change for deployments that don't ask for it. */
static void
test_statements_are_ignored_without_the_setting (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (3);

  (void)state;
  fill_upstreams (rig);
  state_demand (rig, 300);
  gateway_rig_submit (rig, 2, "fast", 1);
  assert_int_equal (rig->runs->len, 2);
  gateway_rig_advance (rig, 2100, 0);
  assert_int_equal (rig->heartbeat_cpu_milli[PEER], 0);
  gateway_rig_destroy (rig);
}

/* Guards against peers that don't learn what the callers of this gateway ask for. */
static void
test_demand_is_stated_to_peers (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (1);

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.1:14");
  for (uint32_t caller = 1; caller <= 5; caller++)
    gateway_rig_submit (rig, caller, "fast", 1);
  gateway_rig_advance (rig, 300, 0);
  /* Five tasks of 4 cores and 0.1 s, over the first second. */
  assert_in_range (rig->heartbeat_cpu_milli[PEER], 1800, 2100);
  gateway_rig_destroy (rig);
}

/* Guards against gateways that refuse more than others without getting a larger share, and against
 * one that refuses nearly everything and thereby claims all cores. */
static void
test_refusals_raise_the_stated_demand (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_sharing_demand (1);
  /* 40 core-seconds within the first second, which a decaying sum measures to within 5%. */
  double plain_cpu_milli = 100 * 4000 * 0.1;

  (void)state;
  gateway_rig_open_peer (rig, PEER, "127.0.0.1:14");
  rig->used_cpu_milli[1] = 32000;
  gateway_rig_advance (rig, 40, 0);
  for (uint32_t caller = 1; caller <= 100; caller++)
    gateway_rig_submit (rig, caller, "fast", 1);
  gateway_rig_advance (rig, 300, 0);
  assert_true (gateway_rig_read_counter (rig, "azurerock_gateway_refused_total") >= 50);
  assert_true (rig->heartbeat_cpu_milli[PEER] > 2.5 * plain_cpu_milli);
  assert_true (rig->heartbeat_cpu_milli[PEER] <= 3 * 1.05 * plain_cpu_milli);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gateway_leaves_cores_beyond_its_share),
    cmocka_unit_test (test_nothing_is_left_when_the_cores_suffice),
    cmocka_unit_test (test_nothing_is_left_while_many_cores_are_free),
    cmocka_unit_test (test_scattered_cores_do_not_count_as_free),
    cmocka_unit_test (test_old_statements_do_not_count),
    cmocka_unit_test (test_statements_are_ignored_without_the_setting),
    cmocka_unit_test (test_demand_is_stated_to_peers),
    cmocka_unit_test (test_refusals_raise_the_stated_demand),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
