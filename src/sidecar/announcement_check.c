#include "sidecar/state.h"
#include <string.h>

/* Largest time by which the clock that an announcement states may be ahead of that of the
 * upstream's last answer: the answer may have waited while this process was paused. */
#define CLOCK_AHEAD_MAX_MS 5000

/* Service and labels don't change during an incarnation. Other ones than those of the announcement
 * that was taken over last are believed only if that has not been repeated for this time, in which
 * an upstream announces itself several times. Otherwise an odd first announcement would be kept. */
#define DESCRIPTION_VALID_MS 5000

bool
az_sidecar_is_clock_plausible (int64_t clock_ms,
                               int64_t seen_clock_ms,
                               int64_t seen_us,
                               int64_t now_us)
{
  double passed_ms = (double)(now_us - seen_us) / AZ_US_PER_MS / (1 - AZ_LEASE_CLOCK_DRIFT);

  return (double)clock_ms <= (double)seen_clock_ms + passed_ms + CLOCK_AHEAD_MAX_MS;
}

bool
az_sidecar_has_labels (const struct life *life, const GPtrArray *labels)
{
  if (life->labels->len != labels->len)
    return false;
  for (guint i = 0; i < labels->len; i++)
    if (strcmp (life->labels->pdata[i], labels->pdata[i]) != 0)
      return false;
  return true;
}

/* The clock of an incarnation only rises, so it orders the announcements also after one with a far
 * too high sequence number. */
static bool
is_outdated (const struct life *life, const struct az_upstream_announcement *announcement)
{
  if (!life->is_announced)
    return false;
  if (announcement->clock_ms >= 0 && life->announced_clock_ms >= 0
      && announcement->clock_ms != life->announced_clock_ms)
    return announcement->clock_ms < life->announced_clock_ms;
  return announcement->sequence <= life->sequence;
}

const char *
az_sidecar_find_contradiction (const struct az_sidecar *sidecar,
                               const struct az_upstream_announcement *announcement)
{
  const struct life *life = &sidecar->life;
  const struct az_lease *lease = &sidecar->lease;
  int64_t age_us = sidecar->now_us - life->announced_us;

  if (is_outdated (life, announcement))
    return "outdated";
  if (lease->is_known && announcement->clock_ms >= 0
      && !az_sidecar_is_clock_plausible (announcement->clock_ms, lease->clock_ms,
                                         lease->observed_us, sidecar->now_us))
    return "clock-ahead";
  if (strcmp (life->address, announcement->address) != 0)
    return "other-address";
  if (!life->is_announced || age_us > DESCRIPTION_VALID_MS * AZ_US_PER_MS)
    return NULL;
  if (strcmp (life->service, announcement->service) != 0)
    return "other-service";
  if (!az_sidecar_has_labels (life, announcement->labels))
    return "other-labels";
  return NULL;
}
