#include "azurerock/limits.h"
#include "entry_fixture.h"
#include "testing.h"

static const uint64_t both[] = { TEST_SELF, TEST_PEER };

static void
read_for (struct test_entry *entry, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 500)
    {
      test_entry_read (entry, both, 2);
      test_entry_advance (entry, 500);
    }
}

/* Creates an entry that took over all partitions from the peer @age_ms ago. The time since then is
 * the entry's interval, and the table names the peer as the previous owner. */
static struct test_entry *
start_with_interval (int64_t age_ms)
{
  struct test_entry *entry = test_entry_create ();
  struct test_configuration fields = { 0 };
  struct az_table table;

  test_entry_configure (entry, &fields);
  test_entry_table (&table, 3, 2, TEST_SELF);
  for (uint32_t p = 0; p < AZ_PARTITIONS; p++)
    {
      table.partitions.partitions_val[p].previous = TEST_PEER;
      table.partitions.partitions_val[p].from_ms
          = (uint64_t)(az_clock_wall_ms (&entry->clock) - age_ms);
    }
  test_entry_read_table (entry, &table, both, 2);
  az_owner_table_clear (&table);
  test_entry_connect_peer (entry, 20, TEST_PEER);
  test_entry_peer_ack (entry, 20, 1, 3, true);
  return entry;
}

/* Guards against the answer "unknown" for open jobs of the previous owner. A stopping entry hands
 * its partitions over, and the table names only one previous owner. If the entry took them over
 * just before, the handover would remove the entry that owned them until then from the table. */
static void
test_stop_waits_for_recent_interval (void **state)
{
  struct test_entry *entry = start_with_interval (2000);

  az_entry_core_stop (entry->core);
  read_for (entry, 7000);
  assert_false (entry->has_written_table);
  read_for (entry, 2000);
  assert_true (entry->has_written_table);
  test_entry_destroy (entry);
}

/* Guards against a stop that waits although the previous owner has no open jobs. */
static void
test_stop_of_old_interval_is_immediate (void **state)
{
  struct test_entry *entry = start_with_interval (20000);

  az_entry_core_stop (entry->core);
  read_for (entry, 1000);
  assert_true (entry->has_written_table);
  test_entry_destroy (entry);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stop_waits_for_recent_interval),
    cmocka_unit_test (test_stop_of_old_interval_is_immediate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
