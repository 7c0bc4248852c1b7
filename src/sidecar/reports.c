#include "sidecar/board.h"

#define REPORT_BUSY_MS 100
#define REPORT_IDLE_MS 400

/* To gateways that use other upstreams. */
#define REPORT_DORMANT_MS 2000

/* Freed room below this isn't worth a message of its own, in thousandths of a core. */
#define FREE_CHANGE_MILLI 500

/* A gateway that was offered room takes it within this time. */
#define OFFER_MS 4

struct az_resources
az_sidecar_free (const struct az_sidecar *sidecar)
{
  struct az_resources free = sidecar->life.capacity;

  az_resources_subtract (&free, &sidecar->used);
  return free;
}

void
az_sidecar_queue_event (struct az_sidecar *sidecar,
                        struct session *session,
                        const struct az_task_event *event)
{
  (void)sidecar;
  g_array_append_val (session->events, *event);
}

void
az_sidecar_queue_progress (struct session *session, const struct az_task_progress *progress)
{
  if (session->progress->len < AZ_MAX_RUN)
    g_array_append_val (session->progress, *progress);
}

static void
report_upstream (struct az_sidecar *sidecar, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_UPSTREAM };
  struct life *life = &sidecar->life;
  bool is_open = az_sidecar_is_open (sidecar)
                 && (session->open_reported || !az_sidecar_has_orphans (sidecar, session->gateway));

  if (session->life_reported == life->number && session->open_reported == is_open)
    return;
  session->life_reported = life->number;
  session->open_reported = is_open;
  message.az_message_u.node_upstream = (struct az_node_upstream){
    .life = life->number,
    .open = is_open,
    .service = life->service ? life->service : (char *)"",
    .labels = { life->labels ? life->labels->len : 0,
                life->labels ? (az_name *)life->labels->pdata : NULL },
    .capacity = life->capacity,
  };
  sidecar->io.send (sidecar->io.context, session->handle, &message);
}

void
az_sidecar_report (struct az_sidecar *sidecar, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_REPORT };
  struct az_resources free = az_sidecar_free (sidecar);
  guint n_events = MIN (session->events->len, AZ_MAX_RUN);

  message.az_message_u.node_report = (struct az_node_report){
    .clock_ms = (uint64_t)(sidecar->now_us / AZ_US_PER_MS),
    .received = session->received,
    .free = free,
    .speed_percent = (u_int)(sidecar->life.speed.value * 100),
    .n_done = sidecar->life.n_done,
    .n_failed = sidecar->life.n_failed,
    .events = { n_events, (struct az_task_event *)(void *)session->events->data },
    .progress
    = { session->progress->len, (struct az_task_progress *)(void *)session->progress->data },
  };
  sidecar->io.send (sidecar->io.context, session->handle, &message);
  g_array_remove_range (session->events, 0, n_events);
  g_array_set_size (session->progress, 0);
  session->reported_us = sidecar->now_us;
  session->free_reported_milli = free.cpu_milli;
}

static bool
is_report_due (const struct az_sidecar *sidecar, const struct session *session)
{
  uint32_t free_milli = az_sidecar_free (sidecar).cpu_milli;
  int64_t silent_us = sidecar->now_us - session->reported_us;

  if (session->events->len > 0 || session->progress->len > 0)
    return true;
  if (!session->wants_reports && session->n_tasks == 0)
    return silent_us >= REPORT_DORMANT_MS * AZ_US_PER_MS;
  if (session->n_tasks > 0 || free_milli != session->free_reported_milli)
    return silent_us >= REPORT_BUSY_MS * AZ_US_PER_MS;
  return silent_us >= REPORT_IDLE_MS * AZ_US_PER_MS;
}

/* Whether the session waits for room and doesn't know of what has become free. */
static bool
wants_offer (const struct az_sidecar *sidecar, const struct session *session)
{
  bool is_in_use = session->wants_reports || session->n_tasks > 0;

  return session->gateway && is_in_use && session->waiting_cpu_milli > 0
         && az_sidecar_free (sidecar).cpu_milli >= session->free_reported_milli + FREE_CHANGE_MILLI;
}

/* The one that has heard nothing for longest. */
static struct session *
next_for_offer (const struct az_sidecar *sidecar)
{
  struct session *next = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;

      if (wants_offer (sidecar, session) && (!next || session->reported_us < next->reported_us))
        next = session;
    }
  return next;
}

static void
count_offer (struct az_sidecar *sidecar, const struct session *session)
{
  struct offer *offer = &sidecar->offer;

  if (sidecar->now_us - offer->made_us >= OFFER_MS * AZ_US_PER_MS)
    *offer = (struct offer){ .made_us = sidecar->now_us };
  offer->cpu_milli += session->waiting_cpu_milli;
}

/* When many gateways wait, freed room is offered to as many as can fill it: all others would only
 * be refused. */
static void
offer_room (struct az_sidecar *sidecar)
{
  const struct offer *offer = &sidecar->offer;
  struct session *session;

  while ((session = next_for_offer (sidecar)))
    {
      if (sidecar->now_us - offer->made_us < OFFER_MS * AZ_US_PER_MS
          && offer->cpu_milli >= az_sidecar_free (sidecar).cpu_milli)
        return;
      count_offer (sidecar, session);
      az_sidecar_report (sidecar, session);
    }
}

void
az_sidecar_flush (struct az_sidecar *sidecar)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;

      if (!session->gateway)
        continue;
      report_upstream (sidecar, session);
      while (session->events->len > AZ_MAX_RUN)
        az_sidecar_report (sidecar, session);
      if (!is_report_due (sidecar, session))
        continue;
      if (wants_offer (sidecar, session))
        count_offer (sidecar, session);
      az_sidecar_report (sidecar, session);
    }
  offer_room (sidecar);
}
