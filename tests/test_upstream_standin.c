#include "azurerock/http_client.h"
#include "net_testing.h"
#include "standin/upstream.h"
#include "testing.h"
#include <string.h>

struct fixture
{
  uv_loop_t loop;
  struct az_upstream_standin standin;
  struct az_http_client *client;
  int done;
  enum az_http_result result;
  int status;
  char body[256];
};

static void
on_done (void *context, const struct az_http_response *response)
{
  struct fixture *fixture = context;

  fixture->done++;
  fixture->result = response->result;
  fixture->status = response->status;
  g_snprintf (fixture->body, sizeof fixture->body, "%.*s", (int)response->body_length,
              response->body);
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct az_http_handlers handlers = { az_upstream_standin_handle_request,
                                       az_upstream_standin_handle_disconnect, &fixture->standin };

  uv_loop_init (&fixture->loop);
  az_upstream_standin_init (&fixture->standin, &fixture->loop, 2, 100);
  fixture->standin.server
      = az_http_server_create (&fixture->loop, "127.0.0.1:0", 10000, &handlers, NULL);
  fixture->client = az_http_client_create (
      &fixture->loop, az_http_server_local_address (fixture->standin.server), 8);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_http_client_destroy (fixture->client);
  net_run_for (&fixture->loop, 10);
  az_http_server_destroy (fixture->standin.server);
  for (uint32_t i = 0; i < fixture->standin.n_slots; i++)
    uv_close ((uv_handle_t *)&fixture->standin.slots[i].timer, NULL);
  net_close_loop (&fixture->loop);
  az_upstream_standin_clear (&fixture->standin);
  g_free (fixture);
  return 0;
}

static uint32_t
run_task (struct fixture *fixture, const char *task, const char *body)
{
  const struct az_http_header headers[] = { { "azurerock-job", "j" }, { "azurerock-task", task } };

  return az_http_client_request (fixture->client, "POST", "/v1/tasks", headers, 2, body,
                                 strlen (body), 3000, on_done, fixture);
}

static void
put_faults (struct fixture *fixture, const char *body, int status)
{
  int before = fixture->done;

  az_http_client_request (fixture->client, "PUT", "/standin/faults", NULL, 0, body, strlen (body),
                          3000, on_done, fixture);
  net_run_until (&fixture->loop, &fixture->done, before + 1);
  assert_int_equal (fixture->status, status);
}

/* Guards against running more tasks than there are slots, and against miscounting tasks that are
 * started twice. */
static void
test_slots_and_counts (void **state)
{
  struct fixture *fixture = *state;

  run_task (fixture, "0", "{\"sleep_ms\": 50, \"echo\": \"hello\"}");
  run_task (fixture, "1", "{\"sleep_ms\": 50, \"echo\": \"hello\"}");
  run_task (fixture, "2", "{}");
  net_run_until (&fixture->loop, &fixture->done, 1);
  assert_int_equal (fixture->status, 503);
  net_run_until (&fixture->loop, &fixture->done, 3);
  assert_int_equal (fixture->status, 200);
  assert_string_equal (fixture->body, "hello");
  run_task (fixture, "1", "{}");
  net_run_until (&fixture->loop, &fixture->done, 4);
  assert_int_equal (fixture->standin.starts, 3);
  assert_int_equal (fixture->standin.double_starts, 1);
  assert_int_equal (fixture->standin.refused, 1);
  az_http_client_request (fixture->client, "GET", "/standin/stats", NULL, 0, NULL, 0, 3000, on_done,
                          fixture);
  net_run_until (&fixture->loop, &fixture->done, 5);
  assert_non_null (strstr (fixture->body, "\"tasks\":{\"j/0\":1,\"j/1\":2}"));
}

/* Guards against a cancelled task that keeps its slot. */
static void
test_cancelled_task_frees_its_slot (void **state)
{
  struct fixture *fixture = *state;
  uint32_t request = run_task (fixture, "0", "{\"sleep_ms\": 60000}");

  while (fixture->standin.n_running == 0)
    uv_run (&fixture->loop, UV_RUN_NOWAIT);
  az_http_client_cancel (fixture->client, request);
  net_run_until (&fixture->loop, &fixture->done, 1);
  for (int i = 0; i < 1000 && fixture->standin.n_running > 0; i++)
    net_run_for (&fixture->loop, 1);
  assert_int_equal (fixture->standin.n_running, 0);
  assert_int_equal (fixture->standin.cancelled, 1);
}

/* Guards against injected faults without effect, with which failure tests would pass without
 * testing anything. */
static void
test_faults (void **state)
{
  struct fixture *fixture = *state;

  put_faults (fixture, "{\"fail_al\": true}", 400);
  put_faults (fixture, "{\"fail_all\": true}", 200);
  run_task (fixture, "0", "{\"sleep_ms\": 60000}");
  net_run_until (&fixture->loop, &fixture->done, 3);
  assert_int_equal (fixture->status, 500);
  put_faults (fixture, "{\"close_connections\": true}", 200);
  run_task (fixture, "1", "{}");
  net_run_until (&fixture->loop, &fixture->done, 5);
  assert_int_equal (fixture->result, AZ_HTTP_LOST);
  assert_int_equal (fixture->standin.starts, 2);
  put_faults (fixture, "{\"straggle_factor\": 0.0}", 200);
  run_task (fixture, "2", "{\"sleep_ms\": 60000}");
  net_run_until (&fixture->loop, &fixture->done, 7);
  assert_int_equal (fixture->status, 200);
  put_faults (fixture, "{\"hang\": true}", 200);
  run_task (fixture, "3", "{}");
  net_run_for (&fixture->loop, 50);
  assert_int_equal (fixture->done, 8);
  assert_int_equal (fixture->standin.n_running, 1);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_slots_and_counts),
    TEST (test_cancelled_task_frees_its_slot),
    TEST (test_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
