#include "azurerock/limits.h"
#include "azurerock/store_client.h"
#include "standin/store.h"
#include "testing.h"
#include <string.h>

/* A client and the stand-in store run in one event loop. */
struct fixture
{
  uv_loop_t loop;
  struct az_standin_store store;
  struct az_store_client *client;
  bool done;
  enum az_store_result result;
  uint64_t index;
  size_t n_values;
  char *key;
  char *value;
  uint64_t modify_index;
  char *session;
};

static int
set_up (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  const struct az_http_handlers handlers
      = { az_standin_store_handle_request, az_standin_store_handle_disconnect, &fixture->store };

  uv_loop_init (&fixture->loop);
  az_standin_store_init (&fixture->store, &fixture->loop);
  fixture->store.server
      = az_http_server_create (&fixture->loop, "127.0.0.1:0", AZ_REQUEST_BODY_MAX, &handlers, NULL);
  fixture->client = az_store_client_create (&fixture->loop,
                                            az_http_server_local_address (fixture->store.server));
  *state = fixture;
  return 0;
}

static void
clear_answer (struct fixture *fixture)
{
  g_clear_pointer (&fixture->key, g_free);
  g_clear_pointer (&fixture->value, g_free);
  g_clear_pointer (&fixture->session, g_free);
  fixture->done = false;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;

  az_store_client_destroy (fixture->client);
  if (fixture->store.server)
    {
      az_standin_store_fail_waiting (&fixture->store);
      az_http_server_destroy (fixture->store.server);
    }
  az_standin_store_clear (&fixture->store);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&fixture->loop), 0);
  clear_answer (fixture);
  g_free (fixture);
  return 0;
}

static void
on_answer (void *context, const struct az_store_answer *answer)
{
  struct fixture *fixture = context;

  fixture->done = true;
  fixture->result = answer->result;
  fixture->index = answer->index;
  fixture->n_values = answer->n_values;
  fixture->session = g_strdup (answer->session);
  if (answer->n_values == 0)
    return;
  fixture->key = g_strdup (answer->values[0].key);
  fixture->value = g_strdup (answer->values[0].value);
  fixture->modify_index = answer->values[0].modify_index;
}

static enum az_store_result
wait_for_answer (struct fixture *fixture)
{
  assert_false (fixture->done);
  while (!fixture->done)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  return fixture->result;
}

static enum az_store_result
write_key (struct fixture *fixture, const char *key, const char *value, uint64_t index)
{
  const struct az_store_write write = { key, value, value ? strlen (value) : 0, index };

  clear_answer (fixture);
  az_store_client_write (fixture->client, &write, 1, on_answer, fixture);
  return wait_for_answer (fixture);
}

static enum az_store_result
read_key (struct fixture *fixture, const char *key, bool recurse)
{
  clear_answer (fixture);
  az_store_client_get (fixture->client, key, recurse, on_answer, fixture);
  return wait_for_answer (fixture);
}

/* Guards against reads that return another value or index than was written. */
static void
test_write_and_read (void **state)
{
  struct fixture *fixture = *state;

  assert_int_equal (write_key (fixture, "azurerock/a b", "one", 0), AZ_STORE_OK);
  assert_true (fixture->index > 0);
  assert_int_equal (read_key (fixture, "azurerock/a b", false), AZ_STORE_OK);
  assert_int_equal (fixture->n_values, 1);
  assert_string_equal (fixture->key, "azurerock/a b");
  assert_string_equal (fixture->value, "one");
  assert_int_equal (write_key (fixture, "azurerock/a b", "two", fixture->modify_index),
                    AZ_STORE_OK);
  assert_int_equal (read_key (fixture, "azurerock/", true), AZ_STORE_OK);
  assert_string_equal (fixture->value, "two");
  assert_int_equal (read_key (fixture, "azurerock/none", false), AZ_STORE_OK);
  assert_int_equal (fixture->n_values, 0);
}

/* Guards against a failed compare-and-swap reported as success, and against a transaction of which
 * only some writes take effect. */
static void
test_conflict (void **state)
{
  struct fixture *fixture = *state;
  const struct az_store_write writes[] = { { "b", "new", 3, 0 }, { "a", NULL, 0, 999 } };

  assert_int_equal (write_key (fixture, "a", "one", 0), AZ_STORE_OK);
  assert_int_equal (write_key (fixture, "a", "two", 0), AZ_STORE_CONFLICT);
  assert_int_equal (write_key (fixture, "a", NULL, 0), AZ_STORE_CONFLICT);
  assert_int_equal (write_key (fixture, "none", NULL, 0), AZ_STORE_OK);
  clear_answer (fixture);
  az_store_client_write (fixture->client, writes, 2, on_answer, fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_CONFLICT);
  read_key (fixture, "b", false);
  assert_int_equal (fixture->n_values, 0);
}

/* Guards against a lost answer reported as a failure, after which the caller would write again. */
static void
test_lost_answer_is_unknown (void **state)
{
  struct fixture *fixture = *state;

  fixture->store.faults.lose_write_answers = 1;
  assert_int_equal (write_key (fixture, "a", "one", 0), AZ_STORE_UNKNOWN);
  assert_int_equal (read_key (fixture, "a", false), AZ_STORE_OK);
  assert_string_equal (fixture->value, "one");
  fixture->store.faults.outage = AZ_STANDIN_OUTAGE_ERROR;
  assert_int_equal (write_key (fixture, "a", "two", 1), AZ_STORE_UNKNOWN);
  assert_int_equal (read_key (fixture, "a", false), AZ_STORE_FAILED);
}

static void
read_frozen_time (void *context, struct timespec *now)
{
  (void)context;
  *now = (struct timespec){ 1000, 0 };
}

/* Guards against a refused write reported as unknown, after which the caller would read it back. */
static void
test_refusals_are_failures (void **state)
{
  struct fixture *fixture = *state;
  /* With this clock the rate limit of writes never gets new tokens. */
  const struct az_clock frozen = { read_frozen_time, read_frozen_time, NULL };

  fixture->store.clock = &frozen;
  fixture->store.faults.writes.per_s = 1;
  write_key (fixture, "a", "one", 0);
  assert_int_equal (write_key (fixture, "b", "one", 0), AZ_STORE_FAILED);
  az_http_server_destroy (fixture->store.server);
  fixture->store.server = NULL;
  az_store_client_destroy (fixture->client);
  fixture->client = az_store_client_create (&fixture->loop, "127.0.0.1:1");
  assert_int_equal (write_key (fixture, "c", "one", 0), AZ_STORE_FAILED);
  assert_int_equal (read_key (fixture, "c", false), AZ_STORE_FAILED);
}

/* Guards against a slow store that blocks its callers for longer than the freshness limit. */
static void
test_slow_store_times_out (void **state)
{
  struct fixture *fixture = *state;
  uint64_t started = uv_hrtime ();

  fixture->store.faults.delay_ms = 10000;
  assert_int_equal (read_key (fixture, "a", false), AZ_STORE_FAILED);
  assert_true (uv_hrtime () - started < (uint64_t)AZ_FRESHNESS_LIMIT_MS * 1000000);
}

static enum az_store_result
watch (struct fixture *fixture, uint64_t index, int64_t wait_ms)
{
  clear_answer (fixture);
  az_store_client_watch (fixture->client, "azurerock/", index, wait_ms, on_answer, fixture);
  return wait_for_answer (fixture);
}

/* Guards against watches that return values, that return at once without a change, and that miss a
 * change between two watches. */
static void
test_watch (void **state)
{
  struct fixture *fixture = *state;
  uint64_t first;

  assert_int_equal (watch (fixture, 0, 100), AZ_STORE_OK);
  first = fixture->index;
  assert_true (first > 0);
  assert_int_equal (watch (fixture, first, 100), AZ_STORE_OK);
  assert_int_equal (fixture->index, first);
  write_key (fixture, "azurerock/k", "v", 0);
  assert_int_equal (watch (fixture, first, 5000), AZ_STORE_OK);
  assert_true (fixture->index > first);
  assert_string_equal (fixture->key, "azurerock/k");
  assert_null (fixture->value);
}

/* Guards against renewing or using an expired session. */
static void
test_session (void **state)
{
  struct fixture *fixture = *state;
  g_autofree char *session = NULL;

  az_store_client_create_session (fixture->client, 5000, on_answer, fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_OK);
  session = g_strdup (fixture->session);
  clear_answer (fixture);
  az_store_client_acquire (fixture->client, "azurerock/entries/1", "e", session, on_answer,
                           fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_OK);
  clear_answer (fixture);
  az_store_client_renew_session (fixture->client, session, on_answer, fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_OK);
  clear_answer (fixture);
  az_store_client_destroy_session (fixture->client, session, on_answer, fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_OK);
  read_key (fixture, "azurerock/entries/1", false);
  assert_int_equal (fixture->n_values, 0);
  clear_answer (fixture);
  az_store_client_renew_session (fixture->client, session, on_answer, fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_CONFLICT);
  clear_answer (fixture);
  az_store_client_acquire (fixture->client, "azurerock/entries/1", "e", session, on_answer,
                           fixture);
  assert_int_equal (wait_for_answer (fixture), AZ_STORE_CONFLICT);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_write_and_read, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_conflict, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_lost_answer_is_unknown, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_refusals_are_failures, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_slow_store_times_out, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_watch, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_session, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
