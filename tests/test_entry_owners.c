#include "azurerock/job_id.h"
#include "azurerock/limits.h"
#include "entry_fixture.h"
#include "testing.h"

static const uint64_t both[] = { TEST_SELF, TEST_PEER };
static const uint64_t all[] = { TEST_SELF, TEST_PEER, TEST_OTHER };

/* Creates an entry that reads revision 1 and a table of @n members from the store. Its peers are
 * connected on connections 20 and 21 and have reported the table. */
static struct test_entry *
join_cluster (uint32_t n, uint64_t owner)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, n, owner);
  test_entry_read_table (entry, &table, all, n);
  az_owner_table_clear (&table);
  for (uint32_t i = 1; i < n; i++)
    {
      test_entry_connect_peer (entry, 19 + i, all[i]);
      test_entry_peer_ack (entry, 19 + i, 1, 3, true);
    }
  return entry;
}

static void
read_for (struct test_entry *entry, int64_t ms, const uint64_t *sessions, size_t n)
{
  for (int64_t passed = 0; passed < ms; passed += 500)
    {
      test_entry_read (entry, sessions, n);
      test_entry_advance (entry, 500);
    }
}

static uint32_t
owned_by (const struct az_table *table, uint64_t owner)
{
  uint32_t count = 0;

  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    count += table->partitions.partitions_val[p].owner == owner;
  return count;
}

/* Guards against two entries that both create the first table, and against a first entry that
 * waits for the handover from a previous owner, although there is none. */
static void
test_first_table_is_owned_at_once (void **state)
{
  struct test_entry *entry = test_entry_start ();

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  assert_null (test_entry_answer (entry, 7));
  test_entry_destroy (entry);
}

/* Guards against a takeover while the session of the owner may still exist. */
static void
test_takeover_needs_missing_session (void **state)
{
  struct test_entry *entry = join_cluster (2, 0);

  read_for (entry, 3000, both, 2);
  assert_false (entry->has_written_table);
  read_for (entry, 4500, both, 1);
  assert_false (entry->has_written_table);
  read_for (entry, 1500, both, 1);
  assert_true (entry->has_written_table);
  assert_int_equal (entry->written.table_version, 4);
  assert_int_equal (owned_by (&entry->written, TEST_SELF), AZ_PARTITIONS);
  for (uint32_t p = 1; p < AZ_PARTITIONS; p += 2)
    {
      assert_int_equal (entry->written.partitions.partitions_val[p].previous, TEST_PEER);
      assert_true ((int64_t)entry->written.partitions.partitions_val[p].from_ms
                   > az_clock_wall_ms (&entry->clock) + AZ_HANDOVER_MS - 1500);
    }
  assert_int_equal (entry->written.roster.roster_len, 2);
  test_entry_destroy (entry);
}

/* Guards against writing a table version while the previous version isn't confirmed. */
static void
test_next_version_needs_confirmation (void **state)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, 3, 0);
  test_entry_read_table (entry, &table, all, 3);
  az_owner_table_clear (&table);
  /* Of the three members only this entry has version 3. Half of them, rounded up, must have it. */
  read_for (entry, 8000, both, 2);
  assert_false (entry->has_written_table);
  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  read_for (entry, 500, both, 2);
  assert_true (entry->has_written_table);
  test_entry_destroy (entry);
}

/* The peer dies and this entry takes over its partitions; returns after the store has the table. */
static struct test_entry *
take_over (void)
{
  struct test_entry *entry = join_cluster (2, TEST_PEER);

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  az_entry_core_connection_closed (entry->core, 20);
  read_for (entry, 6000, both, 1);
  test_entry_commit (entry, both, 1);
  return entry;
}

/* Guards against running an id that the former owner may have run. */
static void
test_ids_before_horizon_are_unknown (void **state)
{
  struct test_entry *entry = take_over ();
  int64_t confirmed_ms = az_clock_wall_ms (&entry->clock);
  char *id;

  test_entry_read (entry, both, 1);
  id = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  read_for (entry, 3000, both, 1);
  test_entry_submit (entry, 7, id, 1);
  test_entry_advance (entry, 1200);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_UNKNOWN, "owner_unavailable");
  read_for (entry, 2000, both, 1);
  test_entry_grant (entry, 1, 6000, 4);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  assert_true (az_clock_wall_ms (&entry->clock) >= confirmed_ms + AZ_HANDOVER_MS);
  g_free (id);
  test_entry_destroy (entry);
}

/* Guards against a planned stop after which new ids are answered as unknown for a while. The
 * former owner reports the table at least twice the maximum clock skew (1 s) before its own
 * interval ends, so this entry runs ids from the first millisecond of the new interval on. */
static void
test_planned_handover_has_no_gap (void **state)
{
  struct test_entry *entry = join_cluster (3, TEST_PEER);
  int64_t from_ms = az_clock_wall_ms (&entry->clock) + AZ_HANDOVER_MS;
  struct az_table table;

  test_entry_table (&table, 4, 3, TEST_SELF);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    {
      table.partitions.partitions_val[p].previous = TEST_PEER;
      table.partitions.partitions_val[p].from_ms = (uint64_t)from_ms;
    }
  test_entry_read_table (entry, &table, all, 3);
  az_owner_table_clear (&table);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  read_for (entry, 1000, all, 3);
  test_entry_peer_ack (entry, 20, 1, 4, true);
  read_for (entry, AZ_HANDOVER_MS - 1000, all, 3);
  test_entry_grant (entry, 1, 6000, 4);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "ijklmnop"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  test_entry_destroy (entry);
}

/* Guards against the answer "unknown" for a job whose results are all in records of agents. */
static void
test_records_of_agents_answer_older_jobs (void **state)
{
  struct test_entry *entry = join_cluster (2, TEST_PEER);
  char *whole = g_strdup (test_entry_id (entry, 0, "abcdefgh"));
  char *partial = g_strdup (test_entry_id (entry, 0, "ijklmnop"));
  struct az_record records[] = {
    { .id = { whole, 0, 1 }, .job_tasks = 2, .payload = { 3, (char *)"one" } },
    { .id = { whole, 1, 2 }, .job_tasks = 2, .payload = { 3, (char *)"two" } },
    { .id = { partial, 0, 3 }, .job_tasks = 2, .payload = { 3, (char *)"one" } },
  };
  struct az_message message = { .proc = AZ_RECORDS };
  struct az_table table;

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  az_entry_core_connection_closed (entry->core, 20);
  read_for (entry, 6000, both, 1);
  test_entry_commit (entry, both, 1);
  assert_int_equal (test_entry_count (entry, AZ_RECOVER), 1);
  message.az_message_u.records.records.records_len = 3;
  message.az_message_u.records.records.records_val = records;
  assert_null (test_entry_receive (entry, 1, &message));
  /* The former owner leaves the roster, so that this entry answers for the ids that the
   * former owner served. */
  test_entry_table (&table, 5, 1, TEST_SELF);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    {
      table.partitions.partitions_val[p].from_ms
          = (u_quad_t)(az_clock_wall_ms (&entry->clock) + AZ_HANDOVER_MS);
      table.partitions.partitions_val[p].previous = TEST_PEER;
    }
  test_entry_read_table (entry, &table, both, 1);
  az_owner_table_clear (&table);
  test_entry_submit (entry, 7, whole, 2);
  test_entry_submit (entry, 8, partial, 2);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  assert_string_equal (test_entry_answer (entry, 7)->first_result, "one");
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  assert_int_equal (test_entry_n_started (entry), 0);
  g_free (whole);
  g_free (partial);
  test_entry_destroy (entry);
}

/* Guards against an entry that doesn't replace the earlier incarnation of its instance in the
 * roster because the present version isn't confirmed. The missing report may be that of the earlier
 * incarnation, and only this entry can report in its place. */
static void
test_replacement_needs_no_confirmation (void **state)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, 3, 0);
  table.roster.roster_val[0].incarnation = 77;
  table.roster.roster_val[0].joined = 2;
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    if (table.partitions.partitions_val[p].owner == TEST_SELF)
      table.partitions.partitions_val[p].owner = 77;
  test_entry_read_table (entry, &table, all, 3);
  az_owner_table_clear (&table);
  test_entry_advance (entry, 100);
  assert_true (entry->has_written_table);
  assert_int_equal (entry->written.roster.roster_len, 3);
  assert_int_equal (entry->written.roster.roster_val[0].incarnation, TEST_SELF);
  assert_int_equal (entry->written.roster.roster_val[0].joined, 2);
  assert_int_equal (owned_by (&entry->written, TEST_SELF), 22);
  assert_int_equal (entry->written.partitions.partitions_val[0].previous, 77);
  test_entry_destroy (entry);
}

/* Guards against a joining entry that takes over no partitions, and against one that takes over ids
 * that others may have run. */
static void
test_joining_entry_takes_its_share (void **state)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, 2, TEST_PEER);
  table.roster.roster_val[0].incarnation = TEST_PEER;
  table.roster.roster_val[1].incarnation = TEST_OTHER;
  g_free (table.roster.roster_val[0].instance);
  table.roster.roster_val[0].instance = g_strdup ("first");
  test_entry_read_table (entry, &table, all, 3);
  az_owner_table_clear (&table);
  test_entry_advance (entry, 200);
  assert_false (entry->has_written_table);
  assert_int_equal (entry->connect_addresses->len, 2);
  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  test_entry_advance (entry, 200);
  assert_true (entry->has_written_table);
  assert_int_equal (entry->written.roster.roster_len, 3);
  assert_int_equal (entry->written.roster.roster_val[2].joined, 4);
  assert_int_equal (owned_by (&entry->written, TEST_SELF), 21);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    if (entry->written.partitions.partitions_val[p].owner == TEST_SELF)
      assert_true (entry->written.partitions.partitions_val[p].from_ms > TEST_WALL_MS);
  test_entry_destroy (entry);
}

/* Guards against a planned stop that leaves partitions without an owner or drops open jobs. */
static void
test_planned_stop_hands_over (void **state)
{
  struct test_entry *entry = join_cluster (2, 0);

  test_entry_connect_agent (entry, 1, 11, "agent-1");
  az_entry_core_stop (entry->core);
  assert_false (az_entry_core_is_ready (entry->core));
  test_entry_read (entry, both, 2);
  test_entry_advance (entry, 200);
  assert_true (entry->has_written_table);
  assert_int_equal (owned_by (&entry->written, TEST_PEER), AZ_PARTITIONS);
  test_entry_commit (entry, both, 2);
  /* The interval of the next owner has not begun, so this entry still serves ids of the present
   * time. */
  for (uint32_t i = 0;; i++)
    {
      char token[16];
      const char *id;

      g_snprintf (token, sizeof token, "token%03u", i);
      id = test_entry_id (entry, 0, token);
      if (az_job_id_partition (id) % 2)
        continue;
      test_entry_submit (entry, 7, id, 1);
      break;
    }
  read_for (entry, 4000, both, 2);
  assert_false (az_entry_core_is_drained (entry->core));
  test_entry_finish (entry, 0, AZ_STATUS_OK);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_DONE, "");
  assert_false (az_entry_core_is_drained (entry->core));
  read_for (entry, 1000, both, 2);
  assert_false (az_entry_core_is_drained (entry->core));
  read_for (entry, AZ_CONFIRMATION_MARGIN_MS, both, 2);
  assert_true (az_entry_core_is_drained (entry->core));
  test_entry_destroy (entry);
}

/* Guards against two entries that stop at the same time and pass partitions back and forth forever.
 */
static void
test_simultaneous_stops_end (void **state)
{
  struct test_entry *entry = join_cluster (2, 0);
  const uint64_t self[] = { TEST_SELF };
  struct az_table table;

  az_entry_core_stop (entry->core);
  test_entry_read (entry, both, 2);
  test_entry_advance (entry, 200);
  assert_true (entry->has_written_table);
  test_entry_commit (entry, both, 2);
  test_entry_table (&table, 5, 2, TEST_SELF);
  test_entry_read_table (entry, &table, both, 2);
  az_owner_table_clear (&table);
  test_entry_peer_ack (entry, 20, 1, 5, true);
  entry->has_written_table = false;
  read_for (entry, 2000, both, 2);
  assert_false (entry->has_written_table);
  read_for (entry, 6000, self, 1);
  assert_true (az_entry_core_is_drained (entry->core));
  test_entry_destroy (entry);
}

/* Passes a store read with a table in which @owner takes all partitions from this entry at
 * @from_ms. */
static void
read_moved_table (struct test_entry *entry, uint64_t version, uint64_t owner, int64_t from_ms)
{
  struct az_table table;

  test_entry_table (&table, version, 2, owner);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    {
      table.partitions.partitions_val[p].previous = TEST_SELF;
      table.partitions.partitions_val[p].from_ms = (uint64_t)from_ms;
    }
  test_entry_read_table (entry, &table, both, 2);
  az_owner_table_clear (&table);
}

static int64_t
wall_ms (const struct test_entry *entry)
{
  return TEST_WALL_MS + (int64_t)(entry->now_ns / 1000000);
}

/* The peer gets this entry's partitions from 3 s on. Before these 3 s have passed, this entry reads
 * a table that gives them to @owner from 6 s on instead. */
static struct test_entry *
hand_over_and_back (uint64_t owner)
{
  struct test_entry *entry = join_cluster (2, TEST_SELF);
  int64_t now_ms = wall_ms (entry);

  read_moved_table (entry, 4, TEST_PEER, now_ms + 3000);
  test_entry_peer_ack (entry, 20, 1, 4, true);
  read_moved_table (entry, 5, owner, now_ms + 6000);
  test_entry_connect_agent (entry, 1, 11, "agent-1");
  return entry;
}

/* Guards against the answer "unknown" for ids that no other entry has owned: the peer hands the
 * partitions back before its interval begins. */
static void
test_ids_run_if_partitions_return_before_interval_start (void **state)
{
  struct test_entry *entry = hand_over_and_back (TEST_SELF);

  test_entry_peer_ack (entry, 20, 1, 5, true);
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  assert_int_equal (test_entry_n_started (entry), 1);
  read_for (entry, 4000, both, 2);
  test_entry_grant (entry, 1, 2000, 4);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "abcdefgi"), 1);
  assert_int_equal (test_entry_n_started (entry), 2);
  test_entry_destroy (entry);
}

/* Guards against a second start of an id that the peer may have run: the peer's interval began
 * before the peer reported the table that gives the partitions to another owner. */
static void
test_ids_are_unknown_if_interval_may_have_begun (void **state)
{
  static const uint64_t owners[] = { TEST_SELF, 99 };

  for (size_t i = 0; i < G_N_ELEMENTS (owners); i++)
    {
      struct test_entry *entry = hand_over_and_back (owners[i]);

      read_for (entry, 4000, both, 2);
      test_entry_peer_ack (entry, 20, 1, 5, true);
      test_entry_submit (entry, 8, test_entry_id (entry, 0, "abcdefgi"), 1);
      test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
      test_entry_destroy (entry);
    }
}

/* Guards against a second start of an id that one of two successive owners may have run: the last
 * table doesn't show the first of them. */
static void
test_ids_are_unknown_after_two_owners_in_between (void **state)
{
  struct test_entry *entry = hand_over_and_back (99);

  read_moved_table (entry, 6, TEST_SELF, wall_ms (entry) + 9000);
  test_entry_peer_ack (entry, 20, 1, 6, true);
  read_for (entry, 4000, both, 2);
  test_entry_submit (entry, 8, test_entry_id (entry, 0, "abcdefgi"), 1);
  test_entry_assert_answer (entry, 8, AZ_OUTCOME_UNKNOWN, "outcome_unknown");
  test_entry_destroy (entry);
}

/* Guards against a stop of the only entry that waits for a successor. */
static void
test_last_entry_stops_alone (void **state)
{
  struct test_entry *entry = test_entry_start ();

  az_entry_core_stop (entry->core);
  assert_true (az_entry_core_is_drained (entry->core));
  test_entry_submit (entry, 7, test_entry_id (entry, 0, "abcdefgh"), 1);
  test_entry_assert_answer (entry, 7, AZ_OUTCOME_NOT_RUN, "stopping");
  test_entry_destroy (entry);
}

/* Guards against a roster that keeps dead members: they raise the number that is a majority. */
static void
test_dead_member_is_removed_later (void **state)
{
  struct test_entry *entry = take_over ();

  read_for (entry, 10000, both, 1);
  assert_false (entry->has_written_table);
  read_for (entry, 6000, both, 1);
  assert_true (entry->has_written_table);
  assert_int_equal (entry->written.roster.roster_len, 1);
  test_entry_destroy (entry);
}

/* Guards against an older table or revision that replaces a newer one after a stale store read. */
static void
test_state_never_goes_back (void **state)
{
  struct test_entry *entry = join_cluster (2, 0);
  struct test_configuration withdrawn = { .withdrawn = true };
  struct az_table table;
  json_t *status;

  test_entry_configure (entry, &withdrawn);
  entry->revision = 0;
  test_entry_configure (entry, &(struct test_configuration){ 0 });
  test_entry_table (&table, 2, 1, TEST_SELF);
  test_entry_read_table (entry, &table, both, 2);
  az_owner_table_clear (&table);
  status = az_entry_core_status (entry->core);
  assert_int_equal (json_integer_value (json_object_get (status, "revision")), 2);
  assert_int_equal (json_integer_value (json_object_get (status, "table_version")), 3);
  json_decref (status);
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_table_is_owned_at_once),
    cmocka_unit_test (test_takeover_needs_missing_session),
    cmocka_unit_test (test_next_version_needs_confirmation),
    cmocka_unit_test (test_ids_before_horizon_are_unknown),
    cmocka_unit_test (test_planned_handover_has_no_gap),
    cmocka_unit_test (test_records_of_agents_answer_older_jobs),
    cmocka_unit_test (test_replacement_needs_no_confirmation),
    cmocka_unit_test (test_joining_entry_takes_its_share),
    cmocka_unit_test (test_planned_stop_hands_over),
    cmocka_unit_test (test_simultaneous_stops_end),
    cmocka_unit_test (test_ids_run_if_partitions_return_before_interval_start),
    cmocka_unit_test (test_ids_are_unknown_if_interval_may_have_begun),
    cmocka_unit_test (test_ids_are_unknown_after_two_owners_in_between),
    cmocka_unit_test (test_last_entry_stops_alone),
    cmocka_unit_test (test_dead_member_is_removed_later),
    cmocka_unit_test (test_state_never_goes_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
