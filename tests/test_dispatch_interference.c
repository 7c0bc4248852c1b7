#include "azurerock/log.h"
#include "emulator/emulator.h"
#include "emulator/ideal.h"
#include "testing.h"
#include <stdlib.h>

#define LOAD 0.7

/* Separation avoids at least this part of the loss that the ideal queue avoids. */
#define AVOIDED_SHARE_MIN 0.5

/* Where no kinds interfere, goodput may fall by this. */
#define CONTROL_LOSS_MAX 0.002

/* Goodput of runs that differ only in chance differs by up to this. */
#define GOODPUT_SPREAD 0.004

/* The environment variable SEEDS sets the number of seeds for runs that are longer than in CI. */
static unsigned
n_seeds (void)
{
  const char *text = getenv ("SEEDS");

  return text ? (unsigned)atoi (text) : 1;
}

/* An upstream whose task ends are recorded. */
struct rig
{
  struct emulator_scenario scenario;
  struct emu_events *events;
  struct emu_upstream *upstream;
  GArray *ends_ms; /* gint64, after the start */
};

static void
record_end (void *context, unsigned upstream)
{
  struct rig *rig = context;
  gint64 end_ms = emu_now_us (rig->events) / 1000 - 1000;

  (void)upstream;
  g_array_append_val (rig->ends_ms, end_ms);
}

static void
rig_init (struct rig *rig)
{
  const struct emu_upstream_observer observer = { record_end, rig };

  rig->scenario = emulator_base_scenario (1.0);
  rig->events = emu_events_create ();
  rig->ends_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  rig->upstream = emu_upstream_create (rig->events, &rig->scenario, 0, &observer);
}

static void
rig_clear (struct rig *rig)
{
  emu_upstream_destroy (rig->upstream);
  emu_events_destroy (rig->events);
  g_array_unref (rig->ends_ms);
}

static void
add_interference (struct emulator_scenario *scenario,
                  unsigned first,
                  unsigned second,
                  double factor)
{
  scenario->interferences[scenario->n_interferences++]
      = (struct emulator_interference){ first, second, factor };
}

struct planned_start
{
  unsigned kind;
  int64_t work_ms;
  char task[8];
};

static void
start_task (void *context, void *data)
{
  const struct planned_start *planned = data;
  struct az_upstream_start start = { .task = (char *)planned->task, .attempt = 1 };
  const struct emu_work work
      = { .kind = planned->kind, .cpu_milli = 1000, .work_us = planned->work_ms * 1000 };
  struct rig *rig = context;

  assert_int_equal (emu_upstream_start (rig->upstream, &start, &work), AZ_UPSTREAM_OK);
}

static void
plan_start (struct rig *rig, int64_t at_ms, const char *task, unsigned kind, int64_t work_ms)
{
  struct planned_start *planned = g_new0 (struct planned_start, 1);

  planned->kind = kind;
  planned->work_ms = work_ms;
  g_strlcpy (planned->task, task, sizeof planned->task);
  emu_schedule (rig->events, emu_now_us (rig->events) + at_ms * 1000, start_task, rig, planned);
}

static void
stop_task (void *context, void *data)
{
  const struct az_upstream_stop stop = { .task = data, .attempt = 1 };
  struct rig *rig = context;

  emu_upstream_stop (rig->upstream, &stop);
}

static void
crash (void *context, void *data)
{
  struct rig *rig = context;

  (void)data;
  emu_upstream_set_down (rig->upstream, true);
  emu_upstream_set_down (rig->upstream, false);
}

static void
assert_ends_ms (struct rig *rig, const gint64 *ends_ms, guint n)
{
  while (emu_run_next_event (rig->events, INT64_MAX))
    continue;
  assert_int_equal (rig->ends_ms->len, n);
  for (guint i = 0; i < n; i++)
    assert_in_range (g_array_index (rig->ends_ms, gint64, i) - ends_ms[i] + 1, 0, 2);
}

/* Guards against a slow-down that depends on the number of tasks, or that applies to progress made
 * before the other kind came or after it left. */
static void
test_kinds_slow_each_other_down (void **state)
{
  struct rig rig;
  static const gint64 ends_ms[] = { 150, 150, 200 };

  (void)state;
  rig_init (&rig);
  add_interference (&rig.scenario, 0, 1, 2);
  plan_start (&rig, 0, "a", 0, 100);
  plan_start (&rig, 0, "b", 0, 100);
  plan_start (&rig, 50, "c", 1, 100);
  assert_ends_ms (&rig, ends_ms, G_N_ELEMENTS (ends_ms));
  /* Two tasks lose 50 ms each, and the third one as much. */
  assert_true (emu_upstream_slowed_core_s (rig.upstream) > 0.149);
  assert_true (emu_upstream_slowed_core_s (rig.upstream) < 0.151);
  rig_clear (&rig);
}

/* Guards against factors that add up or replace each other, and against a slow-down of kinds that
 * don't interfere. */
static void
test_factors_multiply (void **state)
{
  struct rig rig;
  static const gint64 ends_ms[] = { 100, 600, 650, 700 };

  (void)state;
  rig_init (&rig);
  add_interference (&rig.scenario, 0, 1, 2);
  add_interference (&rig.scenario, 2, 0, 3);
  plan_start (&rig, 0, "a", 0, 100);
  plan_start (&rig, 0, "b", 1, 350);
  plan_start (&rig, 0, "c", 2, 300);
  plan_start (&rig, 0, "d", 3, 100);
  assert_ends_ms (&rig, ends_ms, G_N_ELEMENTS (ends_ms));
  rig_clear (&rig);
}

/* Guards against a kind that still slows others down after a crash or the stop of its last task. */
static void
test_slow_down_ends (void **state)
{
  struct rig rig;
  static const gint64 ends_ms[] = { 110, 180, 260 };

  (void)state;
  rig_init (&rig);
  add_interference (&rig.scenario, 0, 1, 2);
  plan_start (&rig, 0, "a", 0, 1000);
  emu_schedule (rig.events, emu_now_us (rig.events) + 10000, crash, &rig, NULL);
  plan_start (&rig, 10, "b", 1, 100);
  plan_start (&rig, 150, "c", 0, 1000);
  emu_schedule (rig.events, emu_now_us (rig.events) + 180000, stop_task, &rig, g_strdup ("c"));
  plan_start (&rig, 150, "d", 1, 95);
  assert_ends_ms (&rig, ends_ms, G_N_ELEMENTS (ends_ms));
  rig_clear (&rig);
}

static void
ignore_end (void *context, void *data)
{
  (void)context;
  (void)data;
}

/* Guards against a loss by which the ideal queue chooses that isn't the one that it causes. */
static void
test_ideal_loss (void **state)
{
  struct emulator_scenario scenario = emulator_base_scenario (1.0);
  struct emu_events *events = emu_events_create ();
  const struct emu_ideal_observer observer = { ignore_end, NULL };
  struct emu_ideal_upstream *upstream
      = emu_ideal_upstream_create (events, &scenario, 32000, &observer);
  struct emu_ideal_run first = { .kind = 0, .cpu_milli = 2000, .remaining_us = 300000, .speed = 1 };
  struct emu_ideal_run second
      = { .kind = 1, .cpu_milli = 1000, .remaining_us = 100000, .speed = 1 };
  double loss_core_s;

  (void)state;
  add_interference (&scenario, 0, 1, 2);
  emu_ideal_upstream_start (upstream, &first);
  assert_true (emu_ideal_upstream_loss (upstream, &first) == 0);
  loss_core_s = emu_ideal_upstream_loss (upstream, &second);
  emu_ideal_upstream_start (upstream, &second);
  while (emu_run_next_event (events, INT64_MAX))
    continue;
  /* The second task takes 200 ms instead of 100 ms, and the first one 400 ms instead of 300 ms. */
  assert_true (ABS (loss_core_s - 0.3) < 0.001);
  assert_true (ABS (emu_ideal_upstream_slowed_core_s (upstream) - 0.3) < 0.001);
  emu_ideal_upstream_destroy (upstream);
  emu_events_destroy (events);
}

/* Guards against a scenario without a loss to avoid, and an ideal queue that doesn't avoid it. */
static void
test_ideal_avoids_loss (void **state)
{
  struct emulator_scenario scenario = emulator_interference_scenario (LOAD, 2.5);
  struct emulator_result together;
  struct emulator_result ideal;
  struct emulator_result unaware;

  (void)state;
  scenario.duration_s = 10;
  together = emulator_run (&scenario, 1);
  ideal = emulator_run_ideal (&scenario, 1);
  unaware = emulator_run_ideal_unaware (&scenario, 1);
  assert_true (ideal.goodput > 0.99);
  assert_true (ideal.slowed_core_s < 0.02 * unaware.slowed_core_s);
  assert_true (unaware.goodput < 0.75);
  assert_true (together.goodput < 0.75);
  assert_int_equal (together.n_overlapping_runs, 0);
  assert_int_equal (together.n_unanswered, 0);
}

static void
assert_same_result (const struct emulator_result *result, const struct emulator_result *expected)
{
  assert_memory_equal (result->kinds, expected->kinds, sizeof result->kinds);
  assert_memory_equal (result->gateways, expected->gateways, sizeof result->gateways);
  assert_true (result->goodput == expected->goodput);
  assert_true (result->wasted_core_s == expected->wasted_core_s);
  assert_int_equal (result->n_sent, expected->n_sent);
  assert_true (result->slowed_core_s == 0);
}

static void
assert_unaffected (const struct emulator_scenario *control, unsigned second, double factor)
{
  struct emulator_scenario scenario = *control;
  struct emulator_result expected = emulator_run (control, 1);
  struct emulator_result ideal = emulator_run_ideal (control, 1);
  struct emulator_result result;

  add_interference (&scenario, 1, second, factor);
  result = emulator_run (&scenario, 1);
  assert_same_result (&result, &expected);
  result = emulator_run_ideal (&scenario, 1);
  assert_same_result (&result, &ideal);
}

/* Guards against a slow-down in the control and by pairs that never meet. */
static void
test_control_is_unaffected (void **state)
{
  struct emulator_scenario scenario = emulator_interference_scenario (LOAD, 1);

  (void)state;
  scenario.duration_s = 4;
  scenario.n_interferences = 0;
  assert_unaffected (&scenario, 2, 1);
  scenario.kinds[3].arrivals_per_s = 0;
  assert_unaffected (&scenario, 3, 2.5);
}

static struct emulator_result
run_separated (const struct emulator_scenario *scenario, unsigned seed)
{
  struct emulator_scenario separated = *scenario;
  struct emulator_result result;

  separated.separate_queues = true;
  result = emulator_run (&separated, seed);
  assert_int_equal (result.n_overlapping_runs, 0);
  assert_int_equal (result.n_unanswered, 0);
  return result;
}

/* Guards against separation that avoids too little of the loss. Goodput can't tell that if tasks
 * are slower but hardly any job late; the core time lost to interference can. At this load the
 * ideal queue earns all and loses nothing (docs/policy.md). It isn't run here: what it avoids is
 * taken to be the whole loss, so that the bound is at least as strict. */
static void
assert_loss_is_avoided (double factor)
{
  struct emulator_scenario scenario = emulator_interference_scenario (LOAD, factor);

  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    {
      struct emulator_result together = emulator_run (&scenario, seed);
      struct emulator_result apart = run_separated (&scenario, seed);
      double avoidable = 1 - together.goodput;

      print_message ("factor %.1f seed %u: goodput %.4f together, %.4f apart (second half %.4f); "
                     "lost %.0f, %.0f core-s\n",
                     factor, seed, together.goodput, apart.goodput, apart.second_half_goodput,
                     together.slowed_core_s, apart.slowed_core_s);
      assert_true (apart.goodput >= together.goodput - GOODPUT_SPREAD);
      if (avoidable > GOODPUT_SPREAD)
        assert_true (apart.goodput - together.goodput >= AVOIDED_SHARE_MIN * avoidable);
      assert_true (together.slowed_core_s - apart.slowed_core_s
                   >= AVOIDED_SHARE_MIN * together.slowed_core_s);
    }
}

static void
test_separation_with_small_factor (void **state)
{
  (void)state;
  assert_loss_is_avoided (1.2);
}

static void
test_separation_with_medium_factor (void **state)
{
  (void)state;
  assert_loss_is_avoided (1.5);
}

static void
test_separation_with_large_factor (void **state)
{
  (void)state;
  assert_loss_is_avoided (2.5);
}

/* Guards against kinds that are separated although they don't interfere, at a cost. Without
 * separation, goodput is at most 1, so that the run without it isn't needed. */
static void
test_separation_costs_nothing_in_control (void **state)
{
  struct emulator_scenario scenario = emulator_interference_scenario (LOAD, 1);

  (void)state;
  for (unsigned seed = 1; seed <= n_seeds (); seed++)
    {
      struct emulator_result apart = run_separated (&scenario, seed);

      assert_true (apart.goodput >= 1 - CONTROL_LOSS_MAX);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kinds_slow_each_other_down),
    cmocka_unit_test (test_factors_multiply),
    cmocka_unit_test (test_slow_down_ends),
    cmocka_unit_test (test_ideal_loss),
    cmocka_unit_test (test_ideal_avoids_loss),
    cmocka_unit_test (test_control_is_unaffected),
    cmocka_unit_test (test_separation_with_small_factor),
    cmocka_unit_test (test_separation_with_medium_factor),
    cmocka_unit_test (test_separation_with_large_factor),
    cmocka_unit_test (test_separation_costs_nothing_in_control),
  };

  az_log_init ("test", LOG_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
