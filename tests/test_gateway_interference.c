#include "gateway/interference.h"
#include "gateway_rig.h"
#include "testing.h"
#include <math.h>
#include <string.h>

#define UPSTREAMS 10
#define TASKS_PER_UPSTREAM 8

#define PAIRS "azurerock_gateway_interfering_pairs"
#define APART "azurerock_gateway_placed_apart_total"
#define TOGETHER "azurerock_gateway_placed_together_total"
#define MALFORMED "azurerock_gateway_interference_malformed_total"

static void
send_rows_of_kinds (struct gateway_rig *rig,
                    uint32_t session,
                    uint64_t life,
                    const char *const kinds[3],
                    const struct az_interference_row *rows,
                    u_int n_rows)
{
  struct az_message message = { .proc = AZ_NODE_INTERFERENCE };

  message.az_message_u.node_interference = (struct az_node_interference){
    .life = life,
    .kinds = { kinds[2] ? 3 : 2, (az_name *)kinds },
    .rows = { n_rows, (struct az_interference_row *)rows },
  };
  az_gateway_received (rig->core, session, &message);
}

static void
send_rows (struct gateway_rig *rig,
           uint32_t session,
           uint64_t life,
           const struct az_interference_row *rows,
           u_int n_rows)
{
  static const char *const kinds[3] = { "fast", "big" };

  send_rows_of_kinds (rig, session, life, kinds, rows, n_rows);
}

/* Each of "fast", "big" and "third" interferes with the others. */
static void
send_evidence_of_three (struct gateway_rig *rig, uint32_t n_sessions)
{
  static const char *const kinds[3] = { "fast", "big", "third" };
  static const struct az_interference_row rows[]
      = { { 0, 1, 20000, 405 }, { 1, 2, 20000, 405 }, { 2, 0, 20000, 405 } };

  for (uint32_t session = 1; session <= n_sessions; session++)
    send_rows_of_kinds (rig, session, 1, kinds, rows, G_N_ELEMENTS (rows));
}

/* Number of isolated or other upstreams in the part. */
static unsigned
count_in_part (const struct gateway_rig *rig, unsigned part, bool is_isolated)
{
  const GPtrArray *upstreams = rig->core->upstreams;
  unsigned n = 0;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const struct upstream *upstream = upstreams->pdata[i];

      n += upstream->part == part && upstream->is_isolated == is_isolated;
    }
  return n;
}

/* "fast" takes @factor times as long beside "big". */
static void
send_evidence (struct gateway_rig *rig, uint32_t session, double factor, uint32_t weight_milli)
{
  const struct az_interference_row row = { .slowed = 0,
                                           .beside = 1,
                                           .weight_milli = weight_milli,
                                           .effect_milli = (int)lround (1000 * log (factor)) };

  send_rows (rig, session, 1, &row, 1);
}

static void
send_evidence_of_all (struct gateway_rig *rig, double factor)
{
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    send_evidence (rig, session, factor, 20000);
}

/* Sessions on which tasks of the route run, as bits. */
static uint32_t
run_tasks (struct gateway_rig *rig, const char *route, uint32_t n_tasks)
{
  guint first = rig->runs->len;
  uint32_t sessions = 0;

  gateway_rig_submit (rig, 1000 + first, route, n_tasks);
  for (guint i = first; i < rig->runs->len; i++)
    sessions |= 1u << gateway_rig_get_run (rig, i)->session;
  return sessions;
}

static void
end_runs (struct gateway_rig *rig, guint first)
{
  for (guint i = first; i < rig->runs->len; i++)
    gateway_rig_end_run (rig, i, AZ_TASK_DONE, 100);
}

static void
make_demand (struct gateway_rig *rig, unsigned fast, unsigned big)
{
  for (unsigned i = 0; i < 10; i++)
    {
      guint first = rig->runs->len;

      run_tasks (rig, "fast", fast);
      run_tasks (rig, "big", big);
      end_runs (rig, first);
      gateway_rig_advance (rig, 200, 0);
    }
}

static unsigned
count_bits (uint32_t bits)
{
  return (unsigned)__builtin_popcount (bits);
}

/* Guards against queues that run together although there is room to separate them, and against a
 * division that isn't in proportion to the demand. */
static void
test_interfering_queues_are_separated (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);
  uint32_t fast;
  uint32_t big;

  (void)state;
  make_demand (rig, 3, 7);
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  fast = run_tasks (rig, "fast", 3 * TASKS_PER_UPSTREAM);
  big = run_tasks (rig, "big", 7 * TASKS_PER_UPSTREAM);
  assert_int_equal (fast & big, 0);
  assert_int_equal (count_bits (fast), 3);
  assert_int_equal (count_bits (big), 7);
  assert_int_equal (gateway_rig_read_counter (rig, APART), 10 * TASKS_PER_UPSTREAM);
  assert_int_equal (gateway_rig_read_counter (rig, TOGETHER), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a queue that starves or waits because its part is full. */
static void
test_full_part_is_no_limit (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  make_demand (rig, 5, 5);
  send_evidence_of_all (rig, 2.5);
  gateway_rig_advance (rig, 1100, 0);
  run_tasks (rig, "fast", 9 * TASKS_PER_UPSTREAM);
  assert_int_equal (gateway_rig_read_counter (rig, APART), 5 * TASKS_PER_UPSTREAM);
  assert_int_equal (gateway_rig_read_counter (rig, TOGETHER), 4 * TASKS_PER_UPSTREAM);
  gateway_rig_destroy (rig);
}

/* Guards against a change of placement by a gateway without the setting. */
static void
test_nothing_is_separated_without_the_setting (void **state)
{
  struct gateway_rig *rig = gateway_rig_create (UPSTREAMS);
  struct gateway_rig *other = gateway_rig_create (UPSTREAMS);

  (void)state;
  make_demand (rig, 3, 7);
  make_demand (other, 3, 7);
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  gateway_rig_advance (other, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  assert_int_equal (run_tasks (rig, "fast", 13), run_tasks (other, "fast", 13));
  assert_int_equal (run_tasks (rig, "big", 13), run_tasks (other, "big", 13));
  assert_int_equal (gateway_rig_read_counter (rig, APART), 0);
  gateway_rig_destroy (rig);
  gateway_rig_destroy (other);
}

/* Guards against a decision by the evidence of one upstream that the others don't confirm, and
 * against one that needs all upstreams. */
static void
test_evidence_adds_up (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  send_evidence (rig, 1, 1.5, 8000);
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  send_evidence (rig, 2, 1.5, 8000);
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  gateway_rig_destroy (rig);
}

/* Guards against evidence that is counted twice because a message comes again. */
static void
test_message_replaces_the_former_one (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  for (unsigned i = 0; i < 10; i++)
    send_evidence (rig, 1, 1.5, 8000);
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against evidence of a lost session that counts for ever, or not at all. */
static void
test_lost_evidence_counts_for_a_while (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    az_gateway_session_closed (rig->core, session, "test");
  gateway_rig_advance (rig, 25000, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  gateway_rig_advance (rig, 8000, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against evidence of an earlier incarnation, whenever it arrives. */
static void
test_earlier_incarnation_does_not_count (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    {
      send_evidence (rig, session, 1.5, 20000);
      gateway_rig_begin_life (rig, session, 2);
      send_evidence (rig, session, 1.5, 20000);
    }
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  assert_int_equal (gateway_rig_read_counter (rig, MALFORMED), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a process that ends or decides by a message that makes no sense. */
static void
test_malformed_messages_are_counted (void **state)
{
  static const struct az_interference_row malformed[][2] = {
    { { 2, 0, 1000, 100 }, { 0, 1, 1000, 100 } }, { { 0, 2, 1000, 100 }, { 0, 1, 1000, 100 } },
    { { 1, 1, 1000, 100 }, { 0, 1, 1000, 100 } }, { { 0, 1, 1000, 100 }, { 0, 1, 1000, 100 } },
    { { UINT32_MAX, 0, 1, 1 }, { 1, 0, 1, 1 } },
  };
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    send_rows (rig, 1, 1, malformed[i], 2);
  assert_int_equal (gateway_rig_read_counter (rig, MALFORMED), G_N_ELEMENTS (malformed));
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against names that can't be told apart, or that no queue has. */
static void
test_malformed_names_are_counted (void **state)
{
  static const char *const malformed[][3]
      = { { "fast", "fast" }, { "fast", "" }, { "", "big" }, { "fast", "big", "fast" } };
  const struct az_interference_row row = { 0, 1, 100000, 405 };
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    send_rows_of_kinds (rig, 1, 1, malformed[i], &row, 1);
  assert_int_equal (gateway_rig_read_counter (rig, MALFORMED), G_N_ELEMENTS (malformed));
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a message that is dropped because one effect in it is large, and against a large
 * effect that decides alone: an effect is a slope, so an estimate can be beyond any ratio. */
static void
test_large_effects_are_bounded (void **state)
{
  const struct az_interference_row rows[]
      = { { 0, 1, 20000, INT32_MAX }, { 1, 0, 20000, INT32_MIN } };
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);
  g_autoptr (GPtrArray) pairs = NULL;
  const struct az_interfering_pair *pair;

  (void)state;
  send_rows (rig, 1, 1, rows, G_N_ELEMENTS (rows));
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, MALFORMED), 0);
  pairs = az_gateway_list_interfering (rig->core);
  assert_int_equal (pairs->len, 1);
  pair = pairs->pdata[0];
  assert_string_equal (pair->slowed, "fast");
  assert_true (fabs (pair->decision.factor - 4) < 0.01);
  gateway_rig_destroy (rig);
}

/* Guards against a part without upstreams: nearly all work is that of one of three queues. */
static void
test_each_part_has_an_upstream (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (3);

  (void)state;
  make_demand (rig, 1, 20);
  send_evidence_of_three (rig, 3);
  gateway_rig_advance (rig, 1100, 0);
  for (unsigned part = 1; part <= 3; part++)
    assert_int_equal (count_in_part (rig, part, false), 1);
  gateway_rig_destroy (rig);
}

/* Guards against a sidecar that sent evidence once and nothing since, as its upstream is idle. */
static void
test_evidence_decays (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (1);
  g_autoptr (GPtrArray) pairs = NULL;
  const struct az_interfering_pair *pair;

  (void)state;
  send_evidence (rig, 1, 1.5, 14000);
  gateway_rig_advance (rig, 60000, 0);
  pairs = az_gateway_list_interfering (rig->core);
  assert_int_equal (pairs->len, 1);
  pair = pairs->pdata[0];
  assert_true (fabs (pair->sum.weight - 7) < 0.1);
  gateway_rig_advance (rig, 180000, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against evidence of a former sidecar that counts until the new one describes its upstream.
 */
static void
test_new_sidecar_has_no_evidence (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (1);
  struct az_message message = { .proc = AZ_NODE_HELLO };

  (void)state;
  send_evidence (rig, 1, 1.5, 20000);
  message.az_message_u.node_hello = (struct az_node_hello){ .incarnation = rig->incarnation[1] + 1,
                                                            .instance = (char *)"s1",
                                                            .domain = (char *)"d1",
                                                            .address = (char *)"" };
  az_gateway_session_opened (rig->core, 2, NULL);
  az_gateway_received (rig->core, 2, &message);
  gateway_rig_advance (rig, 1100, 1u << 1);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

static void
announce_service (struct gateway_rig *rig, uint32_t session, const char *service)
{
  struct az_message message = { .proc = AZ_NODE_UPSTREAM };

  message.az_message_u.node_upstream = (struct az_node_upstream){
    .life = 1,
    .open = true,
    .service = (char *)service,
    .capacity = { .cpu_milli = rig->capacity_milli[session], .memory_mb = 65536 },
  };
  az_gateway_received (rig->core, session, &message);
}

/* Guards against evidence that counts for the service that an upstream had before. */
static void
test_new_service_has_no_evidence (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);

  (void)state;
  send_evidence_of_all (rig, 1.5);
  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    announce_service (rig, session, "other");
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a queue that has moved to another service and still has a part of the former one.
 */
static void
test_moved_queue_has_no_part (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);
  struct az_catalog *catalog = gateway_rig_create_catalog (2);
  const struct queue *fast;
  const struct queue *big;

  (void)state;
  make_demand (rig, 3, 7);
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  fast = g_hash_table_lookup (rig->core->queues, "fast");
  big = g_hash_table_lookup (rig->core->queues, "big");
  assert_int_equal (big->part, 1);
  assert_int_equal (fast->part, 2);
  g_free (catalog->routes[0].service);
  catalog->routes[0].service = g_strdup ("other");
  az_gateway_set_catalog (rig->core, catalog,
                          &(struct az_catalog_origin){ .revision = 2, .text = "{}", .length = 2 });
  run_tasks (rig, "fast", 1);
  assert_int_equal (fast->part, 0);
  gateway_rig_advance (rig, 5100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  assert_int_equal (fast->part, 0);
  assert_int_equal (big->part, 1);
  gateway_rig_destroy (rig);
}

/* Upstreams of the parts, by the names of their instances: bit i for "s<i>". */
static uint32_t
find_part_of_fast (struct gateway_rig *rig, const uint32_t *names)
{
  uint32_t sessions = run_tasks (rig, "fast", 4 * TASKS_PER_UPSTREAM);
  uint32_t part = 0;

  for (uint32_t session = 1; session <= UPSTREAMS; session++)
    if (sessions & (1u << session))
      part |= 1u << names[session];
  return part;
}

/* Opens the upstreams "s1" to "s10", that of session i with the name names[i]. */
static struct gateway_rig *
create_separated (uint32_t *names, uint32_t offset, uint32_t n_upstreams)
{
  struct gateway_rig *rig = gateway_rig_create_separating (0);

  for (uint32_t session = 1; session <= n_upstreams; session++)
    {
      g_autofree char *instance = NULL;

      names[session] = (session + offset) % UPSTREAMS + 1;
      instance = g_strdup_printf ("s%u", names[session]);
      gateway_rig_open_upstream (rig, session, instance, "d1", true);
    }
  make_demand (rig, 4, 6);
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  return rig;
}

/* Guards against gateways that separate the same queues in different ways, so that each undoes the
 * work of the other. */
static void
test_gateways_agree (void **state)
{
  uint32_t names[2][UPSTREAMS + 1];
  struct gateway_rig *first = create_separated (names[0], 0, UPSTREAMS);
  struct gateway_rig *second = create_separated (names[1], 7, UPSTREAMS);
  uint32_t part = find_part_of_fast (first, names[0]);

  (void)state;
  assert_int_equal (count_bits (part), 4);
  assert_int_equal (find_part_of_fast (second, names[1]), part);
  gateway_rig_destroy (first);
  gateway_rig_destroy (second);
}

/* Guards against a division that is made anew when an upstream leaves. */
static void
test_few_upstreams_change_when_one_leaves (void **state)
{
  (void)state;
  for (uint32_t leaving = 1; leaving <= UPSTREAMS; leaving++)
    {
      uint32_t names[UPSTREAMS + 1];
      struct gateway_rig *rig = create_separated (names, 0, UPSTREAMS);
      guint first = rig->runs->len;
      uint32_t before = find_part_of_fast (rig, names);
      uint32_t after;

      end_runs (rig, first);
      az_gateway_session_closed (rig->core, leaving, "test");
      gateway_rig_advance (rig, 5100, 1u << leaving);
      after = find_part_of_fast (rig, names);
      assert_true (count_bits ((before ^ after) & ~(1u << names[leaving])) <= 1);
      gateway_rig_destroy (rig);
    }
}

/* Guards against a division that outlives the interference. */
static void
test_separation_ends (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);
  guint first;

  (void)state;
  make_demand (rig, 5, 5);
  send_evidence_of_all (rig, 1.5);
  gateway_rig_advance (rig, 1100, 0);
  send_evidence_of_all (rig, 1.0);
  gateway_rig_advance (rig, 5000, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 1);
  gateway_rig_advance (rig, 12000, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 0);
  first = rig->runs->len;
  run_tasks (rig, "fast", 4);
  end_runs (rig, first);
  assert_int_equal (gateway_rig_read_counter (rig, APART), 0);
  gateway_rig_destroy (rig);
}

/* Guards against a separation that mixes isolated queues with others, or that gives regular queues
 * a part of the isolated upstreams. */
static void
test_isolated_part_stays (void **state)
{
  struct gateway_rig *rig = gateway_rig_create_separating (UPSTREAMS);
  unsigned n_isolated;
  uint32_t before;

  (void)state;
  make_demand (rig, 2, 8);
  for (uint32_t session = 1; session <= 6; session++)
    {
      struct az_message message = { .proc = AZ_NODE_CRASH };

      message.az_message_u.node_crash
          = (struct az_node_crash){ .queue = (char *)"fast", .job_id = (char *)"" };
      az_gateway_received (rig->core, session, &message);
      gateway_rig_advance (rig, 300, 0);
    }
  assert_int_equal (gateway_rig_read_counter (rig, "azurerock_gateway_suspected_queues_total"), 1);
  before = run_tasks (rig, "big", 5 * TASKS_PER_UPSTREAM);
  end_runs (rig, rig->runs->len - 5 * TASKS_PER_UPSTREAM);
  send_evidence_of_three (rig, UPSTREAMS);
  gateway_rig_advance (rig, 1100, 0);
  assert_int_equal (gateway_rig_read_counter (rig, PAIRS), 3);
  n_isolated = count_in_part (rig, 0, true);
  assert_in_range (n_isolated, 1, UPSTREAMS / 2);
  assert_int_equal (count_in_part (rig, 0, false), 0);
  assert_int_equal (count_in_part (rig, 1, false) + count_in_part (rig, 2, false),
                    UPSTREAMS - n_isolated);
  assert_int_equal (run_tasks (rig, "fast", 8) & before, 0);
  assert_int_equal (gateway_rig_read_counter (rig, TOGETHER), 0);
  gateway_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_interfering_queues_are_separated),
    cmocka_unit_test (test_full_part_is_no_limit),
    cmocka_unit_test (test_nothing_is_separated_without_the_setting),
    cmocka_unit_test (test_evidence_adds_up),
    cmocka_unit_test (test_message_replaces_the_former_one),
    cmocka_unit_test (test_lost_evidence_counts_for_a_while),
    cmocka_unit_test (test_earlier_incarnation_does_not_count),
    cmocka_unit_test (test_malformed_messages_are_counted),
    cmocka_unit_test (test_malformed_names_are_counted),
    cmocka_unit_test (test_large_effects_are_bounded),
    cmocka_unit_test (test_each_part_has_an_upstream),
    cmocka_unit_test (test_evidence_decays),
    cmocka_unit_test (test_new_sidecar_has_no_evidence),
    cmocka_unit_test (test_new_service_has_no_evidence),
    cmocka_unit_test (test_moved_queue_has_no_part),
    cmocka_unit_test (test_gateways_agree),
    cmocka_unit_test (test_few_upstreams_change_when_one_leaves),
    cmocka_unit_test (test_separation_ends),
    cmocka_unit_test (test_isolated_part_stays),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
