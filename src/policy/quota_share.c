#include "azurerock/quota_share.h"
#include <glib.h>
#include <stdbool.h>

/* All entries together raise their claims by at most quota / 4 per exchange. Reports that are
 * one exchange late then hide at most a quarter of the quota. */
#define RISE_PARTS 4

/* Max-min fair division of the quota among entries by their demand. */
struct division
{
  uint32_t level; /* no entry gets more while another gets less than its demand */
  uint32_t rest;  /* entries that get one slot more than @level, or spare slots */
  bool is_met;    /* all demand fits in the quota; @rest is spare */
};

static uint64_t
demand_of (uint32_t running, uint32_t waiting)
{
  return (uint64_t)running + waiting;
}

static uint64_t
used_at_level (uint64_t own, const struct az_quota_peer *peers, uint32_t n_peers, uint64_t level)
{
  uint64_t used = MIN (own, level);

  for (uint32_t i = 0; i < n_peers; i++)
    used += MIN (demand_of (peers[i].running, peers[i].waiting), level);
  return used;
}

static struct division
divide (uint32_t quota, uint64_t own, const struct az_quota_peer *peers, uint32_t n_peers)
{
  uint64_t low = 0;
  uint64_t high = quota;

  while (low < high)
    {
      uint64_t middle = (low + high + 1) / 2;

      if (used_at_level (own, peers, n_peers, middle) <= quota)
        low = middle;
      else
        high = middle - 1;
    }
  return (struct division){
    .level = (uint32_t)low,
    .rest = (uint32_t)(quota - used_at_level (own, peers, n_peers, low)),
    .is_met = low == quota,
  };
}

static uint32_t
count_above_level (const struct az_quota_peer *peers, uint32_t n_peers, uint32_t level)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < n_peers; i++)
    count += !peers[i].is_after && demand_of (peers[i].running, peers[i].waiting) > level;
  return count;
}

/* Entries before this one in the roster that have yet to claim what the division gives them. */
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
      if (peers[i].is_after)
        continue;
      above += peers[i].claim > division->level;
      below
          += peers[i].claim < MIN (demand_of (peers[i].running, peers[i].waiting), division->level);
    }
  entitled = MIN (entitled, division->rest);
  return below + entitled - MIN (above, entitled);
}

static uint32_t
target_of (const struct division *division,
           uint64_t own,
           const struct az_quota_peer *peers,
           uint32_t n_peers)
{
  if (division->is_met)
    return (uint32_t)own + division->rest / (n_peers + 1);
  if (own <= division->level)
    return (uint32_t)own;
  return division->level + (count_above_level (peers, n_peers, division->level) < division->rest);
}

/* Shares the rise among all entries; slots that can't be divided go to the first of those that
 * need them. */
static uint32_t
rise_of (uint32_t quota, uint64_t unclaimed, uint32_t n_peers, uint32_t n_unmet_before)
{
  uint64_t all = MIN (unclaimed, MAX (quota / RISE_PARTS, 1));
  uint32_t entries = n_peers + 1;

  return (uint32_t)(all / entries) + (n_unmet_before < all % entries);
}

/* Claims that are too high in sum fall in proportion. */
static uint32_t
cut_of (uint64_t excess, uint32_t claim, uint64_t total)
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
  uint64_t own = MIN (demand_of (running, waiting), quota);
  struct division division = divide (quota, own, peers, n_peers);
  uint32_t target = target_of (&division, own, peers, n_peers);
  uint32_t n_before = n_peers + 1;
  uint64_t total = MAX (claim, running);

  for (uint32_t i = 0; i < n_peers; i++)
    total += MAX (peers[i].claim, peers[i].running);
  if (total > quota)
    return MIN (target, claim - cut_of (total - quota, claim, total));
  if (own > claim)
    n_before = count_unmet_before (&division, peers, n_peers);
  return MIN (target, claim + rise_of (quota, quota - total, n_peers, n_before));
}
