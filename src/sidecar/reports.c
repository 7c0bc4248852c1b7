#include "sidecar/state.h"

#define REPORT_BUSY_MS 100
#define REPORT_IDLE_MS 400

/* Interval of reports to a gateway that has no tasks here and doesn't want frequent reports,
 * because it uses other upstreams. */
#define REPORT_DORMANT_MS 2000

/* Smallest freed capacity that justifies a report of its own, in thousandths of a core. */
#define OFFER_MIN_MILLI 500

/* Capacity that was offered to gateways counts as theirs for this time, in which they are expected
 * to use it. */
#define OFFER_VALID_MS 4

struct az_resources
az_sidecar_available_capacity (const struct az_sidecar *sidecar)
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

static bool
are_equal (const struct az_resources *a, const struct az_resources *b)
{
  return az_resources_fit (a, b) && az_resources_fit (b, a);
}

/* Until the incarnation has announced itself, the service is empty: its labels may be others than
 * those of the former one. */
static struct az_node_upstream
describe_upstream (const struct life *life, bool is_open)
{
  struct az_node_upstream update = {
    .life = life->number,
    .open = is_open,
    .service = (char *)"",
    .capacity = life->capacity,
  };

  if (!life->is_announced)
    return update;
  update.service = life->service;
  update.labels.labels_len = life->labels->len;
  update.labels.labels_val = (az_name *)life->labels->pdata;
  return update;
}

static void
report_upstream (struct az_sidecar *sidecar, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_UPSTREAM };
  const struct life *life = &sidecar->life;
  bool is_open = az_sidecar_is_open (sidecar) && session->handle != sidecar->retiring
                 && (session->is_reported_open || !az_sidecar_has_orphans (sidecar, session));

  if (session->reported_life == life->number && session->is_reported_open == is_open
      && session->reported_description == life->description
      && are_equal (&session->reported_capacity, &life->capacity))
    return;
  if (session->is_reported_open && !is_open)
    session->reported_closed_us = sidecar->now_us;
  session->reported_life = life->number;
  session->reported_description = life->description;
  session->reported_capacity = life->capacity;
  session->is_reported_open = is_open;
  message.az_message_u.node_upstream = describe_upstream (life, is_open);
  sidecar->io.send (sidecar->io.context, session->handle, &message);
}

void
az_sidecar_send_report (struct az_sidecar *sidecar, struct session *session)
{
  struct az_message message = { .proc = AZ_NODE_REPORT };
  struct az_resources free = az_sidecar_available_capacity (sidecar);
  guint n_events = MIN (session->events->len, AZ_MAX_RUN);

  message.az_message_u.node_report = (struct az_node_report){
    .clock_ms = (uint64_t)(sidecar->now_us / AZ_US_PER_MS),
    .received = session->received,
    .free = free,
    .speed_percent = az_speed_percent (&sidecar->life.speed),
    .n_done = sidecar->life.n_done,
    .n_failed = sidecar->life.n_failed,
    .events = { n_events, (struct az_task_event *)(void *)session->events->data },
    .progress
    = { session->progress->len, (struct az_task_progress *)(void *)session->progress->data },
  };
  sidecar->io.send (sidecar->io.context, session->handle, &message);
  g_array_remove_range (session->events, 0, n_events);
  g_array_set_size (session->progress, 0);
  session->last_reported_us = sidecar->now_us;
  session->reported_free_milli = free.cpu_milli;
}

static bool
is_report_due (const struct az_sidecar *sidecar, const struct session *session)
{
  uint32_t free_milli = az_sidecar_available_capacity (sidecar).cpu_milli;
  int64_t since_report_us = sidecar->now_us - session->last_reported_us;

  if (session->events->len > 0 || session->progress->len > 0)
    return true;
  if (!session->wants_reports && session->n_tasks == 0)
    return since_report_us >= REPORT_DORMANT_MS * AZ_US_PER_MS;
  if (session->n_tasks > 0 || free_milli != session->reported_free_milli)
    return since_report_us >= REPORT_BUSY_MS * AZ_US_PER_MS;
  return since_report_us >= REPORT_IDLE_MS * AZ_US_PER_MS;
}

/* Whether the gateway waits for capacity that has been freed since the last report to it. */
static bool
needs_offer (const struct az_sidecar *sidecar, const struct session *session)
{
  bool is_in_use = session->wants_reports || session->n_tasks > 0;

  return session->gateway && is_in_use && session->waiting_cpu_milli > 0
         && az_sidecar_available_capacity (sidecar).cpu_milli
                >= session->reported_free_milli + OFFER_MIN_MILLI;
}

/* Returns the session whose last report is the oldest among those that need an offer, or NULL. */
static struct session *
find_next_for_offer (const struct az_sidecar *sidecar)
{
  struct session *next = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sidecar->sessions);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct session *session = value;

      if (needs_offer (sidecar, session)
          && (!next || session->last_reported_us < next->last_reported_us))
        next = session;
    }
  return next;
}

static void
record_offer (struct az_sidecar *sidecar, const struct session *session)
{
  struct offer *offer = &sidecar->offer;

  if (sidecar->now_us - offer->first_sent_us >= OFFER_VALID_MS * AZ_US_PER_MS)
    *offer = (struct offer){ .first_sent_us = sidecar->now_us };
  offer->cpu_milli += session->waiting_cpu_milli;
}

/* When many gateways wait, freed capacity is offered only to as many as can fill it, since the
 * tasks of the others would be refused. */
static void
offer_capacity (struct az_sidecar *sidecar)
{
  const struct offer *offer = &sidecar->offer;
  struct session *session;

  while ((session = find_next_for_offer (sidecar)))
    {
      if (sidecar->now_us - offer->first_sent_us < OFFER_VALID_MS * AZ_US_PER_MS
          && offer->cpu_milli >= az_sidecar_available_capacity (sidecar).cpu_milli)
        return;
      record_offer (sidecar, session);
      az_sidecar_send_report (sidecar, session);
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
        az_sidecar_send_report (sidecar, session);
      if (!is_report_due (sidecar, session))
        continue;
      if (needs_offer (sidecar, session))
        record_offer (sidecar, session);
      az_sidecar_send_report (sidecar, session);
    }
  offer_capacity (sidecar);
}
