#include "entry/agents.h"
#include "entry/send.h"

/* An agent gets at most one DEMAND in this time, unless the number of waiting tasks rises from 0 or
 * doubles. */
#define DEMAND_INTERVAL_MS 50

/* DEMAND is repeated at this interval, since agents ignore a demand that is older than 2 s. It is
 * sent earlier only if the number of waiting tasks has doubled or halved, which keeps the number of
 * messages per task low. */
#define DEMAND_REPEAT_MS 1000

/* Each agent that gets DEMAND may recall a grant from another entry. Few waiting tasks are
 * therefore announced to few agents: announced to all, one task could move one grant per agent.
 * Announced to one agent only, a task would be delayed if that agent has no free slot. */
#define DEMAND_AGENTS_PER_TASK 2
#define DEMAND_AGENTS_MIN 3

/* After this time DEMAND goes to the whole sample of AZ_DEMAND_SAMPLE_AGENTS agents, since the
 * first ones have offered no grant. */
#define DEMAND_WIDEN_AFTER_MS 20

/* Returns the oldest job with a waiting task. Removes older jobs, which have none, from the list of
 * arrivals. */
static const struct az_entry_job *
oldest_job (struct az_entry_state *state, struct az_entry_service *service)
{
  while (service->arrivals.length)
    {
      const struct az_entry_job *job
          = az_entry_state_job (state, GPOINTER_TO_UINT (g_queue_peek_head (&service->arrivals)));

      if (job && job->n_waiting)
        return job;
      g_queue_pop_head (&service->arrivals);
    }
  return NULL;
}

void
az_entry_arrivals_tick (struct az_entry_state *state)
{
  for (uint32_t i = 0; i < state->services->len; i++)
    oldest_job (state, az_entry_state_service (state, i));
}

uint32_t
az_entry_service_oldest_age_ms (struct az_entry_state *state, struct az_entry_service *service)
{
  const struct az_entry_job *oldest = oldest_job (state, service);

  return oldest ? (uint32_t)az_time_diff_ms (state->now, oldest->arrived_at) : 0;
}

struct az_demand
az_entry_upstream_demand (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  struct az_demand demand = { 0 };

  for (guint i = 0; i < upstream->service_indexes->len; i++)
    {
      uint32_t index = g_array_index (upstream->service_indexes, uint32_t, i);
      struct az_entry_service *service = az_entry_state_service (state, index);

      if (!service->waiting)
        continue;
      demand.waiting += az_team_queue_runnable (state->queue, index);
      demand.oldest_ms = MAX (demand.oldest_ms, az_entry_service_oldest_age_ms (state, service));
    }
  if (!demand.waiting)
    demand.oldest_ms = 0;
  return demand;
}

static guint
count_recipients (const struct az_entry_upstream *upstream, const struct az_demand *demand)
{
  guint largest = MIN (upstream->agents->len, AZ_DEMAND_SAMPLE_AGENTS);

  if (demand->oldest_ms >= DEMAND_WIDEN_AFTER_MS || demand->waiting > AZ_DEMAND_SAMPLE_AGENTS)
    return largest;
  return MIN (MAX (DEMAND_AGENTS_PER_TASK * demand->waiting, DEMAND_AGENTS_MIN), largest);
}

/* Returns whether DEMAND is to be sent. A demand of 0 waits for DEMAND_INTERVAL_MS, since START
 * carries the demand as well. */
static bool
is_demand_due (const struct az_entry_state *state,
               const struct az_entry_agent *agent,
               const struct az_demand *demand)
{
  int64_t age_ms = az_time_diff_ms (state->now, agent->demand_sent_at);
  bool has_halved = 2 * demand->waiting <= agent->demand.waiting;

  if (demand->waiting && (!agent->demand.waiting || demand->waiting >= 2 * agent->demand.waiting))
    return true;
  if (!demand->waiting && !agent->demand.waiting)
    return false;
  return age_ms >= (has_halved ? DEMAND_INTERVAL_MS : DEMAND_REPEAT_MS);
}

static void
send_demand (struct az_entry_state *state,
             struct az_entry_agent *agent,
             const struct az_demand *demand)
{
  struct az_message message = { .proc = AZ_DEMAND };

  if (!agent->connection || !agent->in_service || agent->stopping || agent->suspected
      || !is_demand_due (state, agent, demand))
    return;
  message.az_message_u.demand = *demand;
  agent->demand = *demand;
  agent->demand_sent_at = state->now;
  az_entry_send (state, agent->connection, &message);
}

static struct az_entry_agent *
agent_at (struct az_entry_state *state, const struct az_entry_upstream *upstream, guint index)
{
  return az_entry_state_agent (state, g_array_index (upstream->agents, uint32_t, index));
}

/* Moves a random sample to the front of the list of agents. */
static void
draw_sample (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  uint32_t *agents = (uint32_t *)(void *)upstream->agents->data;

  for (guint i = 0; i < MIN (upstream->agents->len, AZ_DEMAND_SAMPLE_AGENTS); i++)
    {
      guint other
          = (guint)g_rand_int_range (state->random, (gint32)i, (gint32)upstream->agents->len);
      uint32_t agent = agents[i];

      agents[i] = agents[other];
      agents[other] = agent;
    }
}

/* Sends a demand of 0 to all agents that were told of waiting tasks, including those of earlier
 * samples. */
static void
send_zero_demand (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  const struct az_demand none = { 0 };

  upstream->has_demand = false;
  for (guint i = 0; i < upstream->agents->len; i++)
    {
      struct az_entry_agent *agent = agent_at (state, upstream, i);

      if (agent->demand.waiting)
        send_demand (state, agent, &none);
      upstream->has_demand |= agent->demand.waiting > 0;
    }
}

void
az_entry_demand_send (struct az_entry_state *state, struct az_entry_upstream *upstream)
{
  struct az_demand demand;

  if (!upstream->agents->len)
    return;
  demand = az_entry_upstream_demand (state, upstream);
  if (!demand.waiting || upstream->n_usable)
    {
      if (upstream->has_demand)
        send_zero_demand (state, upstream);
      return;
    }
  if (!upstream->has_demand)
    draw_sample (state, upstream);
  upstream->has_demand = true;
  for (guint i = 0; i < count_recipients (upstream, &demand); i++)
    send_demand (state, agent_at (state, upstream, i), &demand);
}
