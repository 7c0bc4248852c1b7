#include "net/rpc_budget.h"
#include "testing.h"

#define KIB 1024
#define MIB 1048576

struct fixture
{
  struct az_rpc_budget budget;
  struct az_rpc_holder known[3];
  struct az_rpc_holder unknown[2];
};

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  fixture->budget.bytes_max = 4 * MIB;
  fixture->budget.judged_ms = 1000;
  for (guint i = 0; i < G_N_ELEMENTS (fixture->known); i++)
    {
      fixture->known[i].is_known = true;
      az_rpc_budget_add (&fixture->budget, &fixture->known[i]);
    }
  for (guint i = 0; i < G_N_ELEMENTS (fixture->unknown); i++)
    az_rpc_budget_add (&fixture->budget, &fixture->unknown[i]);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  g_free (*state);
  return 0;
}

static void
hold (struct fixture *fixture, struct az_rpc_holder *holder, size_t in, size_t out)
{
  az_rpc_budget_update (&fixture->budget, holder, in, out);
}

/* Guards against connections closed while there is room, and against bytes counted twice. */
static void
test_nothing_is_closed_within_the_budget (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->unknown[0], 2 * MIB, MIB);
  hold (fixture, &fixture->known[0], 0, MIB);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  assert_true (az_rpc_budget_may_read (&fixture->budget, &fixture->unknown[0]));
  hold (fixture, &fixture->unknown[0], MIB, MIB);
  az_rpc_budget_remove (&fixture->budget, &fixture->unknown[0]);
  assert_int_equal (fixture->budget.in, 0);
  assert_int_equal (fixture->budget.out, MIB);
}

/* Guards against known peers closed for bytes of unknown ones, and against closing a small
 * connection for a large one. */
static void
test_unknown_peers_are_closed_first (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 3 * MIB, 0);
  hold (fixture, &fixture->unknown[0], 600 * KIB, 0);
  hold (fixture, &fixture->unknown[1], 0, 700 * KIB);
  assert_ptr_equal (az_rpc_budget_choose (&fixture->budget), &fixture->unknown[1]);
  hold (fixture, &fixture->unknown[1], 0, 0);
  assert_null (az_rpc_budget_choose (&fixture->budget));
}

/* Guards against new peers shut out because the hello and the list of gateways that were just
 * queued for them make them the ones to be closed, while known peers hold too much. */
static void
test_new_peers_get_in_while_the_budget_is_exceeded (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 5 * MIB, 0);
  hold (fixture, &fixture->unknown[0], 400, 40 * KIB);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  assert_true (az_rpc_budget_may_read (&fixture->budget, &fixture->unknown[0]));
}

/* Guards against a session closed although its peer sends or reads as fast as its link allows. */
static void
test_known_peers_that_make_progress_stay (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 3 * MIB, 0);
  hold (fixture, &fixture->known[1], 0, 3 * MIB);
  az_rpc_budget_judge (&fixture->budget, 2000);
  fixture->known[0].in.moved = 100 * KIB;
  fixture->known[1].out.moved = 100 * KIB;
  az_rpc_budget_judge (&fixture->budget, 3000);
  assert_null (az_rpc_budget_choose (&fixture->budget));
}

/* Guards against memory held by known peers that neither finish a record nor read, and against
 * closing the others for it. */
static void
test_stalled_peers_are_closed (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 3 * MIB, 0);
  hold (fixture, &fixture->known[1], 0, 2 * MIB);
  hold (fixture, &fixture->known[2], 60 * KIB, 0);
  az_rpc_budget_judge (&fixture->budget, 2000);
  fixture->known[0].in.moved = 100 * KIB;
  assert_null (az_rpc_budget_choose (&fixture->budget));
  az_rpc_budget_judge (&fixture->budget, 3000);
  assert_ptr_equal (az_rpc_budget_choose (&fixture->budget), &fixture->known[1]);
  fixture->known[1].out.moved = 100 * KIB;
  assert_null (az_rpc_budget_choose (&fixture->budget));
}

/* Guards against sessions closed because this process was paused, or didn't read from them. */
static void
test_pauses_dont_count_as_stalls (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 3 * MIB, 3 * MIB);
  az_rpc_budget_judge (&fixture->budget, 2000);
  az_rpc_budget_judge (&fixture->budget, 9000);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  hold (fixture, &fixture->known[0], 5 * MIB, 0);
  fixture->known[0].is_waiting = true;
  az_rpc_budget_judge (&fixture->budget, 10000);
  az_rpc_budget_judge (&fixture->budget, 11000);
  fixture->known[0].is_waiting = false;
  assert_null (az_rpc_budget_choose (&fixture->budget));
  az_rpc_budget_judge (&fixture->budget, 12000);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  az_rpc_budget_judge (&fixture->budget, 13000);
  assert_ptr_equal (az_rpc_budget_choose (&fixture->budget), &fixture->known[0]);
}

/* Guards against unbounded memory if peers read, but less than is sent to them. */
static void
test_unsent_messages_are_bounded (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], MIB, 2 * MIB);
  hold (fixture, &fixture->known[1], 0, 2 * MIB);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  hold (fixture, &fixture->known[1], 0, 3 * MIB);
  assert_ptr_equal (az_rpc_budget_choose (&fixture->budget), &fixture->known[1]);
  fixture->known[1].is_cut = true;
  assert_ptr_equal (az_rpc_budget_choose (&fixture->budget), &fixture->known[0]);
}

/* Guards against memory exhausted by many incomplete records at once, and against all of them
 * waiting for each other. */
static void
test_records_are_read_in_turn (void **state)
{
  struct fixture *fixture = *state;

  hold (fixture, &fixture->known[0], 3 * MIB, 0);
  hold (fixture, &fixture->known[1], 2 * MIB, 0);
  hold (fixture, &fixture->known[2], 100 * KIB, 0);
  assert_null (az_rpc_budget_choose (&fixture->budget));
  assert_true (az_rpc_budget_is_in_turn (&fixture->budget, &fixture->known[0]));
  assert_true (az_rpc_budget_may_read (&fixture->budget, &fixture->known[0]));
  assert_false (az_rpc_budget_may_read (&fixture->budget, &fixture->known[1]));
  assert_true (az_rpc_budget_may_read (&fixture->budget, &fixture->known[2]));
  hold (fixture, &fixture->known[0], 0, 0);
  assert_true (az_rpc_budget_may_read (&fixture->budget, &fixture->known[1]));
  assert_false (az_rpc_budget_is_in_turn (&fixture->budget, &fixture->known[1]));
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_nothing_is_closed_within_the_budget),
    TEST (test_unknown_peers_are_closed_first),
    TEST (test_new_peers_get_in_while_the_budget_is_exceeded),
    TEST (test_known_peers_that_make_progress_stay),
    TEST (test_stalled_peers_are_closed),
    TEST (test_pauses_dont_count_as_stalls),
    TEST (test_unsent_messages_are_bounded),
    TEST (test_records_are_read_in_turn),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
