#include "azurerock/log.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/send.h"

static void
configure_upstreams (struct az_entry_state *state)
{
  const struct az_object_set *set = state->configuration->objects;
  uint32_t count;
  uint32_t n_domains;
  const struct az_upstream *definitions = az_object_set_upstreams (set, &count);
  const struct az_domain *domains = az_object_set_domains (set, &n_domains);

  for (uint32_t i = 0; i < state->upstreams->len; i++)
    {
      az_entry_state_upstream (state, i)->configured = false;
      az_entry_state_upstream (state, i)->in_service = false;
      g_array_set_size (az_entry_state_upstream (state, i)->service_indexes, 0);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct az_entry_upstream *upstream
          = az_entry_state_upstream (state, az_entry_upstream_of (state, definitions[i].name));

      upstream->configured = true;
      upstream->slots = definitions[i].slots;
      upstream->connections = definitions[i].connections;
      upstream->task_timeout_ms = 0;
      for (uint32_t k = 0; k < definitions[i].n_domains; k++)
        upstream->in_service
            |= definitions[i].in_service && domains[definitions[i].domains[k]].in_service;
    }
}

/* An agent gets one task timeout: the longest of the services that use its upstream. Agents of an
 * upstream are compared with each other by the ejection policy of its first service. */
static void
add_upstream_to_service (struct az_entry_state *state,
                         uint32_t service,
                         const char *upstream_name,
                         const struct az_policy *policy)
{
  uint32_t index = az_entry_upstream_of (state, upstream_name);
  struct az_entry_upstream *upstream = az_entry_state_upstream (state, index);

  if (!upstream->service_indexes->len)
    az_ejector_set_policy (upstream->ejector, &policy->ejection);
  g_array_append_val (az_entry_state_service (state, service)->upstream_indexes, index);
  g_array_append_val (upstream->service_indexes, service);
  upstream->task_timeout_ms = MAX (upstream->task_timeout_ms, (uint32_t)policy->task_timeout_ms);
}

static void
configure_services (struct az_entry_state *state)
{
  const struct az_object_set *set = state->configuration->objects;
  uint32_t count;
  uint32_t unused;
  const struct az_service *definitions = az_object_set_services (set, &count);
  const struct az_upstream *upstreams = az_object_set_upstreams (set, &unused);
  const struct az_policy *policies = az_object_set_policies (set, &unused);

  for (uint32_t i = 0; i < state->services->len; i++)
    az_entry_state_service (state, i)->configured = false;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = az_entry_service_of (state, definitions[i].name);
      struct az_entry_service *service = az_entry_state_service (state, index);

      service->configured = true;
      service->policy = policies[definitions[i].policy];
      service->policy.name = NULL; /* owned by the configuration */
      g_array_set_size (service->upstream_indexes, 0);
      for (uint32_t k = 0; k < definitions[i].n_upstreams; k++)
        add_upstream_to_service (state, index, upstreams[definitions[i].upstreams[k]].name,
                                 &service->policy);
    }
}

static void
configure_team (struct az_entry_state *state, const struct az_team *source)
{
  const struct az_object_set *set = state->configuration->objects;
  uint32_t count;
  const struct az_service *services = az_object_set_services (set, &count);
  uint32_t index = az_entry_team_of (state, source->name);
  struct az_entry_team *team = az_entry_state_team (state, index);

  team->configured = true;
  team->quota = source->quota_slots;
  team->weight = source->weight;
  team->max_queued = source->max_queued_tasks;
  team->claim = MIN (team->claim, team->quota);
  g_hash_table_remove_all (team->services);
  for (uint32_t i = 0; i < source->n_services; i++)
    {
      uint32_t service = az_entry_service_of (state, services[source->services[i]].name);

      g_hash_table_add (team->services, GUINT_TO_POINTER (service + 1));
    }
  az_team_queue_set_team (state->queue, index, team->weight, team->max_queued, team->claim);
}

static void
configure_teams (struct az_entry_state *state)
{
  uint32_t count;
  const struct az_team *teams = az_object_set_teams (state->configuration->objects, &count);

  for (uint32_t i = 0; i < state->teams->len; i++)
    az_entry_state_team (state, i)->configured = false;
  for (uint32_t i = 0; i < count; i++)
    configure_team (state, &teams[i]);
}

/* All services share one retry budget, with the largest percentage of their policies. */
static void
configure_retry_budget (struct az_entry_state *state)
{
  uint32_t percent = 0;

  for (uint32_t i = 0; i < state->services->len; i++)
    if (az_entry_state_service (state, i)->configured)
      percent = MAX (percent, az_entry_state_service (state, i)->policy.retry_budget_percent);
  if (state->retry_budget && percent == state->retry_percent)
    return;
  if (state->retry_budget)
    az_retry_budget_destroy (state->retry_budget);
  state->retry_budget = az_retry_budget_create (state->clock, percent);
  state->retry_percent = percent;
}

void
az_entry_apply_configuration (struct az_entry_state *state)
{
  configure_upstreams (state);
  configure_services (state);
  configure_teams (state);
  configure_retry_budget (state);
  az_entry_quota_update (state, false);
}
