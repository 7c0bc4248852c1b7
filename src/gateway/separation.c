#include "gateway/separation.h"
#include "azurerock/log.h"
#include "gateway/interference.h"
#include "gateway/separation_plan.h"
#include "gateway/upstream_order.h"
#include <string.h>

#define DIVIDE_INTERVAL_MS 5000

/* Part of the upstreams by which the end of a part may move at a time; it is at least one upstream.
 */
#define STEP 0.05

/* A gateway measures the demand of the last seconds. The division follows only this part of each
 * change, so that it differs little between gateways. */
#define APPROACH 0.25

/**
 * struct division - parts of the upstreams of one pool of a service
 * @round: when it was last needed
 * @logged: as the last log line states it
 */
struct division
{
  double shares[AZ_PARTS_MAX];
  uint64_t round;
  char *logged;
};

struct az_gateway_separation
{
  GHashTable *divisions; /* "service pool" -> struct division * */
  uint64_t round;
  int64_t divided_us;
  uint32_t c_apart;
  uint32_t c_together;
};

static void
free_division (gpointer value)
{
  struct division *division = value;

  g_free (division->logged);
  g_free (division);
}

void
az_gateway_open_separation (struct az_gateway *gateway)
{
  struct az_gateway_separation *state = g_new0 (struct az_gateway_separation, 1);

  state->divisions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_division);
  state->c_apart
      = az_counters_register (gateway->counters, "azurerock_gateway_placed_apart_total",
                              "Tasks of interfering queues sent to upstreams of their own part");
  state->c_together
      = az_counters_register (gateway->counters, "azurerock_gateway_placed_together_total",
                              "Tasks of interfering queues sent to upstreams of another part");
  state->divided_us = gateway->now_us - DIVIDE_INTERVAL_MS * AZ_US_PER_MS;
  gateway->separation = state;
}

void
az_gateway_close_separation (struct az_gateway *gateway)
{
  g_hash_table_unref (gateway->separation->divisions);
  g_free (gateway->separation);
}

static void
add_name (GPtrArray *names, char *name)
{
  if (!g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
    g_ptr_array_add (names, name);
}

static GPtrArray *
list_pool (const struct az_gateway *gateway, const char *service, enum az_pool pool)
{
  GPtrArray *list = az_gateway_order_upstreams (gateway, service);

  for (guint i = list->len; i > 0 && pool != AZ_POOL_ANY; i--)
    if (((const struct upstream *)list->pdata[i - 1])->is_isolated != (pool == AZ_POOL_ISOLATED))
      g_ptr_array_remove_index (list, i - 1);
  return list;
}

/* One of @n_upstreams is set aside for each part, and the others are divided by the demand, or
 * equally if there is none. If the upstreams differ in size, the target of a part can be smaller
 * than each of them, so that it gets none. */
static void
measure_targets (const struct az_gateway *gateway,
                 const struct az_separation_plan *plan,
                 const unsigned numbers[AZ_PLAN_QUEUES_MAX],
                 unsigned n_parts,
                 guint n_upstreams,
                 double targets[AZ_PARTS_MAX])
{
  double rest = 1 - (double)n_parts / n_upstreams;
  double sum = 0;

  for (unsigned i = 0; i < plan->n; i++)
    {
      const struct queue *queue = az_separation_plan_find_queue (gateway, plan, i);

      if (queue && numbers[i] > 0)
        targets[numbers[i] - 1] += az_gateway_queue_rates (gateway, queue).offered_cores;
    }
  for (unsigned i = 0; i < n_parts; i++)
    sum += targets[i];
  for (unsigned i = 0; i < n_parts; i++)
    targets[i] = 1.0 / n_upstreams + rest * (sum > 0 ? targets[i] / sum : 1.0 / n_parts);
}

static void
approach_targets (double *shares, double *targets, unsigned n_parts, guint n_upstreams)
{
  bool is_new = true;

  for (unsigned i = 0; i < AZ_PARTS_MAX; i++)
    is_new = is_new && shares[i] <= 0;
  for (unsigned i = 0; i < n_parts && !is_new; i++)
    targets[i] = shares[i] + APPROACH * (targets[i] - shares[i]);
  az_division_approach (shares, targets, n_parts, MAX (STEP, 1.0 / n_upstreams));
  for (unsigned i = n_parts; i < AZ_PARTS_MAX; i++)
    shares[i] = 0;
}

static uint32_t
size_of (const struct upstream *upstream)
{
  return MAX (upstream->capacity.cpu_milli, 1);
}

static void
set_upstream_parts (const GPtrArray *upstreams, const double *shares, unsigned n_parts)
{
  double total = 0;
  double before = 0;

  for (guint i = 0; i < upstreams->len; i++)
    total += size_of (upstreams->pdata[i]);
  for (guint i = 0; i < upstreams->len; i++)
    {
      struct upstream *upstream = upstreams->pdata[i];
      double size = size_of (upstream);

      upstream->part = az_division_find_part (shares, n_parts, (before + size / 2) / total);
      before += size;
    }
}

static void
set_queue_parts (const struct az_gateway *gateway,
                 const struct az_separation_plan *plan,
                 const unsigned numbers[AZ_PLAN_QUEUES_MAX])
{
  for (unsigned i = 0; i < plan->n; i++)
    {
      struct queue *queue = az_separation_plan_find_queue (gateway, plan, i);

      if (!queue || numbers[i] == 0)
        continue;
      queue->part = numbers[i];
      for (unsigned j = 0; j < plan->n; j++)
        {
          double *loss = &queue->part_losses[numbers[j]];

          if (numbers[j] > 0 && plan->interferes[i * plan->n + j])
            *loss = MAX (*loss, plan->factors[i * plan->n + j] - 1);
        }
    }
}

static char *
describe_division (const struct az_separation_plan *plan,
                   const unsigned numbers[AZ_PLAN_QUEUES_MAX],
                   unsigned n_parts,
                   const GPtrArray *upstreams)
{
  GString *text = g_string_new ("upstreams=");
  unsigned counts[AZ_PARTS_MAX + 1] = { 0 };

  for (guint i = 0; i < upstreams->len; i++)
    counts[((const struct upstream *)upstreams->pdata[i])->part]++;
  for (unsigned part = 1; part <= n_parts; part++)
    g_string_append_printf (text, "%s%u", part > 1 ? "," : "", counts[part]);
  g_string_append (text, " queues=");
  for (unsigned i = 0; i < plan->n; i++)
    if (numbers[i] > 0)
      g_string_append_printf (text, "%s:%u,", plan->queues[i], numbers[i]);
  g_string_truncate (text, text->len - 1);
  return g_string_free (text, FALSE);
}

static struct division *
get_or_add_division (struct az_gateway *gateway, const char *service, enum az_pool pool)
{
  GHashTable *divisions = gateway->separation->divisions;
  const char *pool_name = pool == AZ_POOL_ISOLATED ? "isolated" : "regular";
  g_autofree char *key = g_strdup_printf ("service=%s pool=%s", service, pool_name);
  struct division *division = g_hash_table_lookup (divisions, key);

  if (division)
    return division;
  division = g_new0 (struct division, 1);
  division->logged = g_strdup ("");
  g_hash_table_insert (divisions, g_steal_pointer (&key), division);
  return division;
}

static void
log_if_changed (struct division *division,
                const char *service,
                enum az_pool pool,
                const char *description)
{
  if (!strcmp (division->logged, description))
    return;
  az_log (LOG_NOTICE, "event=separation service=%s pool=%s %s", service,
          pool == AZ_POOL_ISOLATED ? "isolated" : "regular", description);
  g_free (division->logged);
  division->logged = g_strdup (description);
}

static void
divide_pool (struct az_gateway *gateway, const struct az_separation_plan *plan, enum az_pool pool)
{
  g_autoptr (GPtrArray) upstreams = list_pool (gateway, plan->service, pool);
  g_autofree char *description = NULL;
  double targets[AZ_PARTS_MAX] = { 0 };
  unsigned numbers[AZ_PLAN_QUEUES_MAX];
  unsigned n_parts = az_separation_plan_number_parts (gateway, plan, pool, numbers);
  struct division *division;

  if (n_parts < 2 || upstreams->len < n_parts)
    return;
  division = get_or_add_division (gateway, plan->service, pool);
  division->round = gateway->separation->round;
  measure_targets (gateway, plan, numbers, n_parts, upstreams->len, targets);
  approach_targets (division->shares, targets, n_parts, upstreams->len);
  set_upstream_parts (upstreams, division->shares, n_parts);
  set_queue_parts (gateway, plan, numbers);
  description = describe_division (plan, numbers, n_parts, upstreams);
  log_if_changed (division, plan->service, pool, description);
}

static bool
has_isolated (const struct az_gateway *gateway, const char *service)
{
  for (guint i = 0; i < gateway->upstreams->len; i++)
    {
      const struct upstream *upstream = gateway->upstreams->pdata[i];

      if (upstream->is_isolated && !strcmp (upstream->service, service))
        return true;
    }
  return false;
}

static void
divide_service (struct az_gateway *gateway, const char *service, const GPtrArray *pairs)
{
  struct az_separation_plan plan;

  az_separation_plan_make (&plan, service, pairs);
  if (!has_isolated (gateway, service))
    {
      divide_pool (gateway, &plan, AZ_POOL_ANY);
      return;
    }
  divide_pool (gateway, &plan, AZ_POOL_REGULAR);
  divide_pool (gateway, &plan, AZ_POOL_ISOLATED);
}

static void
clear_parts (struct az_gateway *gateway)
{
  GHashTableIter iterator;
  gpointer value;

  for (guint i = 0; i < gateway->upstreams->len; i++)
    ((struct upstream *)gateway->upstreams->pdata[i])->part = 0;
  g_hash_table_iter_init (&iterator, gateway->queues);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct queue *queue = value;

      queue->part = 0;
      memset (queue->part_losses, 0, sizeof queue->part_losses);
    }
}

static void
drop_unneeded_divisions (struct az_gateway_separation *state)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iterator, state->divisions);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      if (((const struct division *)value)->round == state->round)
        continue;
      az_log (LOG_NOTICE, "event=separation %s outcome=ended", (const char *)key);
      g_hash_table_iter_remove (&iterator);
    }
}

void
az_gateway_update_separation (struct az_gateway *gateway)
{
  struct az_gateway_separation *state = gateway->separation;
  g_autoptr (GPtrArray) pairs = NULL;
  g_autoptr (GPtrArray) services = NULL;

  if (!gateway->settings.separate_queues
      || gateway->now_us - state->divided_us < DIVIDE_INTERVAL_MS * AZ_US_PER_MS)
    return;
  pairs = az_gateway_list_interfering (gateway);
  if (pairs->len == 0 && g_hash_table_size (state->divisions) == 0)
    return;
  state->divided_us = gateway->now_us;
  state->round++;
  clear_parts (gateway);
  services = g_ptr_array_new ();
  for (guint i = 0; i < pairs->len; i++)
    add_name (services, ((struct az_interfering_pair *)pairs->pdata[i])->service);
  for (guint i = 0; i < services->len; i++)
    divide_service (gateway, services->pdata[i], pairs);
  drop_unneeded_divisions (state);
}

static bool
is_apart (const struct queue *queue, const struct upstream *upstream)
{
  return queue->part == upstream->part;
}

int64_t
az_gateway_separation_cost_us (const struct queue *queue,
                               const struct upstream *upstream,
                               int64_t run_us)
{
  if (queue->part == 0 || upstream->part == 0 || is_apart (queue, upstream))
    return 0;
  return (int64_t)((double)run_us * queue->part_losses[upstream->part]);
}

void
az_gateway_count_separated (struct az_gateway *gateway,
                            const struct queue *queue,
                            const struct upstream *upstream)
{
  const struct az_gateway_separation *state = gateway->separation;

  if (queue->part > 0 && upstream->part > 0)
    az_counters_add (gateway->counters,
                     is_apart (queue, upstream) ? state->c_apart : state->c_together, 1);
}
