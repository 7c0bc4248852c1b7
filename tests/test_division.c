#include "dispatch/division.h"
#include "dispatch/effect_moments.h"
#include "dispatch/interference_decision.h"
#include "testing.h"
#include <glib.h>
#include <math.h>

#define SECOND_US 1000000

static struct az_effect_sum
make_sum (double factor, double weight)
{
  struct az_effect_sum sum = { 0 };

  az_effect_sum_add (&sum, log (factor), weight);
  return sum;
}

static bool
decide (struct az_interference_decision *decision, double factor, double weight, int64_t at_s)
{
  struct az_effect_sum sum = make_sum (factor, weight);

  return az_interference_decide (decision, &sum, at_s * SECOND_US);
}

/* Weight at which the logarithm of @factor is @errors standard errors. */
static double
weight_for (double factor, double errors)
{
  return pow (errors * AZ_EFFECT_SPREAD / log (factor), 2);
}

/* Guards against decisions by a small factor or by chance. */
static void
test_pair_begins (void **state)
{
  struct az_interference_decision decision = { 0 };

  (void)state;
  assert_false (decide (&decision, 1.09, 1e6, 1));
  assert_false (decide (&decision, 2, weight_for (2, 2.9), 2));
  assert_false (decide (&decision, 0.5, 1e6, 3));
  assert_false (decision.is_interfering);
  assert_true (decide (&decision, 2, weight_for (2, 3.1), 4));
  assert_true (decision.is_interfering);
  assert_true (fabs (decision.factor - 2) < 1e-9);
}

/* Guards against a pair that begins and ceases again and again at one limit. */
static void
test_pair_has_hysteresis (void **state)
{
  struct az_interference_decision decision = { 0 };

  (void)state;
  assert_true (decide (&decision, 1.11, 1e6, 1));
  assert_false (decide (&decision, 1.06, 1e6, 30));
  assert_false (decide (&decision, 2, weight_for (2, 1.1), 31));
  assert_true (decide (&decision, 1.04, 1e6, 32));
  assert_false (decision.is_interfering);
  assert_true (decide (&decision, 2, 1e6, 33));
  assert_true (decide (&decision, 2, weight_for (2, 0.9), 50));
  assert_false (decision.is_interfering);
}

/* Guards against a pair that ceases at once, and one that never ceases without evidence. */
static void
test_pair_counts_for_ten_seconds (void **state)
{
  struct az_interference_decision decision = { 0 };
  const struct az_effect_sum nothing = { 0 };

  (void)state;
  assert_true (decide (&decision, 2, 1e6, 1));
  assert_false (az_interference_decide (&decision, &nothing, 10 * SECOND_US));
  assert_true (az_interference_decide (&decision, &nothing, 11 * SECOND_US));
}

/* Guards against a small standard error where upstreams contradict each other. */
static void
test_contradiction_raises_the_error (void **state)
{
  struct az_interference_decision decision = { 0 };
  struct az_effect_sum sum = { 0 };

  (void)state;
  az_effect_sum_add (&sum, 1.2, 1000);
  az_effect_sum_add (&sum, -0.8, 1000);
  assert_false (az_interference_decide (&decision, &sum, 1));
  assert_true (decision.standard_error > 0.9);
}

static void
test_interfering_kinds_get_different_parts (void **state)
{
  /* Kinds 0 and 2 interfere with 3; 1 with none. */
  const bool interferes[4 * 4] = { false, false, false, true, false, false, false, false,
                                   false, false, false, true, true,  false, true,  false };
  unsigned parts[4];

  (void)state;
  assert_int_equal (az_division_assign_parts (interferes, 4, parts), 2);
  assert_int_equal (parts[0], 1);
  assert_int_equal (parts[1], 0);
  assert_int_equal (parts[2], 1);
  assert_int_equal (parts[3], 2);
}

/* Guards against more parts than there is memory for. */
static void
test_parts_are_bounded (void **state)
{
  bool interferes[12 * 12];
  unsigned parts[12];

  (void)state;
  for (unsigned i = 0; i < 12 * 12; i++)
    interferes[i] = i / 12 != i % 12;
  assert_int_equal (az_division_assign_parts (interferes, 12, parts), AZ_PARTS_MAX);
  assert_int_equal (parts[7], 8);
  assert_int_equal (parts[8], 0);
}

/* Guards against a division that moves many upstreams at a time. */
static void
test_shares_approach_in_steps (void **state)
{
  double shares[2] = { 0 };
  const double first[] = { 0.2, 0.8 };
  const double then[] = { 0.33, 0.67 };

  (void)state;
  assert_true (az_division_approach (shares, first, 2, 0.05));
  assert_true (fabs (shares[0] - 0.2) < 1e-9);
  assert_true (az_division_approach (shares, then, 2, 0.05));
  assert_true (fabs (shares[0] - 0.25) < 1e-9);
  assert_true (az_division_approach (shares, then, 2, 0.05));
  assert_true (az_division_approach (shares, then, 2, 0.05));
  assert_true (fabs (shares[0] - 0.33) < 1e-9 && fabs (shares[1] - 0.67) < 1e-9);
  assert_false (az_division_approach (shares, then, 2, 0.05));
}

/* Guards against a new part that displaces the others at once. */
static void
test_part_is_added_in_steps (void **state)
{
  double shares[3] = { 0.5, 0.5 };
  const double targets[] = { 0.3, 0.3, 0.4 };

  (void)state;
  az_division_approach (shares, targets, 3, 0.05);
  assert_true (fabs (shares[0] - 0.45) < 1e-9);
  assert_true (fabs (shares[0] + shares[1] - 0.95) < 1e-9);
  assert_true (fabs (shares[2] - 0.05) < 1e-9);
}

static void
test_positions_are_in_proportion (void **state)
{
  const double shares[] = { 0.25, 0.5, 0.25 };
  unsigned counts[4] = { 0 };

  (void)state;
  for (unsigned i = 0; i < 100; i++)
    counts[az_division_find_part (shares, 3, (i + 0.5) / 100)]++;
  assert_int_equal (counts[1], 25);
  assert_int_equal (counts[2], 50);
  assert_int_equal (counts[3], 25);
  assert_int_equal (az_division_find_part (shares, 3, 1), 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pair_begins),
    cmocka_unit_test (test_pair_has_hysteresis),
    cmocka_unit_test (test_pair_counts_for_ten_seconds),
    cmocka_unit_test (test_contradiction_raises_the_error),
    cmocka_unit_test (test_interfering_kinds_get_different_parts),
    cmocka_unit_test (test_parts_are_bounded),
    cmocka_unit_test (test_shares_approach_in_steps),
    cmocka_unit_test (test_part_is_added_in_steps),
    cmocka_unit_test (test_positions_are_in_proportion),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
