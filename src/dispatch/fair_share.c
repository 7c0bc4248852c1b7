#include "dispatch/fair_share.h"
#include <glib.h>
#include <stdbool.h>

/* Returns what a weight of 1 may get if @left is divided among the shares that aren't met yet. */
static double
find_level (const struct az_share *shares, size_t n, double left)
{
  double weight = 0;

  for (size_t i = 0; i < n; i++)
    if (shares[i].granted < shares[i].demand)
      weight += shares[i].weight;
  return weight > 0 ? left / weight : 0;
}

/* Grants the demands that the level covers. Returns whether there was one. */
static bool
grant_covered (struct az_share *shares, size_t n, double level, double *left)
{
  bool is_any_covered = false;

  for (size_t i = 0; i < n; i++)
    {
      struct az_share *share = &shares[i];

      if (share->granted >= share->demand || share->demand > level * share->weight)
        continue;
      share->granted = share->demand;
      *left -= share->demand;
      is_any_covered = true;
    }
  return is_any_covered;
}

double
az_fair_share_divide (struct az_share *shares, size_t n, double capacity)
{
  double left = MAX (capacity, 0);
  double level;

  for (size_t i = 0; i < n; i++)
    shares[i].granted = 0;
  /* Each pass meets at least one more demand, and what that doesn't use raises the level. */
  do
    level = find_level (shares, n, left);
  while (grant_covered (shares, n, level, &left));
  for (size_t i = 0; i < n; i++)
    if (shares[i].granted < shares[i].demand)
      {
        shares[i].granted = level * shares[i].weight;
        left -= shares[i].granted;
      }
  return MAX (left, 0);
}
