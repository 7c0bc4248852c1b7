#include "entry/agents.h"
#include "entry/send.h"

/* An agent gets at most one DEMAND in this time, unless the number of waiting tasks rises from 0 or
 * doubles. */
#define DEMAND_INTERVAL_MS 50

/* DEMAND is repeated at this interval, since agents ignore a demand that is older than 2 s. */
#define DEMAND_REPEAT_MS 1000

/* Each agent that gets DEMAND may recall a grant from another entry. Few waiting tasks are
 * therefore announced to few agents: announced to all, one task could move one grant per agent. */
#define DEMAND_AGENTS_PER_TASK 2
#define DEMAND_AGENTS_MIN 3

/* After this time DEMAND goes to the whole sample, since the first agents have offered no grant. */
#define DEMAND_WIDEN_AFTER_MS 20

/* Returns the oldest job with a waiting task. Removes older jobs, which have none, from the list of
 * arrivals. */
static const struct az_entry_job *
oldest_job (struct az_entry_board *board, struct az_entry_group *group)
{
  while (group->arrivals.length)
    {
      const struct az_entry_job *job
          = az_entry_board_job (board, GPOINTER_TO_UINT (g_queue_peek_head (&group->arrivals)));

      if (job && job->n_waiting)
        return job;
      g_queue_pop_head (&group->arrivals);
    }
  return NULL;
}

void
az_entry_arrivals_tick (struct az_entry_board *board)
{
  for (uint32_t i = 0; i < board->groups->len; i++)
    oldest_job (board, az_entry_board_group (board, i));
}

uint32_t
az_entry_group_oldest_age_ms (struct az_entry_board *board, struct az_entry_group *group)
{
  const struct az_entry_job *oldest = oldest_job (board, group);

  return oldest ? (uint32_t)az_time_diff_ms (board->now, oldest->arrived_at) : 0;
}

struct az_demand
az_entry_pool_demand (struct az_entry_board *board, struct az_entry_pool *pool)
{
  struct az_demand demand = { 0 };

  for (guint i = 0; i < pool->groups->len; i++)
    {
      uint32_t index = g_array_index (pool->groups, uint32_t, i);
      struct az_entry_group *group = az_entry_board_group (board, index);

      if (!group->waiting)
        continue;
      demand.waiting += az_team_queue_runnable (board->queue, index);
      demand.oldest_ms = MAX (demand.oldest_ms, az_entry_group_oldest_age_ms (board, group));
    }
  if (!demand.waiting)
    demand.oldest_ms = 0;
  return demand;
}

static guint
count_recipients (const struct az_entry_pool *pool, const struct az_demand *demand)
{
  guint largest = MIN (pool->agents->len, AZ_DEMAND_SAMPLE_AGENTS);

  if (demand->oldest_ms >= DEMAND_WIDEN_AFTER_MS || demand->waiting > AZ_DEMAND_SAMPLE_AGENTS)
    return largest;
  return MIN (MAX (DEMAND_AGENTS_PER_TASK * demand->waiting, DEMAND_AGENTS_MIN), largest);
}

/* Returns whether DEMAND is to be sent. A demand of 0 waits for DEMAND_INTERVAL_MS, since START
 * carries the demand as well. */
static bool
is_demand_due (const struct az_entry_board *board,
               const struct az_entry_agent *agent,
               const struct az_demand *demand)
{
  int64_t age_ms = az_time_diff_ms (board->now, agent->demand_sent_at);
  bool has_halved = 2 * demand->waiting <= agent->demand.waiting;

  if (demand->waiting && (!agent->demand.waiting || demand->waiting >= 2 * agent->demand.waiting))
    return true;
  if (!demand->waiting && !agent->demand.waiting)
    return false;
  return age_ms >= (has_halved ? DEMAND_INTERVAL_MS : DEMAND_REPEAT_MS);
}

static void
send_demand (struct az_entry_board *board,
             struct az_entry_agent *agent,
             const struct az_demand *demand)
{
  struct az_message message = { .proc = AZ_DEMAND };

  if (!agent->connection || !agent->in_service || agent->stopping || agent->suspected
      || !is_demand_due (board, agent, demand))
    return;
  message.az_message_u.demand = *demand;
  agent->demand = *demand;
  agent->demand_sent_at = board->now;
  az_entry_send (board, agent->connection, &message);
}

static struct az_entry_agent *
agent_at (struct az_entry_board *board, const struct az_entry_pool *pool, guint index)
{
  return az_entry_board_agent (board, g_array_index (pool->agents, uint32_t, index));
}

/* Moves a random sample to the front of the list of agents. */
static void
draw_sample (struct az_entry_board *board, struct az_entry_pool *pool)
{
  uint32_t *agents = (uint32_t *)(void *)pool->agents->data;

  for (guint i = 0; i < MIN (pool->agents->len, AZ_DEMAND_SAMPLE_AGENTS); i++)
    {
      guint other = (guint)g_rand_int_range (board->random, (gint32)i, (gint32)pool->agents->len);
      uint32_t agent = agents[i];

      agents[i] = agents[other];
      agents[other] = agent;
    }
}

/* Sends a demand of 0 to all agents that were told of waiting tasks, including those of earlier
 * samples. */
static void
send_zero_demand (struct az_entry_board *board, struct az_entry_pool *pool)
{
  const struct az_demand none = { 0 };

  pool->has_demand = false;
  for (guint i = 0; i < pool->agents->len; i++)
    {
      struct az_entry_agent *agent = agent_at (board, pool, i);

      if (agent->demand.waiting)
        send_demand (board, agent, &none);
      pool->has_demand |= agent->demand.waiting > 0;
    }
}

void
az_entry_demand_send (struct az_entry_board *board, struct az_entry_pool *pool)
{
  struct az_demand demand;

  if (!pool->agents->len)
    return;
  demand = az_entry_pool_demand (board, pool);
  if (!demand.waiting || pool->n_usable)
    {
      if (pool->has_demand)
        send_zero_demand (board, pool);
      return;
    }
  if (!pool->has_demand)
    draw_sample (board, pool);
  pool->has_demand = true;
  for (guint i = 0; i < count_recipients (pool, &demand); i++)
    send_demand (board, agent_at (board, pool, i), &demand);
}
