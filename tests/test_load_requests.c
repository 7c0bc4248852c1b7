#include "azurerock/job_id.h"
#include "load/metrics.h"
#include "load/request.h"
#include "testing.h"
#include <string.h>

#define ID "1796361241123-abcdefghijklmnop"

static enum az_load_outcome
parse_answer (const char *text, uint32_t n_tasks, bool *mismatched)
{
  char *code = NULL;
  enum az_load_outcome outcome
      = az_load_answer_parse (text, strlen (text), ID, n_tasks, mismatched, &code);

  g_free (code);
  return outcome;
}

/* Guards against job ids that entries refuse, and against repeated ids. */
static void
test_ids_are_valid (void **state)
{
  GRand *random = g_rand_new_with_seed (1);
  char first[AZ_LOAD_ID_SIZE];
  char second[AZ_LOAD_ID_SIZE];
  int64_t time_ms;

  az_load_request_create_id (first, 1796361241123, random);
  az_load_request_create_id (second, 1796361241123, random);
  assert_true (az_job_id_parse (first, &time_ms));
  assert_int_equal (time_ms, 1796361241123);
  assert_string_not_equal (first, second);
  g_rand_free (random);
}

/* Guards against bodies that entries can't parse, and against echoes that don't identify the task.
 */
static void
test_request_body (void **state)
{
  const int64_t runs[] = { 50000, 0 };
  struct az_load_request request = { .id = ID,
                                     .team = "a",
                                     .service = "b",
                                     .deadline_ms = 900,
                                     .attempt = 2,
                                     .run_times_us = runs,
                                     .n_tasks = 2 };
  GString *body = g_string_new (NULL);

  az_load_request_append_body (&request, body);
  assert_string_equal (body->str,
                       "{\"id\":\"" ID "\",\"team\":\"a\",\"service\":\"b\",\"attempt\":2,"
                       "\"deadline_ms\":900,\"tasks\":["
                       "{\"payload\":{\"sleep_ms\":50,\"echo\":\"" ID "/0\"}},"
                       "{\"payload\":{\"sleep_ms\":0,\"echo\":\"" ID "/1\"}}]}");
  g_string_free (body, TRUE);
}

/* Guards against accepting an answer that belongs to another job, is incomplete or has its results
 * in another order. */
static void
test_foreign_answers_are_mismatches (void **state)
{
  static const char *const wrong[] = {
    "{\"id\":\"" ID "\",\"outcome\":\"done\",\"results\":[\"" ID "/1\",\"" ID "/0\"]}",
    "{\"id\":\"" ID "\",\"outcome\":\"done\",\"results\":[\"" ID "/0\"]}",
    "{\"id\":\"" ID "\",\"outcome\":\"done\"}",
    "{\"id\":\"" ID "\",\"outcome\":\"done\",\"results\":[\"" ID "/0\",null]}",
    "{\"outcome\":\"done\",\"results\":[\"" ID "/0\",\"" ID "/1\"]}",
    "{\"id\":\"1796361241123-abcdefghijklmnoq\",\"outcome\":\"unknown\"}",
  };
  bool mismatched = false;

  for (size_t i = 0; i < G_N_ELEMENTS (wrong); i++)
    {
      parse_answer (wrong[i], 2, &mismatched);
      assert_true (mismatched);
    }
  assert_int_equal (parse_answer ("{\"id\":\"" ID "\",\"outcome\":\"done\",\"results\":[\"" ID
                                  "/0\"]}",
                                  1, &mismatched),
                    AZ_LOAD_DONE);
  assert_false (mismatched);
}

/* Guards against malformed answers, or answers that aren't final, being counted as an outcome. */
static void
test_malformed_answers (void **state)
{
  bool mismatched = false;

  assert_int_equal (parse_answer ("{", 1, &mismatched), AZ_LOAD_INVALID);
  assert_int_equal (parse_answer ("{\"outcome\":\"pending\"}", 1, &mismatched), AZ_LOAD_INVALID);
  assert_int_equal (parse_answer ("{\"outcome\":\"not_run\"}", 1, &mismatched), AZ_LOAD_NOT_RUN);
  assert_false (mismatched);
}

static struct az_load_metrics *
make_metrics (int factor)
{
  struct az_load_metrics *metrics = az_load_metrics_create ();
  g_autofree char *entry
      = g_strdup_printf ("# HELP azurerock_messages_sent_total text with 99\n"
                         "azurerock_messages_sent_total{kind=\"start\"} %d\n"
                         "azurerock_messages_received_total{kind=\"result\"} %d\n"
                         "azurerock_messages_sent_total{kind=\"answer\"} %d\n"
                         "azurerock_messages_received_total{kind=\"answer\"} %d\n"
                         "azurerock_messages_received_total{kind=\"heartbeat\"} %d\n"
                         "azurerock_wasted_messages_total{cause=\"late\"} %d\n",
                         10 * factor, 9 * factor, 4 * factor, 4 * factor, 7 * factor, 2 * factor);
  g_autofree char *agent = g_strdup_printf (
      "azurerock_agent_starts_total %d\nazurerock_messages_sent_total{kind=\"result\"} %d\n",
      10 * factor, 9 * factor);

  az_load_metrics_add (metrics, entry, strlen (entry));
  az_load_metrics_add (metrics, agent, strlen (agent));
  return metrics;
}

/* Guards against counting a message at its sender and at its receiver, and against counting
 * heartbeats among the messages whose rate depends on the load. */
static void
test_each_message_counts_once (void **state)
{
  struct az_load_metrics *before = make_metrics (1);
  struct az_load_metrics *after = make_metrics (3);
  struct az_load_messages messages = az_load_metrics_count_messages (before, after, NULL);

  assert_int_equal (messages.n_others, 2 * (10 + 9 + 4));
  assert_int_equal (messages.n_fixed_rate, 2 * 7);
  assert_int_equal (messages.n_wasted, 2 * 2);
  assert_int_equal (messages.n_starts, 2 * 10);
  az_load_metrics_destroy (before);
  az_load_metrics_destroy (after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ids_are_valid),
    cmocka_unit_test (test_request_body),
    cmocka_unit_test (test_foreign_answers_are_mismatches),
    cmocka_unit_test (test_malformed_answers),
    cmocka_unit_test (test_each_message_counts_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
