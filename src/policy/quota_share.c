#include "azurerock/quota_share.h"
#include <glib.h>
#include <stdbool.h>

/* All entries together raise their claims by at most quota / 4 per exchange, so that reports which
 * are one exchange late hide at most a quarter of the quota. */
#define RISE_DIVISOR 4

/* Max-min fair division of the quota among entries by their demand. */
struct division
{
  uint32_t level;     /* slots up to which the demand of each entry is met */
  uint32_t remainder; /* number of entries with @level + 1 slots; if @is_met, of spare slots */
  bool is_met;        /* the quota covers all demand */
};

static uint64_t
sum_demand (uint32_t running, uint32_t waiting)
{
  return (uint64_t)running + waiting;
}

static uint64_t
sum_used_at_level (uint64_t own,
                   const struct az_quota_peer *peers,
                   uint32_t n_peers,
                   uint64_t level)
{
  uint64_t used = MIN (own, level);

  for (uint32_t i = 0; i < n_peers; i++)
    used += MIN (sum_demand (peers[i].running, peers[i].waiting), level);
  return used;
}

static struct division
compute_division (uint32_t quota, uint64_t own, const struct az_quota_peer *peers, uint32_t n_peers)
{
  uint64_t low = 0;
  uint64_t high = quota;

  while (low < high)
    {
      uint64_t middle = (low + high + 1) / 2;

      if (sum_used_at_level (own, peers, n_peers, middle) <= quota)
        low = middle;
      else
        high = middle - 1;
    }
  return (struct division){
    .level = (uint32_t)low,
    .remainder = (uint32_t)(quota - sum_used_at_level (own, peers, n_peers, low)),
    .is_met = low == quota,
  };
}

static uint32_t
count_above_level (const struct az_quota_peer *peers, uint32_t n_peers, uint32_t level)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < n_peers; i++)
    count += !peers[i].has_higher_incarnation
             && sum_demand (peers[i].running, peers[i].waiting) > level;
  return count;
}

/* Counts the entries with a lower incarnation than this one whose claim is below their share. */
static uint32_t
count_unmet_before (const struct division *division,
                    const struct az_quota_peer *peers,
                    uint32_t n_peers)
{
  uint32_t entitled = count_above_level (peers, n_peers, division->level);
  uint32_t above = 0;
  uint32_t below = 0;

  for (uint32_t i = 0; i < n_peers; i++)
    {
      if (peers[i].has_higher_incarnation)
        continue;
      above += peers[i].claim > division->level;
      below += peers[i].claim
               < MIN (sum_demand (peers[i].running, peers[i].waiting), division->level);
    }
  entitled = MIN (entitled, division->remainder);
  return below + entitled - MIN (above, entitled);
}

static uint32_t
compute_target (const struct division *division,
                uint64_t own,
                const struct az_quota_peer *peers,
                uint32_t n_peers)
{
  if (division->is_met)
    return (uint32_t)own + division->remainder / (n_peers + 1);
  if (own <= division->level)
    return (uint32_t)own;
  return division->level
         + (count_above_level (peers, n_peers, division->level) < division->remainder);
}

/* Divides the permitted rise equally among all entries. Slots that can't be divided go to those
 * entries that need them and have the lowest incarnations. */
static uint32_t
compute_rise (uint32_t quota, uint64_t unclaimed, uint32_t n_peers, uint32_t n_unmet_before)
{
  uint64_t all = MIN (unclaimed, MAX (quota / RISE_DIVISOR, 1));
  uint32_t entries = n_peers + 1;

  return (uint32_t)(all / entries) + (n_unmet_before < all % entries);
}

/* When the claims exceed the quota in sum, each is cut in proportion to its size. */
static uint32_t
compute_cut (uint64_t excess, uint32_t claim, uint64_t total)
{
  uint64_t cut = (excess * claim + total - 1) / total;

  return (uint32_t)MIN (cut, claim);
}

uint32_t
az_quota_share (uint32_t quota,
                uint32_t claim,
                uint32_t running,
                uint32_t waiting,
                const struct az_quota_peer *peers,
                uint32_t n_peers)
{
  uint64_t own = MIN (sum_demand (running, waiting), quota);
  struct division division = compute_division (quota, own, peers, n_peers);
  uint32_t target = compute_target (&division, own, peers, n_peers);
  uint32_t n_unmet_before = n_peers + 1;
  uint64_t total = MAX (claim, running);

  for (uint32_t i = 0; i < n_peers; i++)
    total += MAX (peers[i].claim, peers[i].running);
  if (total > quota)
    return MIN (target, claim - compute_cut (total - quota, claim, total));
  if (own > claim)
    n_unmet_before = count_unmet_before (&division, peers, n_peers);
  return MIN (target, claim + compute_rise (quota, quota - total, n_peers, n_unmet_before));
}
