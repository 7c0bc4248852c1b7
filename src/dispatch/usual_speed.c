#include "dispatch/usual_speed.h"
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* The median of fewer jobs would mostly be the error of their estimates. */
#define KNOWN_JOBS_MIN 8

/* Slower hardware counts as slow whatever is usual there, since most jobs would be late on it. The
 * gap between the limits exceeds the error of the median, so that the state doesn't flap. */
#define KNOWN_FROM 0.4
#define KNOWN_UNTIL 0.35

static bool
has_job (const struct az_usual_speed *usual, uint64_t job)
{
  for (uint32_t i = 0; i < usual->n_jobs; i++)
    if (usual->jobs[i] == job)
      return true;
  return false;
}

static int
compare_speeds (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

static double
median_of (const double *speeds, uint32_t count)
{
  double sorted[AZ_USUAL_SPEED_JOBS];

  memcpy (sorted, speeds, count * sizeof sorted[0]);
  qsort (sorted, count, sizeof sorted[0], compare_speeds);
  return sorted[count / 2];
}

void
az_usual_speed_record (struct az_usual_speed *usual, uint64_t job, double speed)
{
  if (has_job (usual, job))
    return;
  usual->jobs[usual->next] = job;
  usual->speeds[usual->next] = speed;
  usual->next = (usual->next + 1) % AZ_USUAL_SPEED_JOBS;
  usual->n_jobs = MIN (usual->n_jobs + 1, AZ_USUAL_SPEED_JOBS);
  usual->median = median_of (usual->speeds, usual->n_jobs);
  usual->is_known = usual->n_jobs >= KNOWN_JOBS_MIN
                    && usual->median >= (usual->is_known ? KNOWN_UNTIL : KNOWN_FROM);
}

double
az_usual_speed_get (const struct az_usual_speed *usual)
{
  return usual->is_known ? MIN (usual->median, 1) : 0;
}
