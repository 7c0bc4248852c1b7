#include "azurerock/log.h"
#include "gateway/crashes.h"
#include "gateway/interference.h"
#include "gateway/state.h"
#include <string.h>

struct upstream *
az_gateway_get_or_add_upstream (struct az_gateway *gateway,
                                const char *instance,
                                const char *domain)
{
  struct upstream *upstream;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      upstream = gateway->upstreams->pdata[i];
      if (!strcmp (upstream->instance, instance))
        return upstream;
    }
  upstream = g_new0 (struct upstream, 1);
  upstream->instance = g_strdup (instance);
  upstream->domain = g_strdup (domain);
  upstream->service = g_strdup ("");
  upstream->labels = g_ptr_array_new_with_free_func (g_free);
  upstream->reservations = g_array_new (FALSE, FALSE, sizeof (struct reservation));
  upstream->speed = 1;
  upstream->slow_hardware_since_us = 0;
  g_ptr_array_add (gateway->upstreams, upstream);
  upstream->handle = gateway->upstreams->len;
  az_ejector_add (gateway->ejector, upstream->handle);
  return upstream;
}

bool
az_gateway_can_place (const struct az_gateway *gateway)
{
  for (guint i = 0; i < gateway->upstreams->len; i++)
    if (((const struct upstream *)gateway->upstreams->pdata[i])->is_open)
      return gateway->catalog != NULL;
  return false;
}

static void
start_life (struct az_gateway *gateway, struct upstream *upstream, uint64_t life)
{
  /* A restarted sidecar knows only the present capacity of an upstream that may run on. */
  if (upstream->life > 0)
    upstream->largest_capacity = (struct az_resources){ 0 };
  upstream->life = life;
  upstream->speed = 1;
  upstream->slow_hardware_since_us = 0;
  upstream->has_baseline_counts = false;
  upstream->n_probes = 0;
  az_gateway_forget_interference (upstream);
  az_ejector_remove (gateway->ejector, upstream->handle);
  az_ejector_add (gateway->ejector, upstream->handle);
}

/* The service and the labels of an incarnation may become known later than the incarnation. */
static void
update_description (struct upstream *upstream, const struct az_node_upstream *update)
{
  upstream->is_described = update->service[0] != '\0';
  g_ptr_array_set_size (upstream->labels, 0);
  if (!upstream->is_described)
    return;
  if (strcmp (upstream->service, update->service) != 0)
    {
      az_gateway_forget_interference (upstream);
      g_free (upstream->service);
      upstream->service = g_strdup (update->service);
    }
  for (u_int i = 0; i < update->labels.labels_len; i++)
    g_ptr_array_add (upstream->labels, g_strdup (update->labels.labels_val[i]));
}

void
az_gateway_handle_upstream (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_node_upstream *update)
{
  bool is_changed;
  bool is_shrunk;

  if (upstream->life != update->life)
    start_life (gateway, upstream, update->life);
  update_description (upstream, update);
  is_changed = upstream->is_open != update->open
               || upstream->capacity.cpu_milli != update->capacity.cpu_milli;
  is_shrunk = !az_resources_fit (&upstream->capacity, &update->capacity);
  upstream->capacity = update->capacity;
  az_resources_raise (&upstream->largest_capacity, &update->capacity);
  if (is_changed)
    az_log (LOG_NOTICE, "event=upstream instance=%s life=%" G_GUINT64_FORMAT " open=%s cpu=%u",
            upstream->instance, update->life, update->open ? "yes" : "no",
            upstream->capacity.cpu_milli);
  az_gateway_record_openness (gateway, upstream, update->open);
  /* A sidecar accepts tasks in a session only when the tasks of this gateway's former sessions have
   * ended. */
  if (update->open)
    az_gateway_requeue_orphans (gateway, upstream);
  if (is_shrunk)
    az_gateway_refuse_unfit_jobs (gateway);
  gateway->needs_placing = true;
}

static void
update_free (struct upstream *upstream)
{
  upstream->free = upstream->reported_free;
  for (guint i = 0; i < upstream->reservations->len; i++)
    az_resources_subtract (&upstream->free,
                           &g_array_index (upstream->reservations, struct reservation, i).amount);
}

void
az_gateway_update_free_resources (struct upstream *upstream, const struct az_node_report *report)
{
  guint counted = 0;

  while (counted < upstream->reservations->len
         && g_array_index (upstream->reservations, struct reservation, counted).run_number
                <= report->received)
    counted++;
  g_array_remove_range (upstream->reservations, 0, counted);
  upstream->reported_free = report->free;
  update_free (upstream);
}

void
az_gateway_reserve_resources (struct upstream *upstream,
                              const struct az_resources *need,
                              uint32_t n_tasks)
{
  struct reservation new_reservation = { .run_number = ++upstream->n_runs_sent };

  for (uint32_t i = 0; i < n_tasks; i++)
    az_resources_add (&new_reservation.amount, need);
  g_array_append_val (upstream->reservations, new_reservation);
}
