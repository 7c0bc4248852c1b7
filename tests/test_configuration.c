#include "azurerock/configuration.h"
#include "testing.h"
#include <string.h>

static const char document[]
    = "{\"revision\":7,\"publish_id\":\"p-1\",\"author\":\"ann\",\"time\":\"2026-12-04T05:00:00Z\","
      "\"message\":\"m\",\"objects\":["
      "{\"kind\":\"domain\",\"name\":\"a\",\"region\":\"r\"},{\"kind\":\"policy\",\"name\":\"p\"},"
      "{\"kind\":\"upstream\",\"name\":\"u\",\"domains\":[\"a\"],\"slots\":8,\"connections\":64},"
      "{\"kind\":\"service\",\"name\":\"s\",\"upstreams\":[\"u\"],\"policy\":\"p\"}]}";

/* Guards against writing a document that an entry can't parse. */
static void
test_configuration_round_trip (void **state)
{
  GError *error = NULL;
  struct az_configuration *first = az_configuration_parse (document, strlen (document), &error);
  g_autofree char *text = NULL;
  struct az_configuration *second;

  assert_non_null (first);
  text = az_configuration_format (first);
  second = az_configuration_parse (text, strlen (text), &error);
  assert_non_null (second);
  assert_int_equal (second->revision, 7);
  assert_string_equal (second->publish_id, "p-1");
  assert_string_equal (second->author, "ann");
  assert_string_equal (second->message, "m");
  assert_int_equal (az_object_set_find_service (second->objects, "s"), 0);
  az_configuration_destroy (first);
  az_configuration_destroy (second);
}

static void
assert_not_parsed (const char *text, int code, const char *message)
{
  g_autoptr (GError) error = NULL;

  assert_null (az_configuration_parse (text, strlen (text), &error));
  assert_true (g_error_matches (error, AZ_CONFIGURATION_ERROR, code));
  assert_non_null (strstr (error->message, message));
}

/* Guards against a damaged document in the store being taken for a configuration. */
static void
test_configuration_errors (void **state)
{
  assert_not_parsed ("", AZ_CONFIGURATION_ERROR_SYNTAX, "line");
  assert_not_parsed ("[]", AZ_CONFIGURATION_ERROR_SYNTAX, "object");
  assert_not_parsed ("{\"revision\":1}", AZ_CONFIGURATION_ERROR_SYNTAX, "publish_id");
  assert_not_parsed ("{\"revision\":0,\"publish_id\":\"\",\"author\":\"\",\"time\":\"\","
                     "\"message\":\"\",\"objects\":[]}",
                     AZ_CONFIGURATION_ERROR_SYNTAX, "at least 1");
  assert_not_parsed ("{\"revision\":1,\"publish_id\":\"\",\"author\":\"\",\"time\":\"\","
                     "\"message\":\"\",\"objects\":[{\"kind\":\"team\",\"name\":\"t\","
                     "\"quota_slots\":1,\"weight\":0,\"services\":[\"s\"]}]}",
                     AZ_CONFIGURATION_ERROR_OBJECTS, "team/t: weight");
}

static void
fill_table (struct az_table *table)
{
  memset (table, 0, sizeof *table);
  table->table_version = 3;
  table->roster.roster_len = 1;
  table->roster.roster_val = g_new0 (az_roster_entry, 1);
  table->roster.roster_val[0]
      = (az_roster_entry){ G_MAXUINT64 - 1,          g_strdup ("e1"),          g_strdup ("a"),
                           g_strdup ("127.0.0.1:1"), g_strdup ("127.0.0.1:2"), 2 };
  table->partitions.partitions_len = AZ_PARTITIONS;
  table->partitions.partitions_val = g_new0 (az_partition, AZ_PARTITIONS);
  for (int i = 0; i < AZ_PARTITIONS; i++)
    table->partitions.partitions_val[i]
        = (az_partition){ G_MAXUINT64 - 1, 1796361241123, G_MAXUINT64 - 5 };
}

/* Guards against 64-bit incarnations losing bits in JSON. */
static void
test_owner_table_round_trip (void **state)
{
  struct az_table table, parsed, copy;
  g_autofree char *text = NULL;
  g_autofree char *again = NULL;

  fill_table (&table);
  text = az_owner_table_format (&table);
  assert_true (az_owner_table_parse (text, strlen (text), &parsed, NULL));
  az_owner_table_copy (&copy, &parsed);
  az_owner_table_clear (&parsed);
  again = az_owner_table_format (&copy);
  assert_string_equal (text, again);
  assert_true (az_owner_table_has_member (&copy, G_MAXUINT64 - 1));
  assert_false (az_owner_table_has_member (&copy, G_MAXUINT64 - 5));
  az_owner_table_clear (&copy);
  az_owner_table_clear (&table);
}

/* Guards against two owners of one job id: an id created exactly at the start of the interval
 * belongs to the new owner only. */
static void
test_owner_depends_on_id_time (void **state)
{
  struct az_table table;
  struct az_table empty = { 0 };

  fill_table (&table);
  assert_true (az_owner_table_find_owner (&table, "1796361241123-q7Jm2kd91x") == G_MAXUINT64 - 1);
  assert_true (az_owner_table_find_owner (&table, "1796361241122-q7Jm2kd91x") == G_MAXUINT64 - 5);
  assert_true (az_owner_table_find_owner (&table, "malformed") == 0);
  assert_true (az_owner_table_find_owner (&empty, "1796361241123-q7Jm2kd91x") == 0);
  az_owner_table_clear (&table);
}

/* Guards against accepting a table with missing partitions or invalid values, and against leaks of
 * a partly parsed table. */
static void
test_owner_table_errors (void **state)
{
  struct az_table table;
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;
  g_autofree char *negative = NULL;
  const char *const wrong[] = { "", "{}", "{\"version\":1,\"roster\":[],\"partitions\":[]}",
                                "{\"version\":0,\"roster\":[],\"partitions\":[]}" };

  for (size_t i = 0; i < G_N_ELEMENTS (wrong); i++)
    {
      g_autoptr (GError) error = NULL;

      assert_false (az_owner_table_parse (wrong[i], strlen (wrong[i]), &table, &error));
      assert_int_equal (error->domain, AZ_CONFIGURATION_ERROR);
    }
  fill_table (&table);
  text = az_owner_table_format (&table);
  az_owner_table_clear (&table);
  parts = g_strsplit (text, "\"18446744073709551610\"", -1);
  negative = g_strjoinv ("\"-5\"", parts);
  assert_false (az_owner_table_parse (negative, strlen (negative), &table, NULL));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_configuration_round_trip),
    cmocka_unit_test (test_configuration_errors),
    cmocka_unit_test (test_owner_table_round_trip),
    cmocka_unit_test (test_owner_depends_on_id_time),
    cmocka_unit_test (test_owner_table_errors),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
