#include "azurerock/log.h"
#include "dispatch/speed.h"
#include "gateway/state.h"

/* The speed of an upstream that becomes slow, or recovers, passes that of slow hardware within a
 * fraction of this time. */
#define SLOW_HARDWARE_MIN_MS 2000

bool
az_gateway_is_slow_hardware (const struct az_gateway *gateway, const struct upstream *upstream)
{
  return gateway->settings.relative_slowness && upstream->slow_hardware_since_us > 0
         && gateway->now_us - upstream->slow_hardware_since_us
                >= SLOW_HARDWARE_MIN_MS * AZ_US_PER_MS;
}

static void
update_speed (const struct az_gateway *gateway, struct upstream *upstream, double speed)
{
  bool was_slow = az_speed_is_slow (upstream->speed);
  bool is_slow = az_speed_is_slow (speed);

  upstream->speed = speed;
  if (!az_speed_is_reduced (speed))
    upstream->slow_hardware_since_us = 0;
  else if (upstream->slow_hardware_since_us == 0)
    upstream->slow_hardware_since_us = gateway->now_us;
  if (was_slow == is_slow)
    return;
  if (!is_slow)
    upstream->n_probes = 0;
  az_log (LOG_NOTICE, "event=upstream-speed instance=%s speed=%.2f outcome=%s", upstream->instance,
          speed, is_slow ? "probes-only" : "in-use");
}

/* Only the last ENDS_MAX ends of each kind are passed to the ejector per report. More ends than
 * this between two reports would tell it nothing more. */
#define ENDS_MAX 1000

/* Returns the count of ends that need no processing: the @counted ones, which were processed
 * before, or so many that at most ENDS_MAX of the @reported ends are left. */
static uint32_t
limit_backlog (uint32_t counted, uint32_t reported)
{
  return reported > ENDS_MAX ? MAX (counted, reported - ENDS_MAX) : counted;
}

/* The counts start at 0 with each incarnation of the upstream. */
static void
update_failures (struct az_gateway *gateway,
                 struct upstream *upstream,
                 const struct az_node_report *report)
{
  bool was_ejected = az_ejector_is_ejected (gateway->ejector, upstream->handle);

  if (!upstream->has_baseline_counts)
    {
      upstream->n_failed = report->n_failed;
      upstream->n_done = report->n_done;
      upstream->has_baseline_counts = true;
      return;
    }
  upstream->n_failed = limit_backlog (upstream->n_failed, report->n_failed);
  upstream->n_done = limit_backlog (upstream->n_done, report->n_done);
  for (; upstream->n_failed < report->n_failed; upstream->n_failed++)
    az_ejector_report (gateway->ejector, upstream->handle, false);
  for (; upstream->n_done < report->n_done; upstream->n_done++)
    az_ejector_report (gateway->ejector, upstream->handle, true);
  if (was_ejected != az_ejector_is_ejected (gateway->ejector, upstream->handle))
    az_log (LOG_NOTICE, "event=upstream-failures instance=%s failed=%u done=%u outcome=%s",
            upstream->instance, report->n_failed, report->n_done,
            was_ejected ? "in-use" : "ejected");
}

void
az_gateway_update_health (struct az_gateway *gateway,
                          struct upstream *upstream,
                          const struct az_node_report *report)
{
  update_speed (gateway, upstream, MAX (report->speed_percent, 1) / 100.0);
  update_failures (gateway, upstream, report);
}
