#include "dispatch/interference.h"
#include "dispatch/interference_decision.h"
#include "testing.h"
#include <glib.h>
#include <math.h>

#define N_KINDS 3
#define TASKS_PER_S 10
#define ESTIMATE_SPREAD 0.4

/** struct trial - generated observations of tasks of @kind on one upstream */
struct trial
{
  struct az_interference *estimate;
  GRand *random;
  int64_t now_us;
  uint64_t job;
};

static struct trial
begin_trial (uint32_t seed)
{
  return (struct trial){ .estimate = az_interference_create (),
                         .random = g_rand_new_with_seed (seed),
                         .now_us = 1000000 };
}

static void
end_trial (struct trial *trial)
{
  az_interference_destroy (trial->estimate);
  g_rand_free (trial->random);
}

static double
draw_normal (GRand *random)
{
  double radius = sqrt (-2 * log (1 - g_rand_double (random)));

  return radius * cos (2 * G_PI * g_rand_double (random));
}

static struct az_overlap
make_overlap (unsigned kind, double load)
{
  struct az_overlap overlap = { .kind = kind, .load = load };

  for (unsigned i = 0; i < N_KINDS; i++)
    overlap.ids[i] = i + 1;
  return overlap;
}

/* A task of kind 0 beside kind 1 for the part @beside. */
static void
record_task (struct trial *trial, double beside, double load, double log_ratio)
{
  struct az_overlap overlap = make_overlap (0, load);

  trial->now_us += 1000000 / TASKS_PER_S;
  overlap.beside[1] = beside;
  overlap.beside[2] = g_rand_double (trial->random);
  az_interference_record (trial->estimate, ++trial->job, &overlap, log_ratio, trial->now_us);
}

static double
draw_error (const struct trial *trial)
{
  return ESTIMATE_SPREAD * draw_normal (trial->random);
}

static struct az_interference_effect
find_effect (const struct trial *trial, unsigned slowed, unsigned beside)
{
  struct az_interference_effect effects[AZ_MAX_KINDS * AZ_MAX_KINDS];
  unsigned n = az_interference_list (trial->estimate, trial->now_us + 2000000, effects,
                                     G_N_ELEMENTS (effects));

  for (unsigned i = 0; i < n; i++)
    if (effects[i].slowed == slowed && effects[i].beside == beside)
      return effects[i];
  return (struct az_interference_effect){ 0 };
}

static double
standard_error (const struct az_interference_effect *effect)
{
  return AZ_EFFECT_SPREAD / sqrt (effect->weight);
}

static bool
looks_interfering (const struct az_interference_effect *effect)
{
  return effect->weight > 0 && effect->effect >= log (1.1)
         && effect->effect >= 3 * standard_error (effect);
}

/* Guards against an estimate that misses the factor, or gives it to a kind that was merely there.
 */
static void
test_factor_is_found (void **state)
{
  (void)state;
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct trial trial = begin_trial (seed);
      struct az_interference_effect effect;
      struct az_interference_effect other;

      for (unsigned i = 0; i < 90 * TASKS_PER_S; i++)
        {
          double beside = g_rand_double (trial.random);

          record_task (&trial, beside, 0.6, beside * log (1.5) + draw_error (&trial));
        }
      effect = find_effect (&trial, 0, 1);
      other = find_effect (&trial, 0, 2);
      assert_true (fabs (effect.effect - log (1.5)) < 3.5 * standard_error (&effect));
      assert_true (looks_interfering (&effect));
      assert_false (looks_interfering (&other));
      end_trial (&trial);
    }
}

/* Guards against standard errors that are too small, so that errors of estimates look like
 * interference, and against ones so large that nothing is found. */
static void
test_errors_of_estimates_are_no_interference (void **state)
{
  double squares = 0;
  unsigned n_beyond = 0;

  (void)state;
  for (uint32_t seed = 1; seed <= 200; seed++)
    {
      struct trial trial = begin_trial (seed);
      struct az_interference_effect effect;

      for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
        record_task (&trial, g_rand_double (trial.random), 0.6, draw_error (&trial));
      effect = find_effect (&trial, 0, 1);
      n_beyond += fabs (effect.effect) > 3 * standard_error (&effect);
      squares += pow (effect.effect / standard_error (&effect), 2);
      end_trial (&trial);
    }
  assert_true (n_beyond <= 1);
  assert_true (squares / 200 > 0.4 && squares / 200 < 1.2);
}

/* Guards against a slow upstream that is taken for interference: its speed halves every other half
 * minute, and the other kind runs there more often at that time. */
static void
test_slow_upstream_is_no_interference (void **state)
{
  (void)state;
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct trial trial = begin_trial (seed);
      struct az_interference_effect effect;

      for (unsigned i = 0; i < 180 * TASKS_PER_S; i++)
        {
          bool is_slow = i / (30 * TASKS_PER_S) % 2 == 1;
          double beside = pow (g_rand_double (trial.random), is_slow ? 0.5 : 2);

          record_task (&trial, beside, 0.6, (is_slow ? log (2) : 0) + draw_error (&trial));
        }
      effect = find_effect (&trial, 0, 1);
      assert_false (looks_interfering (&effect));
      end_trial (&trial);
    }
}

/* Guards against a few long tasks that decide: 4% of the tasks take 50 times as long as expected,
 * whatever runs beside them. */
static void
test_long_tasks_are_no_interference (void **state)
{
  unsigned n_found = 0;

  (void)state;
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct trial trial = begin_trial (seed);
      struct az_interference_effect effect;

      for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
        {
          bool is_long = g_rand_double (trial.random) < 0.04;

          record_task (&trial, g_rand_double (trial.random), 0.6,
                       (is_long ? log (50) : 0) + draw_error (&trial));
        }
      effect = find_effect (&trial, 0, 1);
      n_found += looks_interfering (&effect);
      end_trial (&trial);
    }
  assert_int_equal (n_found, 0);
}

static double
effect_of_one_long_task (double ratio)
{
  struct trial trial = begin_trial (1);
  struct az_interference_effect effect;

  for (unsigned i = 0; i < 20 * TASKS_PER_S; i++)
    record_task (&trial, i % 2, 0.6, i == 101 ? log (ratio) : 0);
  effect = find_effect (&trial, 0, 1);
  end_trial (&trial);
  return effect.effect;
}

/* Guards against a single ratio that counts for more than a factor of 4. */
static void
test_single_ratio_is_bounded (void **state)
{
  (void)state;
  assert_true (effect_of_one_long_task (3) < effect_of_one_long_task (4));
  assert_true (fabs (effect_of_one_long_task (1000) - effect_of_one_long_task (4)) < 0.002);
}

/* Guards against a full machine that is taken for interference: its tasks take longer, and the
 * other kind runs there more often than on one with few tasks. */
static void
test_full_machine_is_no_interference (void **state)
{
  (void)state;
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct trial trial = begin_trial (seed);
      struct az_interference_effect effect;

      for (unsigned i = 0; i < 120 * TASKS_PER_S; i++)
        {
          double load = 0.35 + 0.6 * g_rand_double (trial.random);
          double slowdown = load < 0.5 ? 0 : load < 0.8 ? log (1.2) : log (1.5);
          double beside = MIN (load * (0.5 + 0.5 * g_rand_double (trial.random)), 1);

          record_task (&trial, beside, load, slowdown + draw_error (&trial));
        }
      effect = find_effect (&trial, 0, 1);
      assert_false (looks_interfering (&effect));
      end_trial (&trial);
    }
}

/* Guards against one wrongly estimated job with many tasks that counts as many observations. */
static void
test_job_counts_once (void **state)
{
  struct trial trial = begin_trial (3);
  struct az_overlap overlap = make_overlap (0, 0.6);
  struct az_interference_effect before;
  struct az_interference_effect after;

  (void)state;
  for (unsigned i = 0; i < 20 * TASKS_PER_S; i++)
    record_task (&trial, i % 4 == 0, 0.6, draw_error (&trial));
  before = find_effect (&trial, 0, 1);
  trial.now_us += 2000000;
  overlap.beside[1] = 1;
  for (unsigned i = 0; i < 40; i++)
    az_interference_record (trial.estimate, 100000, &overlap, log (4), trial.now_us + 1000 * i);
  after = find_effect (&trial, 0, 1);
  assert_true (after.weight < before.weight + 2);
  assert_true (after.effect - before.effect < 0.1);
  assert_false (looks_interfering (&after));
  end_trial (&trial);
}

/* Guards against evidence of a time long ago that decides for ever. */
static void
test_evidence_decays (void **state)
{
  struct trial trial = begin_trial (4);
  double weight;

  (void)state;
  for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
    record_task (&trial, i % 2, 0.6, draw_error (&trial));
  weight = find_effect (&trial, 0, 1).weight;
  trial.now_us += 60000000;
  assert_true (fabs (find_effect (&trial, 0, 1).weight / weight - 0.5) < 0.05);
  trial.now_us += 1200000000;
  assert_true (find_effect (&trial, 0, 1).weight == 0);
  end_trial (&trial);
}

static void
record_inseparable_kinds (struct trial *trial, double factor, double error_scale)
{
  for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
    {
      struct az_overlap overlap = make_overlap (0, 0.6);

      trial->now_us += 100000;
      overlap.beside[1] = overlap.beside[2] = i % 2;
      az_interference_record (trial->estimate, ++trial->job, &overlap,
                              overlap.beside[1] * log (factor) + error_scale * draw_error (trial),
                              trial->now_us);
    }
}

/* Guards against two kinds that always run together and count as interfering both, because their
 * small weights add up over many upstreams where run times are well estimated. */
static void
test_inseparable_kinds_add_up_to_nothing (void **state)
{
  struct az_interference_decision decisions[2] = { 0 };
  struct az_effect_sum sums[2] = { 0 };

  (void)state;
  for (uint32_t seed = 1; seed <= 60; seed++)
    {
      struct trial trial = begin_trial (seed);

      record_inseparable_kinds (&trial, 3, 0.5);
      for (unsigned i = 0; i < 2; i++)
        {
          struct az_interference_effect effect = find_effect (&trial, 0, 1 + i);

          if (effect.weight > 0)
            az_effect_sum_add (&sums[i], effect.effect, effect.weight);
        }
      end_trial (&trial);
    }
  for (unsigned i = 0; i < 2; i++)
    assert_false (az_interference_decide (&decisions[i], &sums[i], 1));
}

/* Guards against effects that are given to the wrong one of two kinds that always run together. */
static void
test_inseparable_kinds_have_little_weight (void **state)
{
  struct trial trial = begin_trial (5);

  (void)state;
  record_inseparable_kinds (&trial, 2, 1);
  assert_true (find_effect (&trial, 0, 1).weight < 1);
  assert_true (find_effect (&trial, 0, 2).weight < 1);
  end_trial (&trial);
}

/* Guards against the evidence of a kind that is counted for the one that takes its place. */
static void
test_replaced_kind_is_forgotten (void **state)
{
  struct trial trial = begin_trial (6);
  struct az_overlap overlap = make_overlap (0, 0.6);

  (void)state;
  for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
    record_task (&trial, i % 2, 0.6, draw_error (&trial));
  overlap.ids[1] = 9;
  az_interference_record (trial.estimate, 1, &overlap, 0, trial.now_us);
  assert_true (find_effect (&trial, 0, 1).weight == 0);
  assert_true (find_effect (&trial, 0, 2).weight > 1);
  overlap.ids[0] = 10;
  az_interference_record (trial.estimate, 1, &overlap, 0, trial.now_us);
  assert_true (find_effect (&trial, 0, 2).weight == 0);
  end_trial (&trial);
}

static void
test_list_prefers_weight (void **state)
{
  struct trial trial = begin_trial (7);
  struct az_interference_effect effect;

  (void)state;
  for (unsigned i = 0; i < 60 * TASKS_PER_S; i++)
    record_task (&trial, i % 2, 0.6, draw_error (&trial));
  assert_int_equal (az_interference_list (trial.estimate, trial.now_us + 2000000, &effect, 1), 1);
  assert_int_equal (effect.beside, 1);
  assert_true (effect.weight > find_effect (&trial, 0, 2).weight);
  end_trial (&trial);
}

static void
test_overlap_is_measured (void **state)
{
  struct az_kind_overlap overlap = { 0 };
  struct az_overlap_mark a;
  struct az_overlap_mark b;
  struct az_overlap_mark c;
  struct az_overlap result;

  (void)state;
  az_kind_overlap_begin (&overlap, "a", 1000, &a);
  az_kind_overlap_set_load (&overlap, 0.5, 1000);
  az_kind_overlap_begin (&overlap, "b", 1100, &b);
  az_kind_overlap_begin (&overlap, "b", 1150, &c);
  assert_true (az_kind_overlap_end (&overlap, &b, 1200, &result));
  assert_true (fabs (result.beside[a.kind] - 1) < 1e-9);
  az_kind_overlap_set_load (&overlap, 1, 1200);
  assert_true (az_kind_overlap_end (&overlap, &c, 1300, &result));
  assert_true (az_kind_overlap_end (&overlap, &a, 1400, &result));
  assert_int_equal (result.kind, a.kind);
  assert_int_equal (result.run_us, 400);
  assert_true (fabs (result.beside[b.kind] - 0.5) < 1e-9);
  assert_true (result.beside[a.kind] == 0);
  assert_true (fabs (result.load - 0.75) < 1e-9);
}

/* Guards against memory that grows with the number of kinds, and against a task whose kind's place
 * was taken meanwhile. */
static void
test_kinds_are_bounded (void **state)
{
  struct az_kind_overlap overlap = { 0 };
  struct az_overlap_mark marks[AZ_MAX_KINDS + 1];
  struct az_overlap_mark late;
  struct az_overlap result;

  (void)state;
  for (unsigned i = 0; i <= AZ_MAX_KINDS; i++)
    {
      g_autofree char *name = g_strdup_printf ("kind%u", i);

      az_kind_overlap_begin (&overlap, name, 1000 + i, &marks[i]);
    }
  assert_false (az_kind_overlap_end (&overlap, &marks[AZ_MAX_KINDS], 2000, &result));
  assert_true (az_kind_overlap_end (&overlap, &marks[3], 2000, &result));
  assert_true (az_kind_overlap_end (&overlap, &marks[5], 3000, &result));
  az_kind_overlap_begin (&overlap, "other", 4000, &late);
  assert_int_equal (late.kind, 3);
  assert_true (az_kind_overlap_end (&overlap, &marks[0], 5000, &result));
  assert_true (fabs (result.beside[3] - 1.0 / 4) < 0.001);
  az_kind_overlap_reset (&overlap);
  assert_false (az_kind_overlap_end (&overlap, &late, 6000, &result));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_factor_is_found),
    cmocka_unit_test (test_errors_of_estimates_are_no_interference),
    cmocka_unit_test (test_slow_upstream_is_no_interference),
    cmocka_unit_test (test_long_tasks_are_no_interference),
    cmocka_unit_test (test_single_ratio_is_bounded),
    cmocka_unit_test (test_full_machine_is_no_interference),
    cmocka_unit_test (test_job_counts_once),
    cmocka_unit_test (test_evidence_decays),
    cmocka_unit_test (test_inseparable_kinds_have_little_weight),
    cmocka_unit_test (test_inseparable_kinds_add_up_to_nothing),
    cmocka_unit_test (test_replaced_kind_is_forgotten),
    cmocka_unit_test (test_list_prefers_weight),
    cmocka_unit_test (test_overlap_is_measured),
    cmocka_unit_test (test_kinds_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
