#include "net/http_pool.h"
#include "testing.h"

#define GIB (UINT64_C (1) << 30)

static const struct az_http_limit_options defaults;

/* Guards against defaults that leave no descriptors for sessions, files and readiness, or too few
 * connections where descriptors are few. */
static void
test_defaults_follow_from_the_machine (void **state)
{
  struct az_http_limit_options options = { .memory_mb = 120, .descriptors_max = 3075 };
  struct az_http_limits limits = az_http_limits_compute (&options, GIB, 1048576);

  (void)state;
  assert_int_equal (limits.request_buffer_bytes, 30 << 20);
  assert_int_equal (limits.peer_buffer_bytes, 30 << 20);
  assert_int_equal (limits.connections_max, 925);
  assert_int_equal (limits.status_connections_max, 32);
  assert_int_equal (limits.head_timeout_ms, 10000);
  assert_int_equal (limits.body_timeout_ms, 20000);
  assert_int_equal (limits.response_buffer_bytes, 30 << 20);
  options.memory_mb = 0.5;
  options.descriptors_max = 128;
  limits = az_http_limits_compute (&options, GIB, 1048576);
  assert_int_equal (limits.request_buffer_bytes, 1 << 20);
  assert_int_equal (limits.connections_max, 32);
  assert_int_equal (limits.status_connections_max, 4);
  limits = az_http_limits_compute (&defaults, GIB, 128);
  assert_int_equal (limits.request_buffer_bytes, 256 << 20);
  assert_int_equal (limits.connections_max, 32);
}

/* Guards against a limit of descriptors that the system doesn't grant, and ignored settings. */
static void
test_settings (void **state)
{
  const struct az_http_limit_options options = { .descriptors_max = 100000,
                                                 .request_buffer_mb = 3,
                                                 .peer_buffer_mb = 5,
                                                 .head_timeout_ms = 200,
                                                 .body_timeout_ms = 300 };
  const struct az_http_limit_options connections = { .connections_max = 9 };
  struct az_http_limits limits = az_http_limits_compute (&options, GIB, 1024);

  (void)state;
  assert_int_equal (limits.request_buffer_bytes, 3 << 20);
  assert_int_equal (limits.peer_buffer_bytes, 5 << 20);
  assert_int_equal (limits.connections_max, 256);
  assert_int_equal (limits.head_timeout_ms, 200);
  assert_int_equal (limits.body_timeout_ms, 300);
  assert_int_equal (az_http_limits_compute (&connections, GIB, 1024).connections_max, 9);
}

struct fixture
{
  struct az_http_ledger ledger;
  struct az_http_pool *pool;
  struct az_http_pool *other;
  struct az_http_holder holders[4];
};

/* Four connections, accepted at 0, 10, 20 and 30 ms; the last one belongs to another listener. */
static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);

  fixture->pool = az_http_pool_create (&fixture->ledger);
  fixture->other = az_http_pool_create (&fixture->ledger);
  for (int i = 0; i < 4; i++)
    az_http_pool_add (i < 3 ? fixture->pool : fixture->other, &fixture->holders[i], i * 10);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  for (int i = 0; i < 4; i++)
    if (fixture->holders[i].pool)
      az_http_pool_remove (&fixture->holders[i]);
  assert_int_equal (fixture->ledger.bytes, 0);
  assert_int_equal (fixture->ledger.cut_bytes, 0);
  az_http_pool_destroy (fixture->pool);
  az_http_pool_destroy (fixture->other);
  assert_null (fixture->ledger.pools);
  g_free (fixture);
  return 0;
}

/* Guards against a new connection that displaces a request in progress or a caller that has been
 * served, while there are connections without any request. */
static void
test_choice_for_room (void **state)
{
  struct fixture *fixture = *state;
  struct az_http_holder *holders = fixture->holders;

  assert_ptr_equal (az_http_pool_choose_for_room (fixture->pool), &holders[0]);
  az_http_pool_update (&holders[0], AZ_HTTP_IDLE, 0, 40);
  assert_ptr_equal (az_http_pool_choose_for_room (fixture->pool), &holders[1]);
  az_http_pool_update (&holders[1], AZ_HTTP_RUNNING, 100, 50);
  az_http_pool_update (&holders[2], AZ_HTTP_HEAD, 100, 35);
  assert_ptr_equal (az_http_pool_choose_for_room (fixture->pool), &holders[2]);
  az_http_pool_update (&holders[2], AZ_HTTP_BODY, 100, 60);
  assert_ptr_equal (az_http_pool_choose_for_room (fixture->pool), &holders[0]);
  az_http_pool_update (&holders[1], AZ_HTTP_CUT, 100, 65);
  assert_null (az_http_pool_choose_for_room (fixture->pool));
  az_http_pool_remove (&holders[1]);
  az_http_pool_update (&holders[0], AZ_HTTP_RUNNING, 100, 70);
  az_http_pool_update (&holders[2], AZ_HTTP_RUNNING, 100, 70);
  assert_null (az_http_pool_choose_for_room (fixture->pool));
}

/* Guards against closing a connection while there is room, one with a request in progress, or
 * another than the one that holds most for longest. */
static void
test_choice_for_memory (void **state)
{
  struct fixture *fixture = *state;
  struct az_http_holder *holders = fixture->holders;

  az_http_pool_update (&holders[0], AZ_HTTP_RUNNING, 1000, 100);
  az_http_pool_update (&holders[1], AZ_HTTP_HEAD, 50, 100);
  az_http_pool_update (&holders[2], AZ_HTTP_BODY, 300, 200);
  az_http_pool_update (&holders[3], AZ_HTTP_ANSWER, 150, 150);
  assert_int_equal (fixture->ledger.bytes, 1500);
  assert_null (az_http_ledger_choose (&fixture->ledger, 1500, 210));
  assert_ptr_equal (az_http_ledger_choose (&fixture->ledger, 1499, 210), &holders[3]);
  assert_ptr_equal (az_http_ledger_choose (&fixture->ledger, 1499, 2000), &holders[2]);
  az_http_pool_update (&holders[1], AZ_HTTP_BODY, 280, 300);
  assert_ptr_equal (az_http_ledger_choose (&fixture->ledger, 1499, 310), &holders[1]);
  az_http_pool_update (&holders[1], AZ_HTTP_CUT, 280, 310);
  assert_null (az_http_ledger_choose (&fixture->ledger, 1450, 310));
  az_http_pool_update (&holders[2], AZ_HTTP_RUNNING, 300, 310);
  az_http_pool_update (&holders[3], AZ_HTTP_IDLE, 0, 310);
  assert_null (az_http_ledger_choose (&fixture->ledger, 10, 310));
}

static void
expect_expired (struct fixture *fixture, int64_t now_ms, int holder, enum az_http_cause expected)
{
  const struct az_http_limits limits = { .head_timeout_ms = 100, .body_timeout_ms = 200 };
  enum az_http_cause cause = AZ_HTTP_N_CAUSES;

  assert_ptr_equal (az_http_pool_choose_expired (fixture->pool, &limits, now_ms, &cause),
                    holder < 0 ? NULL : &fixture->holders[holder]);
  assert_int_equal (cause, expected);
}

/* Guards against time limits that a byte at times extends, or that apply to requests in progress
 * and idle connections. */
static void
test_expiry (void **state)
{
  struct fixture *fixture = *state;
  struct az_http_holder *holders = fixture->holders;

  expect_expired (fixture, 5000, -1, AZ_HTTP_N_CAUSES);
  az_http_pool_update (&holders[0], AZ_HTTP_RUNNING, 10, 0);
  az_http_pool_update (&holders[1], AZ_HTTP_HEAD, 10, 1000);
  az_http_pool_update (&holders[1], AZ_HTTP_HEAD, 11, 1099);
  expect_expired (fixture, 1099, -1, AZ_HTTP_N_CAUSES);
  expect_expired (fixture, 1100, 1, AZ_HTTP_CAUSE_HEAD_TIMEOUT);
  az_http_pool_update (&holders[1], AZ_HTTP_BODY, 12, 1050);
  expect_expired (fixture, 1249, -1, AZ_HTTP_N_CAUSES);
  expect_expired (fixture, 1250, 1, AZ_HTTP_CAUSE_BODY_TIMEOUT);
  az_http_pool_update (&holders[1], AZ_HTTP_CUT, 12, 1250);
  az_http_pool_update (&holders[2], AZ_HTTP_ANSWER, 12, 1100);
  expect_expired (fixture, 1300, 2, AZ_HTTP_CAUSE_ANSWER_TIMEOUT);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_defaults_follow_from_the_machine),
    cmocka_unit_test (test_settings),
    TEST (test_choice_for_room),
    TEST (test_choice_for_memory),
    TEST (test_expiry),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
