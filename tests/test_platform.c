#include "platform/executor.h"
#include "platform/job.h"
#include "platform/operator.h"
#include "platform/registry.h"
#include "platform/store.h"
#include "sidecar/announcement_record.h"
#include "testing.h"
#include <jansson.h>
#include <string.h>

static struct az_http_response
answered (int status, const char *body)
{
  return (struct az_http_response){
    .result = AZ_HTTP_ANSWERED, .status = status, .body = body, .body_length = strlen (body)
  };
}

static void
test_job_is_decoded (void **state)
{
  static const char body[]
      = "{\"specification\":\"text\",\"best-effort\":true,\"phases\":[{\"count\":2,\"cpu\":500,"
        "\"mem-mb\":64,\"estimate-ms\":60,\"affinity\":\"r1\"},{\"count\":1,\"cpu\":100,"
        "\"after\":[0],\"requirements\":\"a\",\"anti-affinity\":1}]}";
  struct az_job_request job;

  (void)state;
  assert_true (platform_decode_job (body, strlen (body), &job));
  assert_null (job.unsupported_property);
  assert_int_equal (job.n_steps, 2);
  assert_int_equal (job.steps[0].need.cpu_milli, 500);
  assert_string_equal (job.steps[0].preferred_label, "r1");
  assert_int_equal (job.steps[1].n_after, 1);
  assert_string_equal (job.steps[1].required_label, "a");
  assert_int_equal (job.steps[1].spread_max, 1);
  az_job_request_clear (&job);
}

/* Guards against running a job without honouring a property that isn't supported. */
static void
test_unsupported_properties_are_named (void **state)
{
  static const struct
  {
    const char *body;
    const char *reason;
  } rows[] = {
    { "{\"phases\":[{\"count\":1,\"cpu\":1}]}", "stored" },
    { "{\"best-effort\":true,\"phases\":[{\"count\":1,\"cpu\":1,\"gang\":true}]}", "gang" },
    { "{\"best-effort\":true,\"repetitions\":3,\"phases\":[{\"count\":1}]}", "repetitions" },
    { "{\"best-effort\":true,\"phases\":[{\"count\":1,\"long-running\":true}]}", "long-running" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct az_job_request job;

      assert_true (platform_decode_job (rows[i].body, strlen (rows[i].body), &job));
      assert_string_equal (job.unsupported_property, rows[i].reason);
      az_job_request_clear (&job);
    }
}

static void
test_malformed_jobs_are_rejected (void **state)
{
  static const char *const bodies[] = {
    "",
    "[]",
    "{\"phases\":[]}",
    "{\"phases\":[{\"count\":0}]}",
    "{\"phases\":[{\"count\":1,\"cpu\":-1}]}",
    "{\"phases\":[{\"count\":1,\"cpu\":\"1\"}]}",
    "{\"phases\":[{\"count\":1,\"after\":[0]}]}",
    "{\"phases\":[{\"count\":99999}]}",
    "{\"specification\":7,\"phases\":[{\"count\":1}]}",
  };
  struct az_job_request job;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    assert_false (platform_decode_job (bodies[i], strlen (bodies[i]), &job));
  assert_true (platform_is_job_id ("5c0e7a21d94b36f8"));
  assert_false (platform_is_job_id ("5c0e7a21d94b36f"));
  assert_false (platform_is_job_id ("5c0e7a21d94b36fx"));
}

static void
test_heartbeat_is_decoded (void **state)
{
  static const char body[]
      = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"draining\","
        "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768},\"labels\":[\"a\",\"r1\"],\"sequence\":4,"
        "\"born\":1700000000000,\"clock-ms\":12,\"new-field\":{}}";
  struct az_upstream_announcement announcement;
  const char *invalid;

  (void)state;
  assert_true (platform_decode_heartbeat ("i-1", body, strlen (body), &announcement, &invalid));
  assert_string_equal (announcement.instance, "i-1");
  assert_true (announcement.is_draining);
  assert_int_equal (announcement.capacity.cpu_milli, 16000);
  assert_int_equal (announcement.labels->len, 2);
  assert_int_equal (announcement.started_ms, 1700000000000);
  az_upstream_announcement_clear (&announcement);
}

/* Returns the field that makes the heartbeat invalid, or NULL. @field replaces one of a sound
 * heartbeat, or is added to it. */
static const char *
find_invalid_field (const char *instance, const char *name, json_t *value)
{
  json_t *body = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:{s:i,s:i,s:i},s:[s],s:i,s:i,s:I}",
                            "service", "s", "address", "10.0.0.1:80", "zone", "z", "state", "ready",
                            "version", "v1", "slots", 8, "cold-remaining-ms", 0, "capacity", "cpu",
                            16000, "mem-mb", 32768, "gpu", 0, "labels", "a", "clock-ms", 12,
                            "sequence", 4, "born", (json_int_t)1700000000000);
  struct az_upstream_announcement announcement;
  const char *invalid;
  char *text;

  if (value)
    json_object_set_new (body, name, value);
  else if (name)
    json_object_del (body, name);
  text = json_dumps (body, 0);
  if (platform_decode_heartbeat (instance, text, strlen (text), &announcement, &invalid))
    az_upstream_announcement_clear (&announcement);
  free (text);
  json_decref (body);
  return invalid;
}

/* Guards against registering an upstream from a heartbeat that another program has written and that
 * has missing or invalid fields. */
static void
test_malformed_heartbeats_are_rejected (void **state)
{
  static const char *const required[]
      = { "service", "address", "zone", "state", "capacity", "sequence" };
  static const char *const addresses[]
      = { "a",           "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1",
          "10.0.0.1:8o", "name:80",  "10.0.0.256:80",  ":80",        "" };
  static const char *const fields[]
      = { "service", "address", "zone",     "state",    "version",           "slots",
          "born",    "labels",  "capacity", "clock-ms", "cold-remaining-ms", "sequence" };
  g_autofree char *long_name = g_strnfill (AZ_MAX_NAME, 'n');

  (void)state;
  assert_null (find_invalid_field ("i", NULL, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (required); i++)
    assert_string_equal (find_invalid_field ("i", required[i], NULL), required[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    assert_string_equal (find_invalid_field ("i", "address", json_string (addresses[i])),
                         "address");
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      assert_string_equal (find_invalid_field ("i", fields[i], json_true ()), fields[i]);
      assert_string_equal (find_invalid_field ("i", fields[i], json_pack ("{s:[]}", "x")),
                           fields[i]);
    }
  assert_string_equal (find_invalid_field ("i", "state", json_string ("resting")), "state");
  assert_string_equal (find_invalid_field ("i", "service", json_string ("")), "service");
  assert_string_equal (find_invalid_field ("i", "service", json_string (long_name)), "service");
  assert_string_equal (find_invalid_field ("i", "sequence", json_integer (-1)), "sequence");
  assert_string_equal (find_invalid_field ("i", "sequence", json_real (1e300)), "sequence");
  assert_string_equal (find_invalid_field ("i", "born", json_integer (-1)), "born");
  assert_string_equal (find_invalid_field ("i", "clock-ms", json_real (0.5)), "clock-ms");
  assert_string_equal (find_invalid_field ("i", "labels", json_pack ("[i]", 5)), "labels");
  assert_string_equal (find_invalid_field ("i", "labels", json_pack ("[s]", long_name)), "labels");
  assert_string_equal (find_invalid_field ("i", "capacity", json_object ()), "capacity");
  assert_string_equal (find_invalid_field ("i", "capacity", json_pack ("{s:i}", "cpu", -1)),
                       "capacity");
  assert_string_equal (
      find_invalid_field ("i", "capacity", json_pack ("{s:I}", "cpu", (json_int_t)1 << 40)),
      "capacity");
  assert_null (find_invalid_field ("i", "new-field", json_object ()));
  /* The instance comes from the request path, which may hold any bytes. */
  assert_string_equal (find_invalid_field ("i\xff\xfe", NULL, NULL), "instance");
  assert_string_equal (find_invalid_field (long_name, NULL, NULL), "instance");
}

/* Guards against a heartbeat that ends the process: bytes that can't be read, very deep nesting, a
 * number that no type can hold. */
static void
test_unreadable_heartbeats_are_rejected (void **state)
{
  g_autofree char *deep = g_strnfill (60000, '[');
  const char *const bodies[] = { "\xff\xfe",
                                 "",
                                 "[]",
                                 "{",
                                 deep,
                                 "{\"sequence\":99999999999999999999999}",
                                 "{\"capacity\":{\"cpu\":1e999}}" };
  struct az_upstream_announcement announcement;
  const char *invalid;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      assert_false (
          platform_decode_heartbeat ("i", bodies[i], strlen (bodies[i]), &announcement, &invalid));
      assert_string_equal (invalid, "body");
    }
}

static void
test_registry_calls_are_identified (void **state)
{
  const char *instance;

  (void)state;
  assert_int_equal (
      platform_registry_call ("POST", "/azurerock/Executors.Heartbeat/i-7", &instance),
      PLATFORM_REGISTRY_HEARTBEAT);
  assert_string_equal (instance, "i-7");
  assert_int_equal (
      platform_registry_call ("POST", "/azurerock/Executors.Deregister/i-7", &instance),
      PLATFORM_REGISTRY_DEREGISTER);
  assert_int_equal (platform_registry_call ("GET", "/azurerock/Executors.Heartbeat/i-7", &instance),
                    PLATFORM_REGISTRY_UNKNOWN);
  assert_int_equal (platform_registry_call ("POST", "/azurerock/Executors.Heartbeat/", &instance),
                    PLATFORM_REGISTRY_UNKNOWN);
}

/* Guards against a wrong reading of the response to a start or stop: a refused request had no
 * effect, while one without a response, or with one that isn't a refusal, may have been carried
 * out.
 */
static void
test_order_results (void **state)
{
  static const struct
  {
    int status;
    const char *body;
    enum az_upstream_result result;
  } rows[] = {
    { 200, "{\"clock-ms\":5}", AZ_UPSTREAM_OK },
    { 409, "{\"clock-ms\":5,\"reason\":\"fence\"}", AZ_UPSTREAM_FENCED },
    { 409, "{\"clock-ms\":5,\"reason\":\"old\"}", AZ_UPSTREAM_STALE_ATTEMPT },
    { 409, "{\"clock-ms\":5,\"reason\":\"late\"}", AZ_UPSTREAM_LEASE_EXPIRED },
    { 409, "{\"clock-ms\":5,\"reason\":\"room\"}", AZ_UPSTREAM_NO_ROOM },
    { 409, "{\"clock-ms\":5}", AZ_UPSTREAM_INVALID },
    { 421, "", AZ_UPSTREAM_OTHER_INSTANCE },
    { 429, "", AZ_UPSTREAM_UNHEALTHY },
    { 503, "", AZ_UPSTREAM_UNHEALTHY },
    { 400, "", AZ_UPSTREAM_INVALID },
    { 304, "", AZ_UPSTREAM_UNANSWERED },
    { 404, "", AZ_UPSTREAM_UNANSWERED },
    { 500, "", AZ_UPSTREAM_UNANSWERED },
    { 502, "{\"clock-ms\":5}", AZ_UPSTREAM_UNANSWERED },
    { 504, "", AZ_UPSTREAM_UNANSWERED },
  };
  struct az_http_response lost = { .result = AZ_HTTP_LOST, .body = "" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct az_http_response response = answered (rows[i].status, rows[i].body);
      struct az_upstream_answer answer = platform_decode_start_or_stop (&response);

      assert_int_equal (answer.result, rows[i].result);
      assert_int_equal (answer.clock_ms, strstr (rows[i].body, "clock") ? 5 : -1);
    }
  assert_int_equal (platform_decode_start_or_stop (&lost).result, AZ_UPSTREAM_UNANSWERED);
  lost.result = AZ_HTTP_NOT_SENT;
  assert_int_equal (platform_decode_start_or_stop (&lost).result, AZ_UPSTREAM_NOT_SENT);
}

/* Guards against taking an upstream for crashed because this process found no free connection or
 * couldn't open one. */
static void
test_hold_is_refused_only_without_listener (void **state)
{
  struct az_http_response response = { .result = AZ_HTTP_NOT_SENT, .body = "" };
  struct az_upstream_lists lists;

  (void)state;
  platform_decode_task_lists (&response, &lists);
  assert_int_equal (lists.answer.result, AZ_UPSTREAM_UNANSWERED);
  response.is_refused = true;
  platform_decode_task_lists (&response, &lists);
  assert_int_equal (lists.answer.result, AZ_UPSTREAM_NOT_SENT);
}

/* Guards against one malformed row making all other rows of a response unusable. */
static void
test_malformed_rows_are_skipped (void **state)
{
  struct az_http_response response = answered (
      200, "{\"clock-ms\":9,\"born\":77,\"active\":[[\"t.0.0.1\",2,\"\",41,0.5],7,[\"x\"]],"
           "\"finished\":[[58,\"t.0.0.9\",1,\"done\",\"\"],[59,\"t.0.0.8\",1,\"alone\",\"\"],{}]}");
  struct az_upstream_lists lists;

  (void)state;
  platform_decode_task_lists (&response, &lists);
  assert_int_equal (lists.answer.result, AZ_UPSTREAM_OK);
  assert_int_equal (lists.answer.started_ms, 77);
  assert_int_equal (lists.n_active, 1);
  assert_int_equal (lists.active[0].percent, 41);
  assert_int_equal (lists.n_ended, 2);
  assert_int_equal (lists.ended[0].how, AZ_TASK_DONE);
  assert_int_equal (lists.ended[1].how, AZ_TASK_LOST);
  assert_int_equal (lists.n_unreadable, 3);
  az_upstream_lists_clear (&lists);
}

/* Guards against a row whose numbers no type can hold: a negative number of an end, taken as
 * unsigned, would acknowledge all later ends. */
static void
test_rows_with_numbers_out_of_range_are_skipped (void **state)
{
  struct az_http_response response
      = answered (200, "{\"clock-ms\":9,\"active\":[[\"t.0.0.1\",-1,\"\",41],"
                       "[\"t.0.0.2\",4294967296,\"\",41],[\"t.0.0.3\",4294967295,\"\",41]],"
                       "\"finished\":[[-1,\"t.0.0.9\",1,\"done\",\"\"],"
                       "[59,\"t.0.0.8\",-2,\"done\",\"\"],[60,\"t.0.0.7\",1,\"done\",\"\"]]}");
  struct az_upstream_lists lists;

  (void)state;
  platform_decode_task_lists (&response, &lists);
  assert_int_equal (lists.n_active, 1);
  assert_string_equal (lists.active[0].task, "t.0.0.3");
  assert_int_equal (lists.n_ended, 1);
  assert_int_equal (lists.ended[0].number, 60);
  assert_int_equal (lists.n_unreadable, 4);
  az_upstream_lists_clear (&lists);
}

/* Guards against taking a response without a clock or without one of the lists as proof of which
 * tasks run. */
static void
test_incomplete_lists_are_invalid (void **state)
{
  static const char *const bodies[]
      = { "", "{}", "{\"clock-ms\":9,\"active\":[]}", "{\"active\":[],\"finished\":[]}" };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      struct az_http_response response = answered (200, bodies[i]);
      struct az_upstream_lists lists;

      platform_decode_task_lists (&response, &lists);
      assert_int_equal (lists.answer.result, AZ_UPSTREAM_INVALID);
      az_upstream_lists_clear (&lists);
    }
}

static void
test_orders_are_encoded (void **state)
{
  const struct az_upstream_start start = { .instance = "i",
                                           .task = "a.0.0.1",
                                           .attempt = 2,
                                           .specification = "te\"xt",
                                           .lease_end_clock_ms = 99,
                                           .fence = 7 };
  const struct az_upstream_hold hold = { .fence = 7, .last_processed_end = 3, .wait_ms = 100 };
  g_autofree char *start_text = platform_encode_start (&start);
  g_autofree char *hold_text = platform_encode_hold (&hold);

  (void)state;
  assert_string_equal (start_text, "{\"task\":\"a.0.0.1\",\"attempt\":2,\"specification\":"
                                   "\"te\\\"xt\",\"deadline-ms\":99,\"fencing-token\":7}");
  assert_string_equal (hold_text, "{\"fencing-token\":7,\"last-seen\":3,\"wait-ms\":100}");
}

static void
test_configuration_is_decoded (void **state)
{
  static const char text[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"prefix\":\"/a/\","
        "\"service\":\"s\",\"max-attempts\":4,\"slack-factor\":1.6,\"target-completion-ms\":60,"
        "\"timeout-ms\":1500,\"priority\":2},{\"name\":5},{\"name\":\"r2\",\"hostname\":"
        "\"h.example\",\"prefix\":\"/a/b/\",\"service\":\"s\"}],\"services\":[]}";
  size_t n_unreadable;
  struct az_catalog *catalog = platform_decode_catalog (text, strlen (text), &n_unreadable);

  (void)state;
  assert_non_null (catalog);
  assert_int_equal (catalog->version, 7);
  assert_int_equal (catalog->n_routes, 2);
  assert_int_equal (n_unreadable, 1);
  assert_string_equal (az_catalog_find_route (catalog, "h.example", "/a/x")->name, "r");
  assert_string_equal (az_catalog_find_route (catalog, "H.example:80", "/a/b/x")->name, "r2");
  assert_null (az_catalog_find_route (catalog, "other", "/a/x"));
  assert_null (az_catalog_find_route (catalog, "h.example", "/b/x"));
  az_catalog_destroy (catalog);
  assert_null (platform_decode_catalog ("{}", 2, &n_unreadable));
  assert_null (platform_decode_catalog ("{\"version\":\"7\",\"routes\":[]}", 28, &n_unreadable));
}

static void
test_store_answers (void **state)
{
  struct az_http_response response = answered (
      200, "{\"events\":[{\"key\":\"a\",\"value\":\"aGk=\",\"revision\":4},{\"key\":\"b\","
           "\"revision\":5,\"deleted\":true},{\"value\":\"aGk=\"},{\"key\":\"e\",\"value\":\"\","
           "\"revision\":6}],\"at\":6}");
  struct az_http_response gone = answered (410, "");
  struct az_http_response single
      = answered (200, "{\"key\":\"k\",\"value\":\"aGk=\",\"revision\":9,\"at\":12}");
  struct az_metadata_answer answer;

  (void)state;
  platform_decode_store (&response, &answer);
  assert_int_equal (answer.result, AZ_METADATA_OK);
  assert_int_equal (answer.revision, 6);
  assert_int_equal (answer.n_items, 3);
  assert_int_equal (answer.n_unreadable, 1);
  assert_string_equal (answer.items[0].value, "hi");
  assert_null (answer.items[1].value);
  assert_int_equal (answer.items[2].length, 0);
  az_metadata_answer_clear (&answer);
  platform_decode_store (&gone, &answer);
  assert_int_equal (answer.result, AZ_METADATA_HISTORY_COMPACTED);
  az_metadata_answer_clear (&answer);
  platform_decode_store (&single, &answer);
  assert_int_equal (answer.n_items, 1);
  assert_string_equal (answer.items[0].key, "k");
  az_metadata_answer_clear (&answer);
}

static void
test_store_calls (void **state)
{
  g_autofree char *range = platform_store_range_path ("op/", "op/a b");
  g_autofree char *watch = platform_store_watch_path ("op/", 411, 1200);
  g_autofree char *write = platform_encode_write ("k", "hi", 5);

  (void)state;
  assert_string_equal (range, "/azurerock/kv-range?prefix=op/&after=op/a%20b");
  assert_string_equal (watch, "/azurerock/kv-watch?prefix=op/&after=411&wait-ms=1200");
  assert_string_equal (write, "{\"expect\":[],\"write\":[{\"key\":\"k\",\"value\":\"aGk=\","
                              "\"lease-id\":5}],\"remove\":[]}");
}

static void
test_announcement_record_round_trip (void **state)
{
  static const char body[]
      = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\","
        "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":2},\"labels\":[\"a\"],"
        "\"sequence\":4,\"born\":1700000000000}";
  struct az_upstream_announcement announcement;
  struct az_upstream_announcement copy;
  const char *invalid;
  g_autofree char *record = NULL;

  (void)state;
  assert_true (platform_decode_heartbeat ("i-1", body, strlen (body), &announcement, &invalid));
  record = az_announcement_record_encode (&announcement);
  assert_true (az_announcement_record_decode (record, &copy));
  assert_string_equal (copy.instance, "i-1");
  assert_int_equal (copy.started_ms, announcement.started_ms);
  assert_int_equal (copy.capacity.accelerators, 2);
  assert_int_equal (copy.sequence, 0);
  assert_string_equal (copy.labels->pdata[0], "a");
  az_upstream_announcement_clear (&copy);
  assert_false (az_announcement_record_decode ("{\"instance\":1}", &copy));
  /* A label that is not a string would be a null pointer, and comparing labels would crash. */
  assert_false (az_announcement_record_decode (
      "{\"instance\":\"i\",\"service\":\"s\",\"address\":\"a\",\"domain\":\"d\",\"born_ms\":1,"
      "\"draining\":false,\"cpu_milli\":1,\"memory_mb\":1,\"accelerators\":0,\"labels\":[7]}",
      &copy));
  az_upstream_announcement_clear (&announcement);
}

/* Guards against a record that another program has written in place of the sidecar's own. */
static void
test_odd_records_are_rejected (void **state)
{
  static const char format[]
      = "{\"instance\":\"i\",\"service\":\"s\",\"address\":\"%s\",\"domain\":\"d\",\"born_ms\":%s,"
        "\"draining\":false,\"cpu_milli\":1,\"memory_mb\":1,\"accelerators\":0,\"labels\":[]}";
  static const char *const odd[][2] = { { "10.0.0.1:99999", "1" },
                                        { "10.0.0.1", "1" },
                                        { "10.0.0.1:80", "99999999999999999999" },
                                        { "10.0.0.1:80", "\"1\"" } };
  g_autofree char *sound = g_strdup_printf (format, "10.0.0.1:80", "1");
  g_autofree char *deep = g_strnfill (60000, '[');
  struct az_upstream_announcement announcement;

  (void)state;
  assert_true (az_announcement_record_decode (sound, &announcement));
  az_upstream_announcement_clear (&announcement);
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autofree char *text = g_strdup_printf (format, odd[i][0], odd[i][1]);

      assert_false (az_announcement_record_decode (text, &announcement));
    }
  assert_false (az_announcement_record_decode (deep, &announcement));
}

/* Guards against a departure that is taken for one of the present incarnation, or that isn't
 * believed because its body is missing or malformed. */
static void
test_birth_time_of_a_departure_is_decoded (void **state)
{
  static const char *const without[]
      = { "", "{}", "[1]", "{\"born\":\"1\"}", "{\"born\":-1}", "x" };
  const char *body = "{\"born\":1700000000123}";

  (void)state;
  assert_int_equal (platform_decode_departure (body, strlen (body)), 1700000000123);
  for (size_t i = 0; i < G_N_ELEMENTS (without); i++)
    assert_int_equal (platform_decode_departure (without[i], strlen (without[i])), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_is_decoded),
    cmocka_unit_test (test_unsupported_properties_are_named),
    cmocka_unit_test (test_malformed_jobs_are_rejected),
    cmocka_unit_test (test_heartbeat_is_decoded),
    cmocka_unit_test (test_malformed_heartbeats_are_rejected),
    cmocka_unit_test (test_unreadable_heartbeats_are_rejected),
    cmocka_unit_test (test_registry_calls_are_identified),
    cmocka_unit_test (test_birth_time_of_a_departure_is_decoded),
    cmocka_unit_test (test_order_results),
    cmocka_unit_test (test_hold_is_refused_only_without_listener),
    cmocka_unit_test (test_malformed_rows_are_skipped),
    cmocka_unit_test (test_rows_with_numbers_out_of_range_are_skipped),
    cmocka_unit_test (test_incomplete_lists_are_invalid),
    cmocka_unit_test (test_orders_are_encoded),
    cmocka_unit_test (test_configuration_is_decoded),
    cmocka_unit_test (test_store_answers),
    cmocka_unit_test (test_store_calls),
    cmocka_unit_test (test_announcement_record_round_trip),
    cmocka_unit_test (test_odd_records_are_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
