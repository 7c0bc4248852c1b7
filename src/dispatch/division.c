#include "dispatch/division.h"
#include <glib.h>
#include <math.h>
#include <string.h>

static unsigned
find_free_part (const bool *interferes, unsigned n, unsigned kind, const unsigned *parts)
{
  bool is_taken[AZ_PARTS_MAX + 1] = { false };
  unsigned part = 1;

  for (unsigned other = 0; other < kind; other++)
    if (interferes[kind * n + other])
      is_taken[parts[other]] = true;
  while (part <= AZ_PARTS_MAX && is_taken[part])
    part++;
  return part <= AZ_PARTS_MAX ? part : 0;
}

static bool
has_any (const bool *row, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    if (row[i])
      return true;
  return false;
}

unsigned
az_division_assign_parts (const bool *interferes, unsigned n, unsigned *parts)
{
  unsigned n_parts = 0;

  for (unsigned kind = 0; kind < n; kind++)
    {
      parts[kind]
          = has_any (interferes + kind * n, n) ? find_free_part (interferes, n, kind, parts) : 0;
      n_parts = MAX (n_parts, parts[kind]);
    }
  return n_parts;
}

bool
az_division_approach (double *shares, const double *targets, unsigned n_parts, double step)
{
  double end = 0;
  double target_end = 0;
  double former_end = 0;
  double sum = 0;
  bool is_changed = false;

  for (unsigned i = 0; i < n_parts; i++)
    sum += shares[i];
  if (sum <= 0)
    {
      memcpy (shares, targets, n_parts * sizeof *shares);
      return true;
    }
  for (unsigned i = 0; i < n_parts; i++)
    {
      double former_share = shares[i];
      double next_end;

      former_end += former_share;
      target_end += targets[i];
      next_end = MAX (former_end + CLAMP (target_end - former_end, -step, step), end);
      shares[i] = next_end - end;
      end = next_end;
      is_changed = is_changed || fabs (shares[i] - former_share) > 1e-9;
    }
  return is_changed;
}

unsigned
az_division_find_part (const double *shares, unsigned n_parts, double position)
{
  double end = 0;

  for (unsigned part = 1; part < n_parts; part++)
    {
      end += shares[part - 1];
      if (position < end)
        return part;
    }
  return n_parts;
}
