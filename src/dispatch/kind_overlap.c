#include "dispatch/kind_overlap.h"
#include <glib.h>
#include <string.h>

static void
advance (struct az_kind_overlap *overlap, int64_t now_us)
{
  int64_t elapsed_us = MAX (now_us - overlap->updated_us, 0);

  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    if (overlap->kinds[i].n_running > 0)
      overlap->kinds[i].busy_us += elapsed_us;
  overlap->load_us += overlap->load * (double)elapsed_us;
  overlap->updated_us = now_us;
}

void
az_kind_overlap_set_load (struct az_kind_overlap *overlap, double load, int64_t now_us)
{
  advance (overlap, now_us);
  overlap->load = load;
}

/* Returns AZ_MAX_KINDS if there is none. */
static unsigned
find_kind (const struct az_kind_overlap *overlap, const char *name)
{
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    if (overlap->kinds[i].id > 0 && !strcmp (overlap->kinds[i].name, name))
      return i;
  return AZ_MAX_KINDS;
}

/* Returns AZ_MAX_KINDS if a task of each kind runs. */
static unsigned
find_replaceable (const struct az_kind_overlap *overlap)
{
  unsigned oldest = AZ_MAX_KINDS;

  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      const struct az_overlap_kind *kind = &overlap->kinds[i];

      if (kind->id == 0)
        return i;
      if (kind->n_running == 0
          && (oldest == AZ_MAX_KINDS || kind->seen_us < overlap->kinds[oldest].seen_us))
        oldest = i;
    }
  return oldest;
}

static unsigned
find_or_add_kind (struct az_kind_overlap *overlap, const char *name)
{
  unsigned index = find_kind (overlap, name);

  if (index < AZ_MAX_KINDS)
    return index;
  index = find_replaceable (overlap);
  if (index == AZ_MAX_KINDS)
    return index;
  overlap->kinds[index] = (struct az_overlap_kind){ .id = ++overlap->last_id };
  g_strlcpy (overlap->kinds[index].name, name, sizeof overlap->kinds[index].name);
  return index;
}

void
az_kind_overlap_begin (struct az_kind_overlap *overlap,
                       const char *name,
                       int64_t now_us,
                       struct az_overlap_mark *mark)
{
  unsigned index;

  advance (overlap, now_us);
  *mark = (struct az_overlap_mark){ .load_us = overlap->load_us, .started_us = now_us };
  index = find_or_add_kind (overlap, name);
  if (index == AZ_MAX_KINDS)
    return;
  mark->kind = index;
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      mark->ids[i] = overlap->kinds[i].id;
      mark->busy_us[i] = overlap->kinds[i].busy_us;
    }
  overlap->kinds[index].n_running++;
  overlap->kinds[index].seen_us = now_us;
}

/* A kind that came into its place during the run was idle before. */
static double
part_beside (const struct az_overlap_kind *kind,
             const struct az_overlap_mark *mark,
             unsigned index,
             int64_t run_us)
{
  int64_t busy_us = kind->busy_us;

  if (kind->id == 0 || index == mark->kind)
    return 0;
  if (kind->id == mark->ids[index])
    busy_us -= mark->busy_us[index];
  return CLAMP ((double)busy_us / (double)run_us, 0, 1);
}

bool
az_kind_overlap_end (struct az_kind_overlap *overlap,
                     const struct az_overlap_mark *mark,
                     int64_t now_us,
                     struct az_overlap *result)
{
  struct az_overlap_kind *kind = &overlap->kinds[mark->kind];

  advance (overlap, now_us);
  if (mark->ids[mark->kind] == 0 || mark->ids[mark->kind] != kind->id)
    return false;
  kind->n_running--;
  kind->seen_us = now_us;
  *result = (struct az_overlap){ .kind = mark->kind, .run_us = MAX (now_us - mark->started_us, 1) };
  result->load = (overlap->load_us - mark->load_us) / (double)result->run_us;
  for (unsigned i = 0; i < AZ_MAX_KINDS; i++)
    {
      result->ids[i] = overlap->kinds[i].id;
      result->beside[i] = part_beside (&overlap->kinds[i], mark, i, result->run_us);
    }
  return true;
}

void
az_kind_overlap_reset (struct az_kind_overlap *overlap)
{
  *overlap = (struct az_kind_overlap){ .last_id = overlap->last_id };
}
