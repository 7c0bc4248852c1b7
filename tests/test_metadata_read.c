#include "azurerock/http_server.h"
#include "dispatch/metadata_read.h"
#include "net_testing.h"
#include "testing.h"
#include <string.h>

#define REVISION_AT_FIRST_PAGE 40

/* The pages of the store, in order; NULL stands for a failure of the store. The keys are "a", "b"
 * and so on, one per page. */
struct fixture
{
  uv_loop_t loop;
  struct az_http_server *server;
  struct az_metadata_client *client;
  const char *const *pages;
  unsigned n_requests;
  char keys[8]; /* those that were reported */
  int done;
  enum az_metadata_result result;
  uint64_t revision;
};

/* Returns the number of the page that follows the key of a query "prefix=…&after=KEY". */
static size_t
find_page (const char *query)
{
  const char *after = strstr (query, "&after=");

  return after ? (size_t)(after[strlen ("&after=")] - 'a') + 1 : 0;
}

static void
on_request (void *context, const struct az_http_request *request)
{
  struct fixture *fixture = context;
  const char *page = fixture->pages[find_page (request->query)];
  const char *body = page ? page : "{}";

  fixture->n_requests++;
  az_http_server_respond (fixture->server, request->handle, page ? 200 : 503, "application/json",
                          body, strlen (body));
}

static void
ignore_disconnected (void *context, uint32_t handle)
{
  (void)context;
  (void)handle;
}

static void
on_item (void *context, const struct az_metadata_item *item)
{
  struct fixture *fixture = context;

  assert_int_equal (fixture->done, 0);
  g_strlcat (fixture->keys, item->key, sizeof fixture->keys);
}

static void
on_done (void *context, enum az_metadata_result result, uint64_t revision)
{
  struct fixture *fixture = context;

  fixture->done++;
  fixture->result = result;
  fixture->revision = revision;
}

static int
setup (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct az_http_handlers handlers = { on_request, ignore_disconnected, fixture };

  uv_loop_init (&fixture->loop);
  fixture->server = az_http_server_create (&fixture->loop, "127.0.0.1:0", 1000, &handlers, NULL);
  assert_non_null (fixture->server);
  fixture->client
      = az_metadata_client_create (&fixture->loop, az_http_server_local_address (fixture->server));
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  struct fixture *fixture = *state;

  az_metadata_client_destroy (fixture->client);
  az_http_server_destroy (fixture->server);
  net_close_loop (&fixture->loop);
  g_free (fixture);
  return 0;
}

static void
read_all (struct fixture *fixture, const char *const *pages)
{
  fixture->pages = pages;
  az_metadata_read_all (fixture->client, "x/",
                        &(struct az_metadata_read){ on_item, on_done, fixture });
  assert_int_equal (fixture->done, 0);
  net_run_until (&fixture->loop, &fixture->done, 1);
  assert_int_equal (fixture->done, 1);
}

/* Guards against changes between two pages that a watch from the last page's revision misses. */
static void
test_revision_is_that_of_the_first_page (void **state)
{
  static const char *const pages[] = {
    "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":3}],\"has-more\":true,\"at\":40}",
    "{\"items\":[{\"key\":\"b\",\"value\":\"\",\"revision\":4}],\"has-more\":true,\"at\":41}",
    "{\"items\":[{\"key\":\"c\",\"value\":\"\",\"revision\":42}],\"at\":42}",
  };
  struct fixture *fixture = *state;

  read_all (fixture, pages);
  assert_int_equal (fixture->result, AZ_METADATA_OK);
  assert_string_equal (fixture->keys, "abc");
  assert_int_equal (fixture->revision, REVISION_AT_FIRST_PAGE);
  assert_int_equal (fixture->n_requests, G_N_ELEMENTS (pages));
}

/* Guards against an incomplete list that counts as all there is. */
static void
test_failure_of_a_later_page_fails_the_read (void **state)
{
  static const char *const pages[] = {
    "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":3}],\"has-more\":true,\"at\":40}",
    NULL,
  };
  struct fixture *fixture = *state;

  read_all (fixture, pages);
  assert_int_not_equal (fixture->result, AZ_METADATA_OK);
  assert_string_equal (fixture->keys, "a");
}

static void
test_prefix_without_keys_is_read_in_one_page (void **state)
{
  static const char *const pages[] = { "{\"items\":[],\"at\":40}" };
  struct fixture *fixture = *state;

  read_all (fixture, pages);
  assert_int_equal (fixture->result, AZ_METADATA_OK);
  assert_string_equal (fixture->keys, "");
  assert_int_equal (fixture->revision, REVISION_AT_FIRST_PAGE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_revision_is_that_of_the_first_page, setup, teardown),
    cmocka_unit_test_setup_teardown (test_failure_of_a_later_page_fails_the_read, setup, teardown),
    cmocka_unit_test_setup_teardown (test_prefix_without_keys_is_read_in_one_page, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
