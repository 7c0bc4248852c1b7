#include "entry_fixture.h"
#include "azurerock/job_id.h"
#include "azurerock/limits.h"
#include "testing.h"
#include <stdlib.h>
#include <string.h>

#define XDR_BYTES 2097152u

static void
read_monotonic (void *context, struct timespec *now)
{
  const struct test_entry *entry = context;

  *now = az_time_from_ns (entry->now_ns);
}

static void
read_wall (void *context, struct timespec *now)
{
  const struct test_entry *entry = context;

  *now = az_time_from_ns (entry->now_ns + (TEST_WALL_MS + entry->wall_offset_ms) * 1000000);
}

static void
copy_message (struct az_message *to, const struct az_message *from)
{
  char *bytes = g_malloc (XDR_BYTES);
  XDR xdr;

  xdrmem_create (&xdr, bytes, XDR_BYTES, XDR_ENCODE);
  assert_true (xdr_az_message (&xdr, (struct az_message *)from));
  xdr_destroy (&xdr);
  xdrmem_create (&xdr, bytes, XDR_BYTES, XDR_DECODE);
  memset (to, 0, sizeof *to);
  assert_true (xdr_az_message (&xdr, to));
  xdr_destroy (&xdr);
  g_free (bytes);
}

static void
record_send (void *context, uint32_t connection, const struct az_message *message)
{
  struct test_entry *entry = context;
  struct test_sent *sent = g_new0 (struct test_sent, 1);

  sent->connection = connection;
  copy_message (&sent->message, message);
  g_ptr_array_add (entry->sent, sent);
}

static void
record_connect (void *context, const char *rpc_address)
{
  struct test_entry *entry = context;

  g_ptr_array_add (entry->connect_addresses, g_strdup (rpc_address));
}

static void
record_answer (void *context, uint32_t request, const struct az_answer *answer)
{
  struct test_entry *entry = context;
  struct test_answer *row = g_new0 (struct test_answer, 1);

  row->request = request;
  row->pending = !answer;
  if (answer)
    {
      row->outcome = answer->outcome;
      row->code = g_strdup (answer->code);
      row->n_results = answer->results.results_len;
      if (row->n_results)
        row->first_result = g_strndup (answer->results.results_val[0].payload.az_payload_val,
                                       answer->results.results_val[0].payload.az_payload_len);
    }
  g_ptr_array_add (entry->answers, row);
}

static void
record_write (void *context, const struct az_table *table, uint64_t expected_index)
{
  struct test_entry *entry = context;

  if (entry->has_written_table)
    az_owner_table_clear (&entry->written);
  az_owner_table_copy (&entry->written, table);
  entry->written_index = expected_index;
  entry->has_written_table = true;
}

static void
free_sent (void *data)
{
  struct test_sent *sent = data;

  xdr_free ((xdrproc_t)xdr_az_message, (char *)&sent->message);
  g_free (sent);
}

static void
free_answer (void *data)
{
  struct test_answer *answer = data;

  g_free (answer->code);
  g_free (answer->first_result);
  g_free (answer);
}

struct test_entry *
test_entry_create_with (const struct az_entry_settings *settings)
{
  struct test_entry *entry = g_new0 (struct test_entry, 1);
  struct az_entry_io io = { record_send, record_connect, record_answer, record_write, entry };

  entry->now_ns = 1000000000000;
  entry->clock = (struct az_clock){ read_monotonic, read_wall, entry };
  entry->random = g_rand_new_with_seed (1);
  entry->counters = az_counters_create ();
  entry->sent = g_ptr_array_new_with_free_func (free_sent);
  entry->answers = g_ptr_array_new_with_free_func (free_answer);
  entry->connect_addresses = g_ptr_array_new_with_free_func (g_free);
  entry->core = az_entry_core_create (settings, TEST_SELF, &entry->clock, entry->random, &io,
                                      entry->counters, NULL);
  return entry;
}

struct test_entry *
test_entry_create (void)
{
  struct az_entry_settings settings;

  az_entry_settings_init (&settings);
  settings.instance = "entry-500";
  settings.domain = "a";
  settings.rpc_address = "127.0.0.1:500";
  settings.http_address = "127.0.0.1:1500";
  return test_entry_create_with (&settings);
}

void
test_entry_destroy (struct test_entry *entry)
{
  az_entry_core_destroy (entry->core);
  if (entry->has_written_table)
    az_owner_table_clear (&entry->written);
  g_ptr_array_unref (entry->sent);
  g_ptr_array_unref (entry->answers);
  g_ptr_array_unref (entry->connect_addresses);
  g_rand_free (entry->random);
  az_counters_destroy (entry->counters);
  g_free (entry);
}

void
test_entry_advance (struct test_entry *entry, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 10)
    {
      entry->now_ns += MIN (10, ms - passed) * 1000000;
      az_entry_core_tick (entry->core);
    }
}

char *
test_entry_document (uint64_t revision, const struct test_configuration *fields)
{
  return g_strdup_printf (
      "{\"revision\":%d,\"publish_id\":\"p%d\",\"author\":\"operator\","
      "\"time\":\"2026-12-04T00:00:00Z\",\"message\":\"\",\"objects\":["
      "{\"kind\":\"domain\",\"name\":\"a\",\"region\":\"r\",\"in_service\":%s},"
      "{\"kind\":\"domain\",\"name\":\"b\",\"region\":\"r\"},"
      "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"a\",\"b\"],\"slots\":4,"
      "\"connections\":8},"
      "{\"kind\":\"upstream\",\"name\":\"v\",\"domains\":[\"a\"],\"slots\":4,"
      "\"connections\":8},"
      "{\"kind\":\"service\",\"name\":\"w\",\"upstreams\":[\"v\"],\"policy\":\"p\"},"
      "{\"kind\":\"policy\",\"name\":\"p\",\"max_tasks_per_job\":100,\"max_payload_bytes\":1000,"
      "\"result_retention_ms\":%d,\"deadline_default_ms\":%d},"
      "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\"],\"policy\":\"p\"},"
      "{\"kind\":\"service\",\"name\":\"other\",\"upstreams\":[\"u\"],\"policy\":\"p\"},"
      "{\"kind\":\"team\",\"name\":\"t\",\"quota_slots\":%u,\"weight\":1,\"services\":[\"s\",\"w\"]"
      ","
      "\"max_queued_tasks\":%u}]}",
      (int)revision, (int)revision, fields->withdrawn ? "false" : "true",
      (int)(fields->retention_ms ? fields->retention_ms : 60000),
      (int)(fields->deadline_ms ? fields->deadline_ms : 5000), fields->quota ? fields->quota : 100,
      fields->max_queued ? fields->max_queued : 1000);
}

void
test_entry_configure (struct test_entry *entry, const struct test_configuration *fields)
{
  char *document = test_entry_document (++entry->revision, fields);
  struct az_store_reading reading = {
    .sent = az_clock_now (&entry->clock),
    .config = document,
    .config_length = strlen (document),
    .owners_absent = !entry->store_index,
    .owners_index = entry->store_index,
  };

  az_entry_core_store_read (entry->core, &reading);
  g_free (document);
}

void
test_entry_read (struct test_entry *entry, const uint64_t *sessions, size_t n_sessions)
{
  struct az_store_reading reading = {
    .sent = az_clock_now (&entry->clock),
    .config_absent = !entry->revision,
    .owners_absent = !entry->store_index,
    .owners_index = entry->store_index,
    .sessions = sessions,
    .n_sessions = n_sessions,
  };

  az_entry_core_store_read (entry->core, &reading);
}

void
test_entry_read_table (struct test_entry *entry,
                       const struct az_table *table,
                       const uint64_t *sessions,
                       size_t n_sessions)
{
  char *document = az_owner_table_format (table);
  struct az_store_reading reading = {
    .sent = az_clock_now (&entry->clock),
    .config_absent = !entry->revision,
    .owners = document,
    .owners_length = strlen (document),
    .owners_index = ++entry->store_index,
    .sessions = sessions,
    .n_sessions = n_sessions,
  };

  az_entry_core_store_read (entry->core, &reading);
  free (document);
}

void
test_entry_commit (struct test_entry *entry, const uint64_t *sessions, size_t n_sessions)
{
  struct az_table table;

  assert_true (entry->has_written_table);
  assert_int_equal (entry->written_index, entry->store_index);
  table = entry->written;
  entry->has_written_table = false;
  az_entry_core_table_written (entry->core, AZ_TABLE_WRITE_OK, entry->store_index + 1);
  entry->now_ns += 1000000;
  test_entry_read_table (entry, &table, sessions, n_sessions);
  az_owner_table_clear (&table);
}

struct test_entry *
test_entry_start (void)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  uint64_t session = TEST_SELF;

  test_entry_configure (entry, &fields);
  test_entry_read (entry, &session, 1);
  test_entry_advance (entry, 10);
  test_entry_commit (entry, &session, 1);
  return entry;
}

const char *
test_entry_receive (struct test_entry *entry, uint32_t connection, const struct az_message *message)
{
  return az_entry_core_message_received (entry->core, connection, message);
}

void
test_entry_grant (struct test_entry *entry, uint32_t connection, uint64_t first_id, uint32_t count)
{
  struct az_grant grants[AZ_MAX_GRANTS];
  struct az_message message = { .proc = AZ_GRANT };

  for (uint32_t i = 0; i < count; i++)
    grants[i] = (struct az_grant){ first_id + i, AZ_GRANT_LIFETIME_MS };
  message.az_message_u.grant.grants.grants_len = count;
  message.az_message_u.grant.grants.grants_val = grants;
  assert_null (test_entry_receive (entry, connection, &message));
  az_entry_core_flush (entry->core);
}

void
test_entry_connect_agent (struct test_entry *entry,
                          uint32_t connection,
                          uint64_t incarnation,
                          const char *instance)
{
  test_entry_connect_agent_for (entry, connection, incarnation, instance, "u");
}

void
test_entry_connect_agent_for (struct test_entry *entry,
                              uint32_t connection,
                              uint64_t incarnation,
                              const char *instance,
                              const char *upstream)
{
  struct az_message message = { .proc = AZ_HELLO };
  struct az_hello *hello = &message.az_message_u.hello;

  hello->incarnation = incarnation;
  hello->instance = (char *)instance;
  hello->upstream = (char *)upstream;
  hello->domain = (char *)"a";
  hello->slots = 4;
  az_entry_core_connection_opened (entry->core, connection, false, "127.0.0.1:9");
  assert_null (test_entry_receive (entry, connection, &message));
  test_entry_grant (entry, connection, connection * 1000, 4);
}

void
test_entry_table (struct az_table *table, uint64_t version, uint32_t n, uint64_t owner)
{
  static const uint64_t members[] = { TEST_SELF, TEST_PEER, TEST_OTHER };

  memset (table, 0, sizeof *table);
  table->table_version = version;
  table->roster.roster_len = n;
  table->roster.roster_val = g_new0 (struct az_roster_entry, n);
  for (uint32_t i = 0; i < n; i++)
    {
      struct az_roster_entry *member = &table->roster.roster_val[i];

      member->incarnation = members[i];
      member->instance = g_strdup_printf ("entry-%d", (int)members[i]);
      member->domain = g_strdup ("a");
      member->rpc_address = g_strdup_printf ("127.0.0.1:%d", (int)members[i]);
      member->http_address = g_strdup_printf ("127.0.0.1:%d", (int)members[i] + 1000);
    }
  table->partitions.partitions_len = AZ_PARTITIONS;
  table->partitions.partitions_val = g_new0 (struct az_partition, AZ_PARTITIONS);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    table->partitions.partitions_val[p].owner = owner ? owner : members[p % n];
}

void
test_entry_connect_peer (struct test_entry *entry, uint32_t connection, uint64_t incarnation)
{
  struct az_message message = { .proc = AZ_PEER_HELLO };
  char instance[32];

  g_snprintf (instance, sizeof instance, "entry-%d", (int)incarnation);
  message.az_message_u.peer_hello.incarnation = incarnation;
  message.az_message_u.peer_hello.instance = instance;
  az_entry_core_connection_opened (entry->core, connection, true, "127.0.0.1:900");
  assert_null (test_entry_receive (entry, connection, &message));
}

void
test_entry_peer_ack (struct test_entry *entry,
                     uint32_t connection,
                     uint64_t revision,
                     uint64_t table_version,
                     bool restored)
{
  struct az_message message = { .proc = AZ_PEER_STATE_ACK };
  struct az_peer_state_ack *ack = &message.az_message_u.peer_state_ack;

  ack->sent_ns = (u_quad_t)entry->now_ns;
  ack->revision = revision;
  ack->table_version = table_version;
  ack->restored = restored;
  assert_null (test_entry_receive (entry, connection, &message));
}

const char *
test_entry_id (const struct test_entry *entry, int64_t age_ms, const char *token)
{
  static char id[AZ_MAX_JOB_ID + 1];

  g_snprintf (id, sizeof id, "%" G_GINT64_FORMAT "-%s", az_clock_wall_ms (&entry->clock) - age_ms,
              token);
  return id;
}

static void
submit (struct test_entry *entry,
        uint32_t request,
        const char *id,
        uint32_t n_tasks,
        uint32_t attempt)
{
  struct az_job_task *tasks = g_new0 (struct az_job_task, n_tasks);
  struct az_submit job = { .job = (char *)id, .team = (char *)"t", .service = (char *)"s" };

  for (uint32_t i = 0; i < n_tasks; i++)
    tasks[i].payload = (az_payload){ 4, (char *)"work" };
  job.tasks.tasks_len = n_tasks;
  job.tasks.tasks_val = tasks;
  job.attempt = attempt;
  az_entry_core_submit (entry->core, request, &job, attempt == 1);
  az_entry_core_flush (entry->core);
  g_free (tasks);
}

void
test_entry_submit (struct test_entry *entry, uint32_t request, const char *id, uint32_t n_tasks)
{
  submit (entry, request, id, n_tasks, 0);
}

void
test_entry_submit_first (struct test_entry *entry,
                         uint32_t request,
                         const char *id,
                         uint32_t n_tasks)
{
  submit (entry, request, id, n_tasks, 1);
}

void
test_entry_submit_attempt (struct test_entry *entry,
                           uint32_t request,
                           const char *id,
                           uint32_t attempt)
{
  submit (entry, request, id, 1, attempt);
}

uint32_t
test_entry_count (const struct test_entry *entry, az_proc proc)
{
  uint32_t count = 0;

  for (guint i = 0; i < entry->sent->len; i++)
    count += ((struct test_sent *)entry->sent->pdata[i])->message.proc == proc;
  return count;
}

const struct test_sent *
test_entry_last (const struct test_entry *entry, az_proc proc)
{
  for (guint i = entry->sent->len; i > 0; i--)
    {
      const struct test_sent *sent = entry->sent->pdata[i - 1];

      if (sent->message.proc == proc)
        return sent;
    }
  return NULL;
}

void
test_entry_clear_sent (struct test_entry *entry)
{
  g_ptr_array_set_size (entry->sent, 0);
}

const struct az_start_task *
test_entry_started (const struct test_entry *entry, uint32_t index, uint32_t *connection)
{
  for (guint i = 0; i < entry->sent->len; i++)
    {
      const struct test_sent *sent = entry->sent->pdata[i];
      const struct az_start *start = &sent->message.az_message_u.start;

      if (sent->message.proc != AZ_START)
        continue;
      if (index < start->tasks.tasks_len)
        {
          *connection = sent->connection;
          return &start->tasks.tasks_val[index];
        }
      index -= start->tasks.tasks_len;
    }
  return NULL;
}

uint32_t
test_entry_n_started (const struct test_entry *entry)
{
  uint32_t count = 0;
  uint32_t connection;

  while (test_entry_started (entry, count, &connection))
    count++;
  return count;
}

void
test_entry_finish (struct test_entry *entry, uint32_t index, az_status status)
{
  uint32_t connection;
  const struct az_start_task *task = test_entry_started (entry, index, &connection);
  struct az_result_task result = { .sequence = index + 1, .status = status, .run_us = 100000 };
  struct az_message message = { .proc = AZ_RESULT };
  char payload[32];

  assert_non_null (task);
  result.id = task->id;
  result.payload.az_payload_len
      = (u_int)g_snprintf (payload, sizeof payload, "result-%u", task->id.task);
  result.payload.az_payload_val = payload;
  message.az_message_u.result.results.results_len = 1;
  message.az_message_u.result.results.results_val = &result;
  assert_null (test_entry_receive (entry, connection, &message));
  az_entry_core_flush (entry->core);
}

void
test_entry_refuse (struct test_entry *entry, uint32_t index, az_refusal reason)
{
  uint32_t connection;
  const struct az_start_task *task = test_entry_started (entry, index, &connection);
  struct az_refused_task refused = { .reason = reason };
  struct az_message message = { .proc = AZ_REFUSED };

  assert_non_null (task);
  refused.id = task->id;
  message.az_message_u.refused.tasks.tasks_len = 1;
  message.az_message_u.refused.tasks.tasks_val = &refused;
  assert_null (test_entry_receive (entry, connection, &message));
  az_entry_core_flush (entry->core);
}

void
test_entry_send_fate (struct test_entry *entry,
                      uint32_t index,
                      uint32_t connection,
                      az_status status)
{
  uint32_t unused;
  const struct az_start_task *task = test_entry_started (entry, index, &unused);
  struct az_fate_task fate = { .status = status };
  struct az_message message = { .proc = AZ_FATE };

  assert_non_null (task);
  fate.id = task->id;
  fate.payload = (az_payload){ 4, (char *)"fate" };
  message.az_message_u.fate.tasks.tasks_len = 1;
  message.az_message_u.fate.tasks.tasks_val = &fate;
  assert_null (test_entry_receive (entry, connection, &message));
  az_entry_core_flush (entry->core);
}

const struct test_answer *
test_entry_answer (const struct test_entry *entry, uint32_t request)
{
  const struct test_answer *found = NULL;

  for (guint i = 0; i < entry->answers->len; i++)
    {
      const struct test_answer *answer = entry->answers->pdata[i];

      if (answer->request != request)
        continue;
      assert_null (found);
      found = answer;
    }
  return found;
}

void
test_entry_assert_answer (const struct test_entry *entry,
                          uint32_t request,
                          az_outcome outcome,
                          const char *code)
{
  const struct test_answer *answer = test_entry_answer (entry, request);

  assert_non_null (answer);
  assert_false (answer->pending);
  assert_string_equal (answer->code, code);
  assert_int_equal (answer->outcome, outcome);
}

uint64_t
test_entry_counter (const struct test_entry *entry, const char *name)
{
  return az_counters_get (entry->counters, az_counters_register (entry->counters, name, ""));
}
