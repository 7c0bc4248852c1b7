#include "azurerock/quota_share.h"
#include "testing.h"
#include <glib.h>

#define ENTRIES_MAX 16

/* Entries that divide the quota of one team by exchanging reports. A report that an entry receives
 * is one exchange late with a probability of @late_percent. */
struct fleet
{
  uint32_t quota;
  uint32_t n;
  struct az_quota_peer now[ENTRIES_MAX];
  struct az_quota_peer before[ENTRIES_MAX];
  uint32_t late_percent;
};

static uint32_t
sum_of_claims (const struct fleet *fleet)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < fleet->n; i++)
    sum += fleet->now[i].claim;
  return sum;
}

static uint32_t
next_claim (const struct fleet *fleet, uint32_t entry, GRand *random)
{
  struct az_quota_peer peers[ENTRIES_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < fleet->n; i++)
    {
      bool is_late = (uint32_t)g_rand_int_range (random, 0, 100) < fleet->late_percent;

      if (i == entry)
        continue;
      peers[n] = is_late ? fleet->before[i] : fleet->now[i];
      peers[n++].has_higher_incarnation = i > entry;
    }
  return az_quota_share (fleet->quota, fleet->now[entry].claim, fleet->now[entry].running,
                         fleet->now[entry].waiting, peers, n);
}

/* Runs one exchange. All entries compute their new claims simultaneously, from reports that don't
 * show the new claims of the others, which is the worst case for the sum of the claims. */
static void
exchange (struct fleet *fleet, GRand *random)
{
  uint32_t claims[ENTRIES_MAX];

  for (uint32_t i = 0; i < fleet->n; i++)
    claims[i] = next_claim (fleet, i, random);
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      struct az_quota_peer *entry = &fleet->now[i];
      uint32_t demand = entry->running + entry->waiting;

      fleet->before[i] = *entry;
      entry->claim = claims[i];
      entry->running = MAX (MIN (demand, claims[i]), entry->running / 2);
      entry->waiting = demand - entry->running;
    }
}

static void
change_demand (struct fleet *fleet, GRand *random)
{
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      int kind = g_rand_int_range (random, 0, 4);
      uint32_t limit = kind == 0 ? 1 : kind == 1 ? 5 : 4 * fleet->quota + 1;

      fleet->now[i].waiting = (uint32_t)g_rand_int_range (random, 0, (gint32)limit);
      if (g_rand_boolean (random))
        fleet->now[i].running = 0;
    }
}

static void
make_fleet (struct fleet *fleet, GRand *random)
{
  *fleet = (struct fleet){ .quota = (uint32_t)g_rand_int_range (random, 1, 400),
                           .n = (uint32_t)g_rand_int_range (random, 1, ENTRIES_MAX + 1),
                           .late_percent = (uint32_t)g_rand_int_range (random, 0, 101) };
}

/* Guards against claims that exceed the quota by more than 25%, and against any excess that lasts
 * for more than two exchanges. Reports are up to one exchange late, and demand changes at any time.
 * Quotas below 16 slots may be exceeded by more than 25% for up to two exchanges, because one slot
 * per entry is more than 25% of such a quota. */
static void
test_stale_claims_are_bounded (void **state)
{
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct fleet fleet;
      int over = 0;
      int over_quarter = 0;

      make_fleet (&fleet, random);
      for (int i = 0; i < 100; i++)
        {
          if (g_rand_int_range (random, 0, 4) == 0)
            change_demand (&fleet, random);
          exchange (&fleet, random);
          over = sum_of_claims (&fleet) > fleet.quota ? over + 1 : 0;
          over_quarter = 4 * sum_of_claims (&fleet) > 5 * fleet.quota ? over_quarter + 1 : 0;
          if (over > 2 || over_quarter > 2 || (over_quarter && fleet.quota >= 16))
            fail_msg ("seed %u: %u claimed of %u", seed, sum_of_claims (&fleet), fleet.quota);
        }
      g_rand_free (random);
    }
}

/* Guards against quota that stays unused while tasks wait: with steady demand, after 8 exchanges
 * per entry and 12 more, either the whole quota is claimed or all demand is met. */
static void
test_demand_gets_the_whole_quota (void **state)
{
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct fleet fleet;
      uint64_t demand = 0;
      uint64_t given = 0;

      make_fleet (&fleet, random);
      change_demand (&fleet, random);
      for (uint32_t i = 0; i < 8 * fleet.n + 12; i++)
        exchange (&fleet, random);
      for (uint32_t i = 0; i < fleet.n; i++)
        {
          uint64_t need = (uint64_t)fleet.now[i].running + fleet.now[i].waiting;

          demand += need;
          given += MIN (need, fleet.now[i].claim);
        }
      if (given != MIN (demand, fleet.quota))
        fail_msg ("seed %u: %u of %u given, demand %u, %u entries", seed, (unsigned)given,
                  fleet.quota, (unsigned)demand, fleet.n);
      g_rand_free (random);
    }
}

/* Guards against new tasks that must wait for an exchange although the quota is unused. */
static void
test_idle_quota_is_spread (void **state)
{
  GRand *random = g_rand_new_with_seed (1);
  struct fleet fleet = { .quota = 88, .n = 3 };

  for (int i = 0; i < 36; i++)
    exchange (&fleet, random);
  for (int i = 0; i < 3; i++)
    assert_in_range (fleet.now[i].claim, 25, 30);
  g_rand_free (random);
}

/* Guards against an entry that keeps the whole quota after tasks have arrived at another one. */
static void
test_later_demand_gets_its_share (void **state)
{
  GRand *random = g_rand_new_with_seed (1);
  struct fleet fleet = { .quota = 90, .n = 3, .now = { { .waiting = 1000 } } };

  for (int i = 0; i < 36; i++)
    exchange (&fleet, random);
  assert_int_equal (fleet.now[0].claim, 90);
  fleet.now[1].waiting = 1000;
  for (int i = 0; i < 36; i++)
    exchange (&fleet, random);
  assert_int_equal (fleet.now[0].claim, 45);
  assert_int_equal (fleet.now[1].claim, 45);
  g_rand_free (random);
}

/* Guards against a single entry that claims more or less than the quota. */
static void
test_single_entry (void **state)
{
  uint32_t claim = 0;

  assert_int_equal (az_quota_share (0, 5, 0, 100, NULL, 0), 0);
  for (int i = 0; i < 20; i++)
    claim = az_quota_share (7, claim, 0, UINT32_MAX, NULL, 0);
  assert_int_equal (claim, 7);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stale_claims_are_bounded),
    cmocka_unit_test (test_demand_gets_the_whole_quota),
    cmocka_unit_test (test_idle_quota_is_spread),
    cmocka_unit_test (test_later_demand_gets_its_share),
    cmocka_unit_test (test_single_entry),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
