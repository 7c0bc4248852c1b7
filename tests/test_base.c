#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/job_id.h"
#include "azurerock/table.h"
#include "testing.h"

/* Guards against rounding negative differences towards zero: a deadline that passed less than a
 * millisecond ago would count as not yet passed. */
static void
test_time_difference_rounds_down (void **state)
{
  struct timespec a = { 10, 0 };
  struct timespec b = { 10, 1 };

  assert_int_equal (az_time_diff_ms (a, b), -1);
  assert_int_equal (az_time_diff_ms (b, a), 0);
  assert_int_equal (az_time_diff_us (az_time_add_us (a, 1500), a), 1500);
  assert_int_equal (az_time_compare (az_time_add_ms (a, -1), a), -1);
}

/* Guards against a handle of a removed row finding the row that reuses its slot. */
static void
test_stale_handle_finds_nothing (void **state)
{
  struct az_table_rows *rows = az_table_rows_create (sizeof (int));
  uint32_t first = az_table_rows_add (rows, NULL);
  uint32_t second;

  az_table_rows_remove (rows, first);
  second = az_table_rows_add (rows, NULL);
  assert_null (az_table_rows_get (rows, first));
  assert_non_null (az_table_rows_get (rows, second));
  assert_null (az_table_rows_get (rows, 0));
  assert_int_equal (az_table_rows_next (rows, 0), second);
  assert_int_equal (az_table_rows_next (rows, second), 0);
  assert_int_equal (az_table_rows_count (rows), 1);
  az_table_rows_destroy (rows);
}

/* Guards against accepting malformed ids: without a time, an id can't be compared with the owner
 * table. */
static void
test_job_id_syntax (void **state)
{
  int64_t time_ms;

  assert_true (az_job_id_parse ("1796361241123-q7Jm2kd91x", &time_ms));
  assert_int_equal (time_ms, 1796361241123);
  assert_false (az_job_id_parse ("179636124112-q7Jm2kd91x", &time_ms));
  assert_false (az_job_id_parse ("1796361241123-short", &time_ms));
  assert_false (az_job_id_parse ("1796361241123-q7Jm2kd9 x", &time_ms));
  assert_false (az_job_id_parse ("", &time_ms));
}

/* Guards against two counters for one name, which would split its value between them. */
static void
test_counter_names_are_unique (void **state)
{
  struct az_counters *counters = az_counters_create ();
  GString *text = g_string_new (NULL);
  uint32_t a = az_counters_register (counters, "azurerock_x_total{k=\"v\"}", "help");

  assert_int_equal (az_counters_register (counters, "azurerock_x_total{k=\"v\"}", "help"), a);
  az_counters_add (counters, a, 2);
  az_counters_format (counters, text);
  assert_string_equal (text->str, "# HELP azurerock_x_total help\nazurerock_x_total{k=\"v\"} 2\n");
  g_string_free (text, TRUE);
  az_counters_destroy (counters);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_time_difference_rounds_down),
    cmocka_unit_test (test_stale_handle_finds_nothing),
    cmocka_unit_test (test_job_id_syntax),
    cmocka_unit_test (test_counter_names_are_unique),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
