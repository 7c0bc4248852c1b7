#ifndef AZUREROCK_DISPATCH_KIND_OVERLAP_H
#define AZUREROCK_DISPATCH_KIND_OVERLAP_H

#include "proto/gen/azurerock.h"
#include <stdbool.h>
#include <stdint.h>

/** struct az_overlap_kind - one kind of task
 * @id: 0 if the place is free; another kind in this place gets another id
 * @busy_us: accumulated time during which at least one of its tasks ran
 */
struct az_overlap_kind
{
  char name[AZ_MAX_NAME + 1];
  uint32_t id;
  uint32_t n_running;
  int64_t busy_us;
  int64_t seen_us;
};

/** struct az_kind_overlap - which kinds of task run at the same time on an upstream; starts zeroed
 * @load_us: integral over time of the part of the cores that were in use
 */
struct az_kind_overlap
{
  struct az_overlap_kind kinds[AZ_MAX_KINDS];
  uint32_t last_id;
  double load;
  double load_us;
  int64_t updated_us;
};

/** struct az_overlap_mark - the sums at the start of a task
 * @kind: index of its kind; @ids[@kind] is 0 if it isn't tracked
 */
struct az_overlap_mark
{
  unsigned kind;
  uint32_t ids[AZ_MAX_KINDS];
  int64_t busy_us[AZ_MAX_KINDS];
  double load_us;
  int64_t started_us;
};

/** struct az_overlap - what ran beside a task
 * @beside: part of its run time during which a task of each other kind ran
 * @load: mean part of the cores in use
 */
struct az_overlap
{
  unsigned kind;
  uint32_t ids[AZ_MAX_KINDS];
  double beside[AZ_MAX_KINDS];
  double load;
  int64_t run_us;
};

/** az_kind_overlap_set_load - call when the part of the cores in use has changed */
void
az_kind_overlap_set_load (struct az_kind_overlap *overlap, double load, int64_t now_us);

/** az_kind_overlap_begin - a task starts; a new kind replaces the least recently seen one without
 * running tasks, or isn't tracked if there is none */
void
az_kind_overlap_begin (struct az_kind_overlap *overlap,
                       const char *name,
                       int64_t now_us,
                       struct az_overlap_mark *mark);

/** az_kind_overlap_end - a task ends
 *
 * Return: false if its kind isn't tracked.
 */
bool
az_kind_overlap_end (struct az_kind_overlap *overlap,
                     const struct az_overlap_mark *mark,
                     int64_t now_us,
                     struct az_overlap *result);

/** az_kind_overlap_reset - forgets all kinds; marks made before are invalid */
void
az_kind_overlap_reset (struct az_kind_overlap *overlap);

#endif
