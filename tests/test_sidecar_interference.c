#include "sidecar_rig.h"
#include "testing.h"
#include <math.h>

/* Sends the request to run the task "job.0.0.index". */
static void
start (struct sidecar_rig *rig, const char *queue, uint64_t job, uint32_t index)
{
  rig->queue = queue;
  sidecar_rig_send_run (rig, 1, job, index);
  sidecar_rig_answer_start (rig, rig->starts->len - 1, AZ_UPSTREAM_OK);
}

/* A task of "fast" runs for @fast_ms, every other time beside one of "other". */
static void
run_round (struct sidecar_rig *rig, uint64_t round, int64_t fast_ms, int64_t beside_ms)
{
  bool is_beside = round % 2 == 0;

  sidecar_rig_send_pulse (rig, 1);
  sidecar_rig_send_pulse (rig, 2);
  sidecar_rig_send_pulse (rig, 3);
  if (is_beside)
    start (rig, "other", 2 * round, 1);
  start (rig, "fast", 2 * round + 1, 0);
  sidecar_rig_advance (rig, is_beside ? beside_ms : fast_ms);
  sidecar_rig_answer_hold (rig, "", is_beside ? "job.0.0.0 job.0.0.1" : "job.0.0.0");
}

static void
run_rounds (struct sidecar_rig *rig, unsigned n, int64_t fast_ms, int64_t beside_ms)
{
  for (uint64_t round = 0; round < n; round++)
    run_round (rig, round, fast_ms, beside_ms);
}

static const struct az_interference_row *
find_row (const struct sidecar_rig *rig, const char *slowed, const char *beside)
{
  for (unsigned i = 0; i < rig->n_interference_rows; i++)
    {
      const struct az_interference_row *row = &rig->interference_rows[i];

      if (!strcmp (rig->interference_kinds[row->slowed], slowed)
          && !strcmp (rig->interference_kinds[row->beside], beside))
        return row;
    }
  return NULL;
}

/* Guards against a gateway of the previous release that gets a message it doesn't know. */
static void
test_nothing_is_sent_without_the_setting (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create ();

  (void)state;
  run_rounds (rig, 100, 100, 150);
  assert_int_equal (rig->starts->len, 150);
  assert_int_equal (rig->n_interference[1], 0);
  sidecar_rig_destroy (rig);
}

/* Guards against an effect that is attributed to the wrong kind, or has the wrong size. */
static void
test_effect_is_reported (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  const struct az_interference_row *row;

  (void)state;
  run_rounds (rig, 300, 100, 150);
  assert_int_equal (rig->interference_life, 1);
  row = find_row (rig, "fast", "other");
  assert_non_null (row);
  assert_true (row->weight_milli > 10000);
  assert_in_range (row->effect_milli, 300, 500);
  sidecar_rig_destroy (rig);
}

/* Guards against an effect beyond a factor of 4, which gateways of this release take for 4: a task
 * that takes twice as long and has another one beside it for less than a sixth of that time. */
static void
test_large_effect_is_bounded (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  const struct az_interference_row *row;

  (void)state;
  for (uint64_t round = 0; round < 200; round++)
    {
      run_round (rig, 2 * round + 1, 100, 100);
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_send_pulse (rig, 2);
      sidecar_rig_send_pulse (rig, 3);
      start (rig, "other", 10000 + 2 * round, 1);
      start (rig, "fast", 10001 + 2 * round, 0);
      sidecar_rig_advance (rig, 30);
      sidecar_rig_answer_hold (rig, "job.0.0.0", "job.0.0.1");
      sidecar_rig_advance (rig, 170);
      sidecar_rig_answer_hold (rig, "", "job.0.0.0");
    }
  row = find_row (rig, "fast", "other");
  assert_non_null (row);
  assert_int_equal (row->effect_milli, 1386);
  sidecar_rig_destroy (rig);
}

static void
test_no_effect_is_reported_as_none (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  const struct az_interference_row *row;

  (void)state;
  run_rounds (rig, 300, 100, 100);
  row = find_row (rig, "fast", "other");
  assert_non_null (row);
  assert_true (abs (row->effect_milli) < 30);
  sidecar_rig_destroy (rig);
}

/* Guards against messages that cost too much, and against gateways that get none. */
static void
test_messages_are_sent_every_five_seconds (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  unsigned n_before;

  (void)state;
  run_rounds (rig, 100, 100, 150);
  n_before = rig->n_interference[1];
  assert_true (n_before > 0);
  run_rounds (rig, 200, 100, 150);
  assert_in_range (rig->n_interference[1] - n_before, 4, 6);
  assert_int_equal (rig->n_interference[1], rig->n_interference[2]);
  sidecar_rig_open_session (rig, 3, "g3");
  run_rounds (rig, 42, 100, 150);
  assert_true (rig->n_interference[3] >= 1);
  sidecar_rig_destroy (rig);
}

/* Guards against a message that repeats what the gateway has got. */
static void
test_unchanged_evidence_is_not_sent (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  unsigned n_before;

  (void)state;
  run_rounds (rig, 100, 100, 150);
  sidecar_rig_advance_answering_holds (rig, 8000, "");
  n_before = rig->n_interference[1];
  sidecar_rig_advance_answering_holds (rig, 20000, "");
  assert_int_equal (rig->n_interference[1], n_before);
  sidecar_rig_open_session (rig, 3, "g3");
  for (unsigned second = 0; second < 6; second++)
    {
      sidecar_rig_send_pulse (rig, 3);
      sidecar_rig_advance_answering_holds (rig, 1000, "");
    }
  assert_int_equal (rig->n_interference[3], 1);
  assert_int_equal (rig->n_interference[1], n_before);
  sidecar_rig_destroy (rig);
}

/* Guards against evidence of a former incarnation that counts for the next one. */
static void
test_next_incarnation_has_no_evidence (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  unsigned n_before;

  (void)state;
  run_rounds (rig, 100, 100, 150);
  sidecar_rig_announce (rig, "i2", 200000, 1, false);
  sidecar_rig_answer_hold (rig, "", "");
  n_before = rig->n_interference[1];
  sidecar_rig_advance_answering_holds (rig, 12000, "");
  assert_int_equal (rig->n_interference[1], n_before);
  run_rounds (rig, 100, 100, 100);
  assert_int_equal (rig->interference_life, 2);
  assert_true (find_row (rig, "fast", "other")->effect_milli < 30);
  sidecar_rig_destroy (rig);
}

/* Guards against evidence of a queue that is sent under the name of the one that has taken its
 * place, before a task of that has ended. */
static void
test_new_queue_has_no_evidence_of_the_former_one (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();

  (void)state;
  run_rounds (rig, 100, 100, 150);
  rig->need.cpu_milli = 1000;
  sidecar_rig_send_pulse (rig, 1);
  for (uint32_t i = 0; i < AZ_MAX_KINDS - 1; i++)
    {
      g_autofree char *name = g_strdup_printf ("new%u", i);

      start (rig, name, 1000 + i, i);
    }
  sidecar_rig_open_session (rig, 3, "g3");
  for (unsigned second = 0; second < 6; second++)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_send_pulse (rig, 3);
      sidecar_rig_advance_answering_holds (rig, 1000, "");
    }
  assert_true (rig->n_interference[1] > 0);
  for (unsigned i = 0; i < rig->n_interference_rows; i++)
    {
      const struct az_interference_row *row = &rig->interference_rows[i];

      assert_false (g_str_has_prefix (rig->interference_kinds[row->slowed], "new"));
      assert_false (g_str_has_prefix (rig->interference_kinds[row->beside], "new"));
    }
  sidecar_rig_destroy (rig);
}

/* Guards against a session that costs more than 200 bytes a second with many long names. */
static void
test_message_is_bounded (void **state)
{
  struct sidecar_rig *rig = sidecar_rig_create_reporting_interference ();
  char names[AZ_MAX_KINDS][AZ_MAX_NAME + 1];

  (void)state;
  rig->need.cpu_milli = 1000;
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      memset (names[i], 'a' + (int)i, AZ_MAX_NAME);
      names[i][AZ_MAX_NAME] = '\0';
    }
  for (unsigned round = 0; round < 400; round++)
    {
      sidecar_rig_send_pulse (rig, 1);
      sidecar_rig_send_pulse (rig, 2);
      for (uint32_t i = 0; i < AZ_MAX_KINDS; i++)
        if ((round * 2654435761u >> (8 + i)) % 3 > 0)
          start (rig, names[i], round * 10 + i, i);
      sidecar_rig_advance (rig, 100);
      sidecar_rig_answer_hold (rig, "",
                               "job.0.0.0 job.0.0.1 job.0.0.2 job.0.0.3 job.0.0.4 job.0.0.5 "
                               "job.0.0.6 job.0.0.7");
    }
  assert_in_range (rig->n_interference_rows, 10, 64);
  assert_in_range (rig->interference_bytes, 500, 1000);
  sidecar_rig_destroy (rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_sent_without_the_setting),
    cmocka_unit_test (test_effect_is_reported),
    cmocka_unit_test (test_large_effect_is_bounded),
    cmocka_unit_test (test_no_effect_is_reported_as_none),
    cmocka_unit_test (test_messages_are_sent_every_five_seconds),
    cmocka_unit_test (test_unchanged_evidence_is_not_sent),
    cmocka_unit_test (test_next_incarnation_has_no_evidence),
    cmocka_unit_test (test_new_queue_has_no_evidence_of_the_former_one),
    cmocka_unit_test (test_message_is_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
