#include "platform/operator.h"
#include "sidecar/relay.h"
#include "testing.h"
#include <glib.h>
#include <string.h>

#define CONFIGURATION                                                                              \
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/r/\","              \
  "\"service\":\"s\"}],\"services\":[]}"

/** struct rig - a relay with a virtual clock; the test answers in place of the store */
struct rig
{
  int64_t now_ms;
  struct az_clock clock;
  struct az_relay *relay;
  struct az_metadata_read read; /* the last one */
  unsigned n_reads;
  unsigned n_catalogs[4]; /* per session, like the following */
  unsigned n_evidence[4];
  unsigned n_withdrawn[4];
  struct az_node_evidence evidence; /* of the last such message, like the following */
  char domain[16];
};

static void
read_clock (void *context, struct timespec *now)
{
  const struct rig *rig = context;

  *now = az_time_from_ns (rig->now_ms * 1000000);
}

static void
on_read (void *context, const struct az_metadata_read *read)
{
  struct rig *rig = context;

  rig->read = *read;
  rig->n_reads++;
}

static void
on_send (void *context, uint32_t session, const struct az_message *message)
{
  struct rig *rig = context;
  const struct az_node_withdrawn *withdrawn = &message->az_message_u.node_withdrawn;

  rig->n_catalogs[session] += message->proc == AZ_NODE_CATALOG;
  rig->n_evidence[session] += message->proc == AZ_NODE_EVIDENCE;
  rig->n_withdrawn[session] += message->proc == AZ_NODE_WITHDRAWN;
  if (message->proc == AZ_NODE_EVIDENCE)
    rig->evidence = message->az_message_u.node_evidence;
  if (message->proc == AZ_NODE_WITHDRAWN && withdrawn->domains.domains_len > 0)
    g_strlcpy (rig->domain, withdrawn->domains.domains_val[0], sizeof rig->domain);
}

static struct rig *
create_rig (void)
{
  struct rig *rig = g_new0 (struct rig, 1);
  const struct az_relay_io io = { on_read, on_send, rig };

  rig->now_ms = 1000;
  rig->clock = (struct az_clock){ read_clock, read_clock, rig };
  rig->relay = az_relay_create (&rig->clock, &io);
  return rig;
}

static void
destroy_rig (struct rig *rig)
{
  az_relay_destroy (rig->relay);
  g_free (rig);
}

static void
answer_read (struct rig *rig, const char *configuration)
{
  struct az_metadata_item item = { .key = (char *)PLATFORM_CONFIGURATION_KEY,
                                   .value = (char *)configuration,
                                   .length = strlen (configuration),
                                   .revision = 5 };
  struct az_metadata_item withdrawn = {
    .key = (char *)PLATFORM_WITHDRAWN_PREFIX "d1", .value = (char *)"{}", .length = 2, .revision = 6
  };

  rig->read.item (rig->read.context, &item);
  rig->read.item (rig->read.context, &withdrawn);
  rig->read.done (rig->read.context, AZ_METADATA_OK, 9);
}

/* Guards against a read of the store for each gateway, and against a configuration that is sent to
 * gateways that have it. */
static void
test_one_read_answers_all_gateways (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 6);
  az_relay_request (rig->relay, 2, 7);
  assert_int_equal (rig->n_reads, 1);
  answer_read (rig, CONFIGURATION);
  assert_int_equal (rig->n_catalogs[1], 1);
  assert_int_equal (rig->n_catalogs[2], 0);
  assert_int_equal (rig->n_evidence[1] + rig->n_evidence[2], 2);
  assert_int_equal (rig->n_withdrawn[1] + rig->n_withdrawn[2], 2);
  assert_int_equal (rig->evidence.catalog_version, 7);
  assert_string_equal (rig->domain, "d1");
  destroy_rig (rig);
}

/* Guards against an answer that counts as new although the store took long to give it. */
static void
test_age_counts_from_the_start_of_the_read (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 0);
  rig->now_ms += 600;
  answer_read (rig, CONFIGURATION);
  assert_int_equal (rig->evidence.age_ms, 600);
  destroy_rig (rig);
}

static void
test_each_later_request_reads_again (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 0);
  answer_read (rig, CONFIGURATION);
  rig->now_ms += 50;
  az_relay_request (rig->relay, 2, 0);
  assert_int_equal (rig->n_reads, 1);
  assert_int_equal (rig->evidence.age_ms, 50);
  rig->now_ms += 100;
  az_relay_request (rig->relay, 1, 0);
  assert_int_equal (rig->n_reads, 2);
  rig->read.done (rig->read.context, AZ_METADATA_FAILED, 0);
  destroy_rig (rig);
}

/* Guards against an answer, from an earlier read, to a gateway that asks while the store is away.
 */
static void
test_failed_read_answers_nobody (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 0);
  answer_read (rig, CONFIGURATION);
  rig->now_ms += 1000;
  az_relay_request (rig->relay, 2, 0);
  rig->read.done (rig->read.context, AZ_METADATA_FAILED, 0);
  assert_int_equal (rig->n_evidence[2] + rig->n_withdrawn[2], 0);
  destroy_rig (rig);
}

/* Guards against evidence for a configuration that can't be read. */
static void
test_unreadable_configuration_is_no_evidence (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 0);
  answer_read (rig, "{");
  assert_int_equal (rig->n_catalogs[1] + rig->n_evidence[1], 0);
  assert_int_equal (rig->n_withdrawn[1], 1);
  destroy_rig (rig);
}

static void
test_closed_session_gets_no_answer (void **state)
{
  struct rig *rig = create_rig ();

  (void)state;
  az_relay_request (rig->relay, 1, 0);
  az_relay_session_closed (rig->relay, 1);
  answer_read (rig, CONFIGURATION);
  assert_int_equal (rig->n_withdrawn[1], 0);
  destroy_rig (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_read_answers_all_gateways),
    cmocka_unit_test (test_age_counts_from_the_start_of_the_read),
    cmocka_unit_test (test_each_later_request_reads_again),
    cmocka_unit_test (test_failed_read_answers_nobody),
    cmocka_unit_test (test_unreadable_configuration_is_no_evidence),
    cmocka_unit_test (test_closed_session_gets_no_answer),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
