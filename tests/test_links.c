#include "azurerock/clock.h"
#include "azurerock/message.h"
#include "sidecar/links.h"
#include "testing.h"
#include <glib.h>

#define TICK_MS 25
#define CONNECT_TIMEOUT_MS 120

static int64_t now_ms;

static void
monotonic (void *context, struct timespec *now)
{
  (void)context;
  *now = az_time_from_ns (now_ms * 1000000);
}

static const struct az_clock test_clock = { .monotonic = monotonic };

static struct az_links *
create_links (void)
{
  now_ms = 5000;
  return az_links_create ("sidecar-1", &test_clock);
}

/* Guards against a sidecar that waits for its seeds after a power failure although other gateways
 * are reachable: the store has their addresses. */
static void
test_store_is_read_at_the_start (void **state)
{
  struct az_links *links = create_links ();

  (void)state;
  az_links_add (links, "10.0.0.1:1");
  assert_true (az_links_is_gateways_read_due (links));
  assert_false (az_links_is_gateways_read_due (links));
  now_ms += 2000;
  assert_true (az_links_is_gateways_read_due (links));
  az_links_destroy (links);
}

/* Guards against attempts to connect to an entry of the store that no gateway has written. */
static void
test_invalid_addresses_are_ignored (void **state)
{
  static const char *const addresses[] = { "", "x", "10.0.0.1:99999", "10.0.0.1:0", "name:1" };
  struct az_links *links = create_links ();

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    assert_false (az_links_add (links, addresses[i]));
  assert_true (az_links_add (links, "10.0.0.1:1"));
  az_links_destroy (links);
}

/* Guards against reads of the store by all sidecars whenever a gateway restarts. */
static void
test_short_session_loss_does_not_read_the_store (void **state)
{
  struct az_links *links = create_links ();

  (void)state;
  az_links_add (links, "10.0.0.1:1");
  az_links_opened (links, az_links_next_to_connect (links), 1);
  now_ms += 10000;
  assert_false (az_links_is_gateways_read_due (links));
  az_links_closed (links, 1);
  now_ms += 900;
  assert_false (az_links_is_gateways_read_due (links));
  now_ms += 200;
  assert_true (az_links_is_gateways_read_due (links));
  az_links_destroy (links);
}

/* Returns how long after @reachable_ms a session is opened with a gateway that is reachable from
 * @reachable_ms on. Before, its machine has no power and connection attempts hang until their
 * timeout. */
static int64_t
measure_connect_ms (int64_t reachable_ms)
{
  struct az_links *links = create_links ();
  int64_t attempt_ms = 0;
  int64_t begin_ms = now_ms;
  int64_t connect_ms = -1;
  bool is_connecting = false;

  az_links_add (links, "10.0.0.1:1");
  while (connect_ms < 0)
    {
      if (is_connecting && now_ms - attempt_ms >= CONNECT_TIMEOUT_MS)
        {
          az_links_connect_failed (links, "10.0.0.1:1");
          is_connecting = false;
        }
      if (!is_connecting && az_links_next_to_connect (links))
        {
          is_connecting = true;
          attempt_ms = now_ms;
        }
      if (is_connecting && attempt_ms >= begin_ms + reachable_ms)
        connect_ms = now_ms - begin_ms - reachable_ms;
      now_ms += TICK_MS;
    }
  az_links_destroy (links);
  return connect_ms;
}

/* Guards against a late session with a gateway that has become reachable, because a connection
 * attempt hangs or the back-off after it is long. */
static void
test_returning_gateway_is_connected_soon (void **state)
{
  (void)state;
  for (int64_t reachable_ms = 10; reachable_ms < 600; reachable_ms += 10)
    assert_in_range (measure_connect_ms (reachable_ms), 0, 400);
  assert_in_range (measure_connect_ms (100), 0, 200);
}

/* Guards against a number of sessions that grows with the number of gateways. */
static void
test_sessions_are_limited (void **state)
{
  struct az_links *links = create_links ();
  unsigned n_tried = 0;

  (void)state;
  for (unsigned i = 0; i < 40; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.0.0.%u:1", i);

      assert_true (az_links_add (links, address));
      assert_false (az_links_add (links, address));
    }
  while (az_links_next_to_connect (links))
    n_tried++;
  assert_int_equal (n_tried, 12);
  az_links_destroy (links);
}

static bool
is_idle (const void *context, uint32_t session)
{
  const uint32_t *busy = context;

  return session != *busy;
}

/* Guards against tasks that are stopped because their session is closed in favour of a gateway that
 * is reachable again. */
static void
test_surplus_session_with_tasks_is_kept (void **state)
{
  struct az_links *links = create_links ();
  uint32_t busy = 0;
  uint32_t surplus;

  (void)state;
  for (unsigned i = 0; i < 13; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.0.0.%u:1", i);

      az_links_add (links, address);
      az_links_opened (links, address, i + 1);
    }
  surplus = az_links_surplus_session (links, is_idle, &busy);
  assert_int_not_equal (surplus, 0);
  assert_int_equal (az_links_surplus_session (links, is_idle, &surplus), 0);
  az_links_closed (links, surplus);
  assert_int_equal (az_links_surplus_session (links, is_idle, &busy), 0);
  az_links_destroy (links);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_store_is_read_at_the_start),
    cmocka_unit_test (test_invalid_addresses_are_ignored),
    cmocka_unit_test (test_short_session_loss_does_not_read_the_store),
    cmocka_unit_test (test_returning_gateway_is_connected_soon),
    cmocka_unit_test (test_sessions_are_limited),
    cmocka_unit_test (test_surplus_session_with_tasks_is_kept),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
