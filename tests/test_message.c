#include "azurerock/message.h"
#include "testing.h"
#include <malloc.h>
#include <string.h>

#define JOB (char *)"1796361241123-q7Jm2kd91x"
#define PROCEDURE_OFFSET 24 /* offset of the procedure number in a record */
#define VERSION_OFFSET 20   /* offset of the program version */

static struct az_attempt attempt = { JOB, 7, 2 };
static struct az_grant grants[] = { { 11, 4000 }, { 12, 5000 } };
static u_quad_t ids[] = { 1, 2, 3 };
static struct az_roster_entry roster[]
    = { { 5, (char *)"entry-1", (char *)"a", (char *)"1:2", (char *)"1:3", 6 } };
static struct az_partition partitions[AZ_PARTITIONS] = { { 5, 6, 7 } };
static struct az_team_claim claims[] = { { (char *)"team", 1, 2, 3 } };
static char payload[] = "payload";

#define PAYLOAD                                                                                    \
  {                                                                                                \
    sizeof payload, payload                                                                        \
  }

static struct az_start_task start_tasks[] = { { { JOB, 7, 2 }, 100, 11, 900, 1000, PAYLOAD } };
static struct az_result_task results[] = { { 9, { JOB, 7, 2 }, AZ_STATUS_FAILED, 51000, PAYLOAD } };
static struct az_refused_task refusals[] = { { { JOB, 7, 2 }, AZ_REFUSAL_FENCED } };
static struct az_fate_task fates[] = { { { JOB, 7, 2 }, AZ_STATUS_RUNNING, PAYLOAD } };
static struct az_record records[] = { { { JOB, 7, 2 }, 100, AZ_STATUS_OK, PAYLOAD } };
static struct az_job_task job_tasks[] = { { 3, PAYLOAD }, { 0, { 0, NULL } } };
static struct az_task_result task_results[] = { { PAYLOAD } };

static char *addresses[] = { (char *)"10.0.0.1:7720", (char *)"10.0.0.2:7720" };
static struct az_run_task run_tasks[] = { { 0, 1 }, { 17, 2 } };
static u_int indexes[] = { 4, 5 };
static struct az_task_event task_events[] = { { 3, 1, 17, 2, AZ_TASK_CRASHED, 61 } };
static struct az_task_progress task_progress[] = { { 3, 1, 17, 200, 900 } };

static az_name kinds[] = { (char *)"fast", (char *)"slow" };
static az_interference_row interference_rows[] = { { 0, 1, 40000, -180 } };

#define BODY(member, ...) .az_message_u.member = { __VA_ARGS__ }

/* One message of each procedure, in the order of their numbers. */
static const struct az_message samples[] = {
  { .proc = AZ_PROC_NULL },
  { AZ_HELLO, BODY (hello, 1, (char *)"agent-1", (char *)"up", (char *)"a", 8, 3, 4) },
  { AZ_WELCOME, BODY (welcome, 2, (char *)"entry-1") },
  { AZ_HEARTBEAT, BODY (heartbeat, 1ULL << 60, 3, 4, 8, TRUE) },
  { AZ_HEARTBEAT_ACK, BODY (heartbeat_ack, 1ULL << 60, 400, 3, 4, 99) },
  { AZ_VIEW, BODY (view, 3, TRUE, 8, 64, 30000) },
  { AZ_TABLE, BODY (table, 4, { 1, roster }, { AZ_PARTITIONS, partitions }) },
  { AZ_GRANT, BODY (grant, { 2, grants }) },
  { AZ_RECALL, BODY (recall, { 3, ids }) },
  { AZ_RETURN, BODY (returned, { 3, ids }) },
  { AZ_DEMAND, BODY (demand, 12, 34) },
  { AZ_START, BODY (start, (char *)"team", (char *)"service", { 1, start_tasks }, { 1, 2 }) },
  { AZ_RESULT, BODY (result, { 1, results }, { 2, grants }) },
  { AZ_REFUSED, BODY (refused, { 1, refusals }) },
  { AZ_CANCEL, BODY (cancel, JOB) },
  { AZ_QUERY, BODY (query, { 1, &attempt }) },
  { AZ_FATE, BODY (fate, { 1, fates }) },
  { AZ_RECOVER, BODY (recover, 0xf0f0) },
  { AZ_RECORDS, BODY (records, 0xf0f0, TRUE, { 1, records }) },
  { AZ_PEER_HELLO, BODY (peer_hello, 2, (char *)"entry-1") },
  { AZ_PEER_STATE, BODY (peer_state, 1, 3, 4, TRUE, { 1, claims }) },
  { AZ_PEER_STATE_ACK, BODY (peer_state_ack, 1, 3, 4, TRUE) },
  { AZ_CONFIG, BODY (config, 3, PAYLOAD, { 4, { 1, roster }, { AZ_PARTITIONS, partitions } }) },
  { AZ_SUBMIT, BODY (submit, JOB, (char *)"team", (char *)"service", 2000, { 2, job_tasks }, 3) },
  { AZ_ANSWER, BODY (answer, JOB, AZ_OUTCOME_DONE, (char *)"", (char *)"", { 1, task_results }) },
  { AZ_CANCEL_JOB, BODY (cancel_job, JOB) },
  { AZ_NODE_HELLO, BODY (node_hello, 7, (char *)"gateway-1", (char *)"a", (char *)"1:2") },
  { AZ_NODE_GATEWAYS, BODY (node_gateways, { 2, addresses }) },
  { AZ_NODE_CATALOG, BODY (node_catalog, 9, PAYLOAD) },
  { AZ_NODE_WITHDRAWN, BODY (node_withdrawn, 9, 120, { 2, addresses }) },
  { AZ_NODE_UPSTREAM,
    BODY (node_upstream, 2, TRUE, (char *)"service", { 2, addresses }, { 32000, 65536, 2 }) },
  { AZ_NODE_RUN, BODY (node_run,
                       81000,
                       3,
                       (char *)"fast",
                       (char *)"5c0e7a21d94b36f8",
                       1,
                       (char *)"5c0e7a21d94b36f8.0.1",
                       PAYLOAD,
                       { 3100, 64, 0 },
                       60,
                       1500,
                       { 2, run_tasks }) },
  { AZ_NODE_STOP, BODY (node_stop, 3, 1, { 2, indexes }) },
  { AZ_NODE_REPORT, BODY (node_report,
                          81000,
                          5,
                          { 1000, 64, 0 },
                          97,
                          500,
                          3,
                          { 1, task_events },
                          { 1, task_progress }) },
  { AZ_NODE_PULSE, BODY (node_pulse, 4000, TRUE, TRUE, 7) },
  { AZ_NODE_CRASH, BODY (node_crash, (char *)"fast", (char *)"5c0e7a21d94b36f8", 1, 17) },
  { AZ_NODE_CANCEL, BODY (node_cancel, 3, (char *)"5c0e7a21d94b36f8") },
  { AZ_NODE_CANCELLED, BODY (node_cancelled, 3, TRUE) },
  { AZ_NODE_INTERFERENCE, BODY (node_interference, 2, { 2, kinds }, { 1, interference_rows }) },
  { AZ_NODE_EVIDENCE, BODY (node_evidence, 9, 40) },
};

static GByteArray *
encode (const struct az_message *message)
{
  GByteArray *record = g_byte_array_new ();

  assert_true (az_message_encode (message, 1, record, NULL));
  return record;
}

static void
put_word (GByteArray *record, size_t offset, uint32_t value)
{
  uint32_t wire = GUINT32_TO_BE (value);

  memcpy (record->data + offset, &wire, sizeof wire);
}

static void
set_mark (GByteArray *record)
{
  put_word (record, 0, (record->len - 4) | 0x80000000u);
}

static void
assert_rejected (const GByteArray *record, int code)
{
  GError *error = NULL;
  struct az_message message;

  assert_false (az_message_decode (record->data, record->len, &message, &error));
  assert_true (g_error_matches (error, AZ_MESSAGE_ERROR, code));
  g_error_free (error);
}

/* Guards against a field that encoding or decoding loses or reorders: the decoded message must
 * encode to the same bytes. */
static void
test_every_procedure_round_trip (void **state)
{
  assert_int_equal (G_N_ELEMENTS (samples), AZ_NODE_EVIDENCE + 1);
  for (size_t i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      GByteArray *record = encode (&samples[i]);
      struct az_message message;
      GByteArray *again;

      assert_int_equal (samples[i].proc, i);
      assert_int_equal (az_message_record_length (record->data, record->len, NULL), record->len);
      assert_true (az_message_decode (record->data, record->len, &message, NULL));
      assert_int_equal (message.proc, i);
      again = encode (&message);
      assert_int_equal (again->len, record->len);
      assert_memory_equal (again->data, record->data, record->len);
      az_message_clear (&message);
      g_byte_array_unref (again);
      g_byte_array_unref (record);
    }
}

/* Guards against encoding and decoding one field as another, which the round trip misses. */
static void
test_values_of_start (void **state)
{
  GByteArray *record = encode (&samples[AZ_START]);
  struct az_message message;
  const struct az_start *start = &message.az_message_u.start;

  assert_true (az_message_decode (record->data, record->len, &message, NULL));
  assert_string_equal (start->service, "service");
  assert_int_equal (start->tasks.tasks_len, 1);
  assert_string_equal (start->tasks.tasks_val[0].id.job, "1796361241123-q7Jm2kd91x");
  assert_int_equal (start->tasks.tasks_val[0].grant, 11);
  assert_int_equal (start->tasks.tasks_val[0].payload.az_payload_len, sizeof payload);
  assert_string_equal (start->tasks.tasks_val[0].payload.az_payload_val, "payload");
  assert_int_equal (start->demand.oldest_ms, 2);
  az_message_clear (&message);
  g_byte_array_unref (record);
}

/* Guards against reading past the end: a truncated record with a matching mark must be refused. */
static void
test_truncated_records (void **state)
{
  for (size_t i = 1; i < G_N_ELEMENTS (samples); i++)
    {
      GByteArray *record = encode (&samples[i]);

      while (record->len > 8)
        {
          g_byte_array_set_size (record, record->len - 4);
          set_mark (record);
          assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
        }
      g_byte_array_unref (record);
    }
}

/* Guards against ignoring trailing bytes, which may be a field that only a later version knows. */
static void
test_trailing_bytes (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      GByteArray *record = encode (&samples[i]);

      g_byte_array_append (record, (const guint8 *)"\0\0\0\0", 4);
      set_mark (record);
      assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
      g_byte_array_unref (record);
    }
}

/* Guards against decoding messages of another program or version and of unknown procedures. */
static void
test_wrong_version_and_procedure (void **state)
{
  GByteArray *record = encode (&samples[AZ_DEMAND]);

  put_word (record, VERSION_OFFSET, 2);
  assert_rejected (record, AZ_MESSAGE_ERROR_VERSION);
  put_word (record, VERSION_OFFSET, 1);
  put_word (record, PROCEDURE_OFFSET, AZ_NODE_EVIDENCE + 1);
  assert_rejected (record, AZ_MESSAGE_ERROR_PROCEDURE);
  put_word (record, PROCEDURE_OFFSET, 0xffffffff);
  assert_rejected (record, AZ_MESSAGE_ERROR_PROCEDURE);
  put_word (record, VERSION_OFFSET - 4, 0x20000001);
  assert_rejected (record, AZ_MESSAGE_ERROR_VERSION);
  g_byte_array_unref (record);
}

/* Guards against a peer that makes the receiver buffer without limit, and against fragments. */
static void
test_record_marks (void **state)
{
  const uint8_t too_long[] = { 0x80, 0x80, 0, 1 };
  const uint8_t fragment[] = { 0, 0, 0, 8 };
  const uint8_t longest[] = { 0x80, 0x80, 0, 0 };
  GError *error = NULL;

  assert_int_equal (az_message_record_length (too_long, 4, &error), -1);
  assert_true (g_error_matches (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_TOO_LONG));
  g_clear_error (&error);
  assert_int_equal (az_message_record_length (fragment, 4, &error), -1);
  assert_true (g_error_matches (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_MALFORMED));
  g_clear_error (&error);
  assert_int_equal (az_message_record_length (longest, 4, NULL), 0);
  assert_int_equal (az_message_record_length (longest, 3, NULL), 0);
}

/* Guards against a short record that states a long array and so causes a large allocation. */
static void
test_false_lengths_allocate_nothing (void **state)
{
  GByteArray *record = encode (&samples[AZ_SUBMIT]);
  /* The count is followed by two tasks and the attempt. */
  size_t count_offset = record->len - 4 - (2 * 8 + 8) - 4;
  struct mallinfo2 before;

  put_word (record, count_offset, AZ_MAX_TASKS);
  before = mallinfo2 ();
  assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
  assert_true (mallinfo2 ().uordblks < before.uordblks + 4096);
  put_word (record, count_offset, 0x7fffffff);
  assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
  g_byte_array_unref (record);
}

/* Guards against enumeration values out of range, which receivers use as indexes of tables. */
static void
test_unknown_enumerations (void **state)
{
  GByteArray *record = encode (&samples[AZ_REFUSED]);

  put_word (record, record->len - 4, AZ_REFUSAL_UPSTREAM + 1);
  assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
  put_word (record, record->len - 4, 0xffffffff);
  assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
  g_byte_array_unref (record);
}

/* Guards against strings with a NUL: code that stops there and code that uses the length would see
 * different names. */
static void
test_string_with_nul (void **state)
{
  GByteArray *record = encode (&samples[AZ_CANCEL]);

  record->data[record->len - 4] = '\0';
  assert_rejected (record, AZ_MESSAGE_ERROR_MALFORMED);
  g_byte_array_unref (record);
}

/* Guards against failing to encode a message because a string is NULL. */
static void
test_null_string_is_empty (void **state)
{
  struct az_message answer = { .proc = AZ_ANSWER };
  struct az_message message;
  GByteArray *record;

  answer.az_message_u.answer.job = JOB;
  record = encode (&answer);
  assert_true (az_message_decode (record->data, record->len, &message, NULL));
  assert_string_equal (message.az_message_u.answer.code, "");
  az_message_clear (&message);
  g_byte_array_unref (record);
}

/* Guards against sending a record that the receiver refuses, and against a partial record in the
 * send buffer after an error. */
static void
test_oversized_fields_are_not_encoded (void **state)
{
  char name[AZ_MAX_NAME + 2];
  struct az_message message = { .proc = AZ_WELCOME };
  GByteArray *out = g_byte_array_new ();
  GError *error = NULL;

  memset (name, 'x', sizeof name);
  name[sizeof name - 1] = '\0';
  message.az_message_u.welcome.instance = name;
  assert_false (az_message_encode (&message, 1, out, &error));
  assert_true (g_error_matches (error, AZ_MESSAGE_ERROR, AZ_MESSAGE_ERROR_TOO_LONG));
  assert_int_equal (out->len, 0);
  g_clear_error (&error);
  name[AZ_MAX_NAME] = '\0';
  assert_true (az_message_encode (&message, 1, out, &error));
  g_byte_array_unref (out);
}

/* Guards against a record that is longer than the receiver allows although each field fits. */
static void
test_record_bound (void **state)
{
  char *large = g_malloc0 (AZ_MAX_PAYLOAD);
  struct az_job_task tasks[129];
  struct az_message message = { AZ_SUBMIT, BODY (submit, JOB, NULL, NULL, 0, { 129, tasks }, 0) };
  GByteArray *out = g_byte_array_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (tasks); i++)
    tasks[i] = (struct az_job_task){ 1, { AZ_MAX_PAYLOAD, large } };
  assert_false (az_message_encode (&message, 1, out, NULL));
  message.az_message_u.submit.tasks.tasks_len = 127;
  assert_true (az_message_encode (&message, 1, out, NULL));
  assert_int_equal (az_message_record_length (out->data, out->len, NULL), out->len);
  g_byte_array_unref (out);
  g_free (large);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_procedure_round_trip),
    cmocka_unit_test (test_values_of_start),
    cmocka_unit_test (test_truncated_records),
    cmocka_unit_test (test_trailing_bytes),
    cmocka_unit_test (test_wrong_version_and_procedure),
    cmocka_unit_test (test_record_marks),
    cmocka_unit_test (test_false_lengths_allocate_nothing),
    cmocka_unit_test (test_unknown_enumerations),
    cmocka_unit_test (test_string_with_nul),
    cmocka_unit_test (test_null_string_is_empty),
    cmocka_unit_test (test_oversized_fields_are_not_encoded),
    cmocka_unit_test (test_record_bound),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
