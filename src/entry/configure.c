#include "azurerock/log.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/send.h"

static void
configure_pools (struct az_entry_board *board)
{
  const struct az_object_set *set = board->configuration->objects;
  uint32_t count;
  uint32_t n_domains;
  const struct az_upstream *upstreams = az_object_set_upstreams (set, &count);
  const struct az_domain *domains = az_object_set_domains (set, &n_domains);

  for (uint32_t i = 0; i < board->pools->len; i++)
    {
      az_entry_board_pool (board, i)->configured = false;
      az_entry_board_pool (board, i)->in_service = false;
      g_array_set_size (az_entry_board_pool (board, i)->groups, 0);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct az_entry_pool *pool
          = az_entry_board_pool (board, az_entry_pool_of (board, upstreams[i].name));

      pool->configured = true;
      pool->slots = upstreams[i].slots;
      pool->connections = upstreams[i].connections;
      pool->task_timeout_ms = 0;
      for (uint32_t k = 0; k < upstreams[i].n_domains; k++)
        pool->in_service |= upstreams[i].in_service && domains[upstreams[i].domains[k]].in_service;
    }
}

/* An agent gets one task timeout: the longest of the services that use its upstream. Agents of an
 * upstream are compared with each other by the ejection policy of its first service. */
static void
add_pool_to_group (struct az_entry_board *board,
                   uint32_t group,
                   const char *upstream,
                   const struct az_policy *policy)
{
  uint32_t index = az_entry_pool_of (board, upstream);
  struct az_entry_pool *pool = az_entry_board_pool (board, index);

  if (!pool->groups->len)
    az_ejector_set_policy (pool->ejector, &policy->ejection);
  g_array_append_val (az_entry_board_group (board, group)->pools, index);
  g_array_append_val (pool->groups, group);
  pool->task_timeout_ms = MAX (pool->task_timeout_ms, (uint32_t)policy->task_timeout_ms);
}

static void
configure_groups (struct az_entry_board *board)
{
  const struct az_object_set *set = board->configuration->objects;
  uint32_t count;
  uint32_t unused;
  const struct az_service *services = az_object_set_services (set, &count);
  const struct az_upstream *upstreams = az_object_set_upstreams (set, &unused);
  const struct az_policy *policies = az_object_set_policies (set, &unused);

  for (uint32_t i = 0; i < board->groups->len; i++)
    az_entry_board_group (board, i)->configured = false;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = az_entry_group_of (board, services[i].name);
      struct az_entry_group *group = az_entry_board_group (board, index);

      group->configured = true;
      group->policy = policies[services[i].policy];
      group->policy.name = NULL; /* owned by the configuration */
      g_array_set_size (group->pools, 0);
      for (uint32_t k = 0; k < services[i].n_upstreams; k++)
        add_pool_to_group (board, index, upstreams[services[i].upstreams[k]].name, &group->policy);
    }
}

static void
configure_team (struct az_entry_board *board, const struct az_team *source)
{
  const struct az_object_set *set = board->configuration->objects;
  uint32_t count;
  const struct az_service *services = az_object_set_services (set, &count);
  uint32_t index = az_entry_team_of (board, source->name);
  struct az_entry_team *team = az_entry_board_team (board, index);

  team->configured = true;
  team->quota = source->quota_slots;
  team->weight = source->weight;
  team->max_queued = source->max_queued_tasks;
  team->claim = MIN (team->claim, team->quota);
  g_hash_table_remove_all (team->services);
  for (uint32_t i = 0; i < source->n_services; i++)
    {
      uint32_t group = az_entry_group_of (board, services[source->services[i]].name);

      g_hash_table_add (team->services, GUINT_TO_POINTER (group + 1));
    }
  az_team_queue_set_team (board->queue, index, team->weight, team->max_queued, team->claim);
}

static void
configure_teams (struct az_entry_board *board)
{
  uint32_t count;
  const struct az_team *teams = az_object_set_teams (board->configuration->objects, &count);

  for (uint32_t i = 0; i < board->teams->len; i++)
    az_entry_board_team (board, i)->configured = false;
  for (uint32_t i = 0; i < count; i++)
    configure_team (board, &teams[i]);
}

/* All services share one retry budget, with the largest percentage of their policies. */
static void
configure_retry_budget (struct az_entry_board *board)
{
  uint32_t percent = 0;

  for (uint32_t i = 0; i < board->groups->len; i++)
    if (az_entry_board_group (board, i)->configured)
      percent = MAX (percent, az_entry_board_group (board, i)->policy.retry_budget_percent);
  if (board->retry_budget && percent == board->retry_percent)
    return;
  if (board->retry_budget)
    az_retry_budget_destroy (board->retry_budget);
  board->retry_budget = az_retry_budget_create (board->clock, percent);
  board->retry_percent = percent;
}

void
az_entry_apply_configuration (struct az_entry_board *board)
{
  configure_pools (board);
  configure_groups (board);
  configure_teams (board);
  configure_retry_budget (board);
  az_entry_quota_update (board, false);
}
