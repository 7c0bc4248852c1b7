#include "gateway/separation_plan.h"
#include "gateway/crashes.h"
#include "gateway/interference.h"
#include <string.h>

static gint
compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (*(const char *const *)left, *(const char *const *)right);
}

static void
add_name (GPtrArray *names, char *name)
{
  if (!g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
    g_ptr_array_add (names, name);
}

/* Returns AZ_PLAN_QUEUES_MAX if the queue is not in the plan. */
static unsigned
find_queue (const struct az_separation_plan *plan, const char *name)
{
  for (unsigned i = 0; i < plan->n; i++)
    if (!strcmp (plan->queues[i], name))
      return i;
  return AZ_PLAN_QUEUES_MAX;
}

/* Whichever of two queues slows the other one, both have to run apart. */
static void
add_pair (struct az_separation_plan *plan, const struct az_interfering_pair *pair)
{
  unsigned a = find_queue (plan, pair->slowed);
  unsigned b = find_queue (plan, pair->beside);
  double factor;

  if (a == AZ_PLAN_QUEUES_MAX || b == AZ_PLAN_QUEUES_MAX)
    return;
  factor = MAX (plan->factors[a * plan->n + b], pair->decision.factor);
  plan->factors[a * plan->n + b] = plan->factors[b * plan->n + a] = factor;
  plan->interferes[a * plan->n + b] = plan->interferes[b * plan->n + a] = true;
}

void
az_separation_plan_make (struct az_separation_plan *plan,
                         const char *service,
                         const GPtrArray *pairs)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  *plan = (struct az_separation_plan){ .service = service };
  for (guint i = 0; i < pairs->len; i++)
    {
      const struct az_interfering_pair *pair = pairs->pdata[i];

      if (strcmp (pair->service, service) != 0)
        continue;
      add_name (names, pair->slowed);
      add_name (names, pair->beside);
    }
  g_ptr_array_sort (names, compare_names);
  plan->n = MIN (names->len, AZ_PLAN_QUEUES_MAX);
  for (unsigned i = 0; i < plan->n; i++)
    plan->queues[i] = names->pdata[i];
  for (guint i = 0; i < pairs->len; i++)
    if (!strcmp (((const struct az_interfering_pair *)pairs->pdata[i])->service, service))
      add_pair (plan, pairs->pdata[i]);
  az_division_assign_parts (plan->interferes, plan->n, plan->parts);
}

struct queue *
az_separation_plan_find_queue (const struct az_gateway *gateway,
                               const struct az_separation_plan *plan,
                               unsigned index)
{
  struct queue *queue = g_hash_table_lookup (gateway->queues, plan->queues[index]);

  return queue && !strcmp (queue->service, plan->service) ? queue : NULL;
}

static bool
runs_in_pool (const struct az_gateway *gateway,
              const struct az_separation_plan *plan,
              unsigned index,
              enum az_pool pool)
{
  const struct queue *queue = az_separation_plan_find_queue (gateway, plan, index);

  return queue ? az_gateway_is_queue_in_pool (gateway, queue, pool) : pool != AZ_POOL_ISOLATED;
}

unsigned
az_separation_plan_number_parts (const struct az_gateway *gateway,
                                 const struct az_separation_plan *plan,
                                 enum az_pool pool,
                                 unsigned numbers[AZ_PLAN_QUEUES_MAX])
{
  unsigned new_numbers[AZ_PARTS_MAX + 1] = { 0 };
  bool is_used[AZ_PARTS_MAX + 1] = { false };
  unsigned n_parts = 0;

  for (unsigned i = 0; i < plan->n; i++)
    if (runs_in_pool (gateway, plan, i, pool))
      is_used[plan->parts[i]] = true;
  for (unsigned part = 1; part <= AZ_PARTS_MAX; part++)
    if (is_used[part])
      new_numbers[part] = ++n_parts;
  for (unsigned i = 0; i < plan->n; i++)
    numbers[i] = runs_in_pool (gateway, plan, i, pool) ? new_numbers[plan->parts[i]] : 0;
  return n_parts;
}
