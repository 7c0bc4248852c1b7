#include "dispatch/fair_share.h"
#include "testing.h"
#include <glib.h>

static double
divide (struct az_share *shares, size_t n, double capacity)
{
  double left = az_fair_share_divide (shares, n, capacity);
  double sum = left;

  for (size_t i = 0; i < n; i++)
    {
      assert_true (shares[i].granted >= 0 && shares[i].granted <= shares[i].demand);
      sum += shares[i].granted;
    }
  assert_float_equal (sum, MAX (capacity, 0), 1e-6);
  return left;
}

/* Guards against demands that are cut although the capacity suffices. */
static void
test_all_are_met_below_the_capacity (void **state)
{
  struct az_share shares[] = { { 1, 30, 0 }, { 1, 50, 0 }, { 1, 0, 0 } };

  (void)state;
  assert_float_equal (divide (shares, 3, 100), 20, 1e-6);
  assert_float_equal (shares[1].granted, 50, 1e-6);
}

/* Guards against a large demand that takes the part of a small one. */
static void
test_small_demands_are_met_first (void **state)
{
  struct az_share shares[] = { { 1, 20, 0 }, { 1, 300, 0 }, { 1, 100, 0 } };

  (void)state;
  assert_float_equal (divide (shares, 3, 160), 0, 1e-6);
  assert_float_equal (shares[0].granted, 20, 1e-6);
  assert_float_equal (shares[1].granted, 70, 1e-6);
  assert_float_equal (shares[2].granted, 70, 1e-6);
}

/* Guards against parts that don't follow the weights. */
static void
test_weights_divide_what_is_short (void **state)
{
  struct az_share shares[] = { { 3, 200, 0 }, { 1, 200, 0 }, { 1, 10, 0 } };

  (void)state;
  divide (shares, 3, 110);
  assert_float_equal (shares[0].granted, 75, 1e-6);
  assert_float_equal (shares[1].granted, 25, 1e-6);
  assert_float_equal (shares[2].granted, 10, 1e-6);
}

/* Guards against endless passes and negative parts without a capacity or a demand. */
static void
test_nothing_to_divide (void **state)
{
  struct az_share shares[] = { { 1, 20, 0 }, { 1, 0, 0 } };

  (void)state;
  divide (shares, 2, 0);
  assert_float_equal (shares[0].granted, 0, 1e-6);
  divide (shares, 2, -5);
  assert_float_equal (divide (shares, 0, 7), 7, 1e-6);
}

/* Guards against a part that could be raised without taking from one that is smaller for its
 * weight. */
static void
test_random_demands_are_divided_fairly (void **state)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (7);

  (void)state;
  for (int round = 0; round < 2000; round++)
    {
      struct az_share shares[6];
      size_t n = (size_t)g_rand_int_range (random, 1, 7);

      for (size_t i = 0; i < n; i++)
        shares[i] = (struct az_share){ g_rand_double_range (random, 0.5, 4),
                                       g_rand_double_range (random, 0, 50), 0 };
      divide (shares, n, g_rand_double_range (random, 0, 150));
      for (size_t i = 0; i < n; i++)
        for (size_t k = 0; k < n && shares[i].granted < shares[i].demand - 1e-9; k++)
          assert_true (shares[k].granted / shares[k].weight
                       <= shares[i].granted / shares[i].weight + 1e-6);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_are_met_below_the_capacity),
    cmocka_unit_test (test_small_demands_are_met_first),
    cmocka_unit_test (test_weights_divide_what_is_short),
    cmocka_unit_test (test_nothing_to_divide),
    cmocka_unit_test (test_random_demands_are_divided_fairly),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
