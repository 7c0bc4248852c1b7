#include "entry/agents.h"
#include "entry/send.h"

/* A grant expires by the agent's clock. The entry stops using it earlier by this margin, since the
 * latencies of GRANT and START are not known. */
#define EXPIRY_MARGIN_MS 250

static uint32_t
bucket_of (uint32_t n_usable)
{
  return MIN (n_usable, AZ_ENTRY_GRANT_BUCKETS - 1);
}

static void
unlink_agent (struct az_entry_state *state,
              struct az_entry_upstream *upstream,
              struct az_entry_agent *agent)
{
  struct az_entry_agent *next = az_entry_state_agent (state, agent->next);
  struct az_entry_agent *previous = az_entry_state_agent (state, agent->previous);

  if (!agent->n_listed_grants)
    return;
  if (previous)
    previous->next = agent->next;
  else
    upstream->head[bucket_of (agent->n_listed_grants)] = agent->next;
  if (next)
    next->previous = agent->previous;
  else
    upstream->tail[bucket_of (agent->n_listed_grants)] = agent->previous;
  upstream->n_usable -= agent->n_listed_grants;
  agent->n_listed_grants = 0;
  agent->next = 0;
  agent->previous = 0;
}

/* Appends the agent to its bucket, so that agents with the same number of grants take turns. */
static void
link_agent (struct az_entry_state *state,
            struct az_entry_upstream *upstream,
            struct az_entry_agent *agent,
            uint32_t n_usable)
{
  uint32_t bucket = bucket_of (n_usable);
  struct az_entry_agent *tail = az_entry_state_agent (state, upstream->tail[bucket]);

  agent->n_listed_grants = n_usable;
  agent->previous = upstream->tail[bucket];
  if (tail)
    tail->next = agent->handle;
  else
    upstream->head[bucket] = agent->handle;
  upstream->tail[bucket] = agent->handle;
  upstream->n_usable += n_usable;
  upstream->highest_bucket = MAX (upstream->highest_bucket, bucket);
}

static uint32_t
count_usable_grants (struct az_entry_state *state, const struct az_entry_agent *agent)
{
  struct az_ejector *ejector = az_entry_state_upstream (state, agent->pool)->ejector;

  if (!agent->connection || !agent->in_service || agent->stopping || agent->suspected
      || !agent->idle_grants->len || az_time_compare (state->now, agent->blocked_until) < 0)
    return 0;
  /* An ejected agent gets one task at a time as a probe. */
  if (az_ejector_n_ejected (ejector) && az_ejector_is_ejected (ejector, agent->handle))
    return az_ejector_can_start (ejector, agent->handle) ? 1 : 0;
  return agent->idle_grants->len;
}

void
az_entry_agent_update_bucket (struct az_entry_state *state, struct az_entry_agent *agent)
{
  struct az_entry_upstream *pool = az_entry_state_upstream (state, agent->pool);
  uint32_t n_usable = count_usable_grants (state, agent);

  if (n_usable == agent->n_listed_grants)
    return;
  unlink_agent (state, pool, agent);
  if (n_usable)
    link_agent (state, pool, agent, n_usable);
}

void
az_entry_grants_clear (struct az_entry_state *state, struct az_entry_agent *agent)
{
  g_array_set_size (agent->idle_grants, 0);
  az_entry_agent_update_bucket (state, agent);
}

struct az_entry_agent *
az_entry_upstream_best_agent (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  while (upstream->highest_bucket && !upstream->head[upstream->highest_bucket])
    upstream->highest_bucket--;
  return az_entry_state_agent (state, upstream->head[upstream->highest_bucket]);
}

bool
az_entry_grants_take (struct az_entry_state *state, struct az_entry_agent *agent, uint64_t *grant)
{
  struct az_ejector *ejector = az_entry_state_upstream (state, agent->pool)->ejector;
  bool taken = false;

  while (!taken && agent->idle_grants->len)
    {
      const struct az_entry_grant *last
          = &g_array_index (agent->idle_grants, struct az_entry_grant, agent->idle_grants->len - 1);

      *grant = last->id;
      taken = az_time_compare (state->now, last->expires) < 0;
      g_array_set_size (agent->idle_grants, agent->idle_grants->len - 1);
    }
  if (taken && az_ejector_n_ejected (ejector))
    az_ejector_record_start (ejector, agent->handle);
  az_entry_agent_update_bucket (state, agent);
  return taken;
}

void
az_entry_grants_remove_expired (struct az_entry_state *state, struct az_entry_agent *agent)
{
  for (guint i = agent->idle_grants->len; i > 0; i--)
    if (az_time_compare (state->now,
                         g_array_index (agent->idle_grants, struct az_entry_grant, i - 1).expires)
        >= 0)
      g_array_remove_index_fast (agent->idle_grants, i - 1);
}

static struct az_entry_grant *
find_idle (struct az_entry_agent *agent, uint64_t id)
{
  for (guint i = 0; i < agent->idle_grants->len; i++)
    if (g_array_index (agent->idle_grants, struct az_entry_grant, i).id == id)
      return &g_array_index (agent->idle_grants, struct az_entry_grant, i);
  return NULL;
}

/* An agent may renew a grant before it receives the START that uses the grant. */
static bool
is_grant_in_use (const struct az_entry_agent *agent, uint64_t id)
{
  for (guint i = 0; i < agent->open->len; i++)
    if (g_array_index (agent->open, struct az_entry_open_attempt, i).grant == id)
      return true;
  return false;
}

void
az_entry_grants_add (struct az_entry_state *state,
                     struct az_entry_agent *agent,
                     const struct az_grant *grants,
                     uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t life_ms = (int64_t)grants[i].remaining_ms - EXPIRY_MARGIN_MS;
      struct az_entry_grant grant = { grants[i].id, az_time_add_ms (state->now, life_ms) };
      struct az_entry_grant *known = find_idle (agent, grant.id);

      if (known)
        known->expires = grant.expires;
      else if (agent->idle_grants->len < AZ_MAX_GRANTS && !is_grant_in_use (agent, grant.id))
        g_array_append_val (agent->idle_grants, grant);
    }
  if (count)
    az_entry_agent_update_bucket (state, agent);
}

void
az_entry_handle_recall (struct az_entry_state *state,
                        struct az_entry_agent *agent,
                        const struct az_grant_ids *recall)
{
  struct az_message message = { .proc = AZ_RETURN };
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (u_quad_t));

  for (uint32_t i = 0; i < recall->ids.ids_len; i++)
    {
      struct az_entry_grant *grant = find_idle (agent, recall->ids.ids_val[i]);

      if (!grant)
        continue;
      g_array_append_val (ids, recall->ids.ids_val[i]);
      g_array_remove_index_fast (
          agent->idle_grants,
          (guint)(grant - (struct az_entry_grant *)(void *)agent->idle_grants->data));
    }
  az_entry_agent_update_bucket (state, agent);
  message.az_message_u.returned.ids.ids_len = ids->len;
  message.az_message_u.returned.ids.ids_val = (u_quad_t *)(void *)ids->data;
  if (ids->len)
    az_entry_send (state, agent->connection, &message);
  g_array_unref (ids);
}
