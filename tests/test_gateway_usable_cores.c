#include "gateway/capacity.h"
#include "testing.h"

/* Guards against forecasts by fewer cores while cores suffice, and against a change where the
 * demand of other gateways isn't known. */
static void
test_all_cores_count_while_they_suffice (void **state)
{
  struct az_capacity capacity = { .total_cores = 100, .work_per_s = 100, .free_cores = 10 };

  (void)state;
  capacity.offered_cores = 200;
  assert_float_equal (az_gateway_usable_share (&capacity), 1, 1e-6);
  capacity.offered_cores = 10;
  capacity.peers_offered_cores = 50;
  assert_float_equal (az_gateway_usable_share (&capacity), 1, 1e-6);
}

/* Guards against jobs that wait for cores which are too scattered for a task, protected, or
 * reserved for tasks that will be refused. */
static void
test_unusable_cores_do_not_count_when_cores_are_short (void **state)
{
  struct az_capacity capacity = { .total_cores = 100,
                                  .work_per_s = 100,
                                  .free_cores = 10,
                                  .offered_cores = 10,
                                  .peers_offered_cores = 90 };

  (void)state;
  assert_in_range ((int)(az_gateway_usable_share (&capacity) * 1000), 700, 800);
}

/* Guards against refusals right after a pause of the load, when many cores are free and about to be
 * used. */
static void
test_many_free_cores_are_about_to_be_used (void **state)
{
  struct az_capacity capacity = { .total_cores = 100,
                                  .work_per_s = 100,
                                  .free_cores = 100,
                                  .offered_cores = 10,
                                  .peers_offered_cores = 90 };

  (void)state;
  assert_true (az_gateway_usable_share (&capacity) > 0.6);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_cores_count_while_they_suffice),
    cmocka_unit_test (test_unusable_cores_do_not_count_when_cores_are_short),
    cmocka_unit_test (test_many_free_cores_are_about_to_be_used),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
