#include "azurerock/log.h"
#include "sidecar/state.h"
#include <string.h>

/* Interval of the probes to a candidate that doesn't answer, and the time after its last
 * announcement from which on it isn't probed any more. A running upstream repeats its announcement
 * more often than that. */
#define PROBE_RETRY_MS 40
#define CANDIDATE_VALID_MS 5000

static bool
is_pending (const struct candidate *candidate)
{
  return candidate->announcement.instance != NULL;
}

static bool
names_same_incarnation (const struct az_upstream_announcement *a,
                        const struct az_upstream_announcement *b)
{
  return !strcmp (a->instance, b->instance) && !strcmp (a->address, b->address)
         && a->started_ms == b->started_ms;
}

static void
send_probe (struct az_sidecar *sidecar)
{
  struct candidate *candidate = &sidecar->candidate;
  const struct az_upstream_probe probe = {
    .address = candidate->announcement.address,
    .instance = candidate->announcement.instance,
    .fence = sidecar->fence,
  };

  candidate->is_probe_in_flight = true;
  candidate->next_probe_us = sidecar->now_us + PROBE_RETRY_MS * AZ_US_PER_MS;
  sidecar->io.probe (sidecar->io.context, ++candidate->n_probes, &probe);
}

static void
log_dropped (const struct candidate *candidate, const char *reason)
{
  const struct az_upstream_announcement *announcement = &candidate->announcement;

  az_log (LOG_NOTICE,
          "event=announcement-ignored instance=%s address=%s service=%s born_ms=%" G_GINT64_FORMAT
          " reason=%s",
          announcement->instance, announcement->address, announcement->service,
          announcement->started_ms, reason);
}

void
az_sidecar_drop_candidate (struct az_sidecar *sidecar)
{
  az_upstream_announcement_clear (&sidecar->candidate.announcement);
  sidecar->candidate.is_probe_in_flight = false;
}

void
az_sidecar_set_candidate (struct az_sidecar *sidecar,
                          const struct az_upstream_announcement *announcement)
{
  struct candidate *candidate = &sidecar->candidate;
  bool is_probed = false;

  if (is_pending (candidate) && names_same_incarnation (&candidate->announcement, announcement))
    {
      if (announcement->sequence < candidate->announcement.sequence)
        return;
      is_probed = candidate->is_probe_in_flight;
    }
  az_sidecar_drop_candidate (sidecar);
  az_upstream_announcement_copy (announcement, &candidate->announcement);
  candidate->announced_us = sidecar->now_us;
  candidate->is_probe_in_flight = is_probed;
  if (!is_probed)
    send_probe (sidecar);
}

void
az_sidecar_probe_candidate (struct az_sidecar *sidecar)
{
  struct candidate *candidate = &sidecar->candidate;

  if (!is_pending (candidate) || candidate->is_probe_in_flight
      || sidecar->now_us < candidate->next_probe_us)
    return;
  if (sidecar->now_us - candidate->announced_us <= CANDIDATE_VALID_MS * AZ_US_PER_MS)
    {
      send_probe (sidecar);
      return;
    }
  log_dropped (candidate, "no-answer");
  az_sidecar_drop_candidate (sidecar);
}

/* The present incarnation answers under the same instance id, so only a birth time or a clock that
 * differs shows that another one has answered. */
static bool
proves_birth (const struct az_sidecar *sidecar,
              const struct az_upstream_announcement *announcement,
              const struct az_upstream_answer *answer)
{
  const struct life *life = &sidecar->life;

  if (answer->started_ms > 0 && announcement->started_ms > 0
      && answer->started_ms != announcement->started_ms)
    return false;
  if (life->number == 0 || strcmp (life->instance, announcement->instance) != 0)
    return true;
  return az_sidecar_shows_restart (sidecar, answer);
}

bool
az_sidecar_has_upstream (const struct az_sidecar *sidecar)
{
  return sidecar->life.number > 0 || is_pending (&sidecar->candidate);
}

static struct az_upstream_announcement
take_announcement (struct candidate *candidate)
{
  const struct az_upstream_announcement announcement = candidate->announcement;

  candidate->announcement = (struct az_upstream_announcement){ 0 };
  return announcement;
}

/* Returns why the answer refutes the announcement, or NULL. */
static const char *
find_refutation (const struct az_sidecar *sidecar,
                 const struct az_upstream_announcement *announcement,
                 const struct az_upstream_answer *answer)
{
  if (answer->result == AZ_UPSTREAM_OTHER_INSTANCE)
    return "another-instance-answers";
  if (answer->clock_ms >= 0
      && !az_sidecar_is_clock_plausible (announcement->clock_ms, answer->clock_ms, sidecar->now_us,
                                         sidecar->now_us))
    return "clock-ahead";
  if (!az_sidecar_names_present (&sidecar->life, announcement)
      && !proves_birth (sidecar, announcement, answer))
    return "another-incarnation-answers";
  return NULL;
}

/* Whether the answer comes from an upstream instance. A refusal because of the fence does, too. */
static bool
is_conclusive (const struct az_upstream_answer *answer)
{
  return answer->result == AZ_UPSTREAM_OK || answer->result == AZ_UPSTREAM_FENCED
         || answer->result == AZ_UPSTREAM_OTHER_INSTANCE;
}

/* A hold may have shown the restart before the probe was answered. */
static bool
take_over (struct az_sidecar *sidecar, const struct az_upstream_announcement *announcement)
{
  if (az_sidecar_names_present (&sidecar->life, announcement))
    return az_sidecar_upstream_announced (sidecar, announcement);
  az_sidecar_begin_announced_life (sidecar, announcement);
  return true;
}

bool
az_sidecar_probe_answered (struct az_sidecar *sidecar,
                           uint64_t number,
                           const struct az_upstream_answer *answer,
                           struct az_upstream_announcement *confirmed)
{
  struct candidate *candidate = &sidecar->candidate;
  const char *refutation;

  sidecar->now_us = az_now_us (sidecar->clock);
  az_sidecar_expire_task_sessions (sidecar);
  if (!is_pending (candidate) || number != candidate->n_probes)
    return false;
  candidate->is_probe_in_flight = false;
  if (!is_conclusive (answer))
    return false;
  refutation = find_refutation (sidecar, &candidate->announcement, answer);
  if (refutation)
    {
      log_dropped (candidate, refutation);
      az_sidecar_drop_candidate (sidecar);
      return false;
    }
  *confirmed = take_announcement (candidate);
  if (take_over (sidecar, confirmed))
    return true;
  az_upstream_announcement_clear (confirmed);
  return false;
}
