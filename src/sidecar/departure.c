#include "azurerock/log.h"
#include "sidecar/state.h"
#include <string.h>

/* The sidecar's idea of the upstream's clock may be behind by the age of an answer. */
#define CLOCK_MARGIN_MS 500

/* An upstream drains before it leaves, so a departure after that is final. */
static int64_t
departure_clock_ms (const struct az_sidecar *sidecar)
{
  if (sidecar->life.is_draining || !sidecar->lease.is_known)
    return -1;
  return az_lease_end_clock (&sidecar->lease, 0, az_now_us (sidecar->clock));
}

void
az_sidecar_upstream_left (struct az_sidecar *sidecar, const char *instance, int64_t started_ms)
{
  const struct life *life = &sidecar->life;

  if (life->number == 0 || strcmp (life->instance, instance) != 0)
    return;
  if (started_ms > 0 && started_ms != life->started_ms
      && started_ms <= MAX (life->started_ms, life->former_started_ms))
    {
      az_log (LOG_INFO,
              "event=departure-ignored instance=%s born_ms=%" G_GINT64_FORMAT
              " present_born_ms=%" G_GINT64_FORMAT,
              instance, started_ms, life->started_ms);
      return;
    }
  sidecar->life.has_left = true;
  sidecar->life.left_clock_ms = departure_clock_ms (sidecar);
  az_log (LOG_NOTICE, "event=upstream-left instance=%s", instance);
}

/* An upstream writes no heartbeat after its departure. */
static bool
is_disproved (const struct life *life, const struct az_upstream_announcement *announcement)
{
  return life->has_left && life->left_clock_ms >= 0
         && announcement->clock_ms > life->left_clock_ms + CLOCK_MARGIN_MS;
}

void
az_sidecar_review_departure (struct az_sidecar *sidecar,
                             const struct az_upstream_announcement *announcement)
{
  struct life *life = &sidecar->life;

  if (announcement->is_draining)
    life->left_clock_ms = -1;
  if (!is_disproved (life, announcement))
    return;
  life->has_left = false;
  az_log (LOG_WARNING,
          "event=departure-revoked instance=%s clock_ms=%" G_GINT64_FORMAT
          " left_clock_ms=%" G_GINT64_FORMAT,
          life->instance, announcement->clock_ms, life->left_clock_ms);
}
