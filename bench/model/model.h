#ifndef AZUREROCK_MODEL_H
#define AZUREROCK_MODEL_H

#include "azurerock/clock.h"
#include "azurerock/ejector.h"
#include "load/workload.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define MODEL_ENTRIES_MAX 16
#define MODEL_AGENTS_MAX 64
#define MODEL_NODES_MAX (MODEL_ENTRIES_MAX + MODEL_AGENTS_MAX)

enum model_policy
{
  MODEL_RANDOM,
  MODEL_TWO_CHOICES,
  MODEL_STALE_VIEW,
  MODEL_RESERVATION,
  MODEL_CENTRAL,
  MODEL_N_POLICIES,
};

enum model_message
{
  MODEL_START,
  MODEL_RESULT,
  MODEL_PROBE,
  MODEL_REPLY,
  MODEL_GRANT,
  MODEL_DEMAND,
  MODEL_RECALL,
  MODEL_RETURN,
  MODEL_REFUSED,
  MODEL_N_MESSAGES,
};

/**
 * struct model_config - parameters of one run
 * @delay_us: delay of each message
 * @demand_fanout: number of agents to which an entry without grants sends DEMAND, per waiting
 *                 task; 0 means all agents
 * @return_unneeded: an entry returns a grant at once if it has no waiting task and the agent
 *                   knows of demand of other entries
 * @split_demand: DEMAND carries the agent's share of the waiting tasks instead of their number
 * @keep_grants: if no entry has demand, a slot is granted to the entry that used it last, unless
 *               that entry has this many idle grants more than another one at this agent; 0
 *               always grants it to the entry with the fewest
 * @recall_idle_us: idle time after which a grant may be recalled
 * @failing_agents: number of agents that fail every task at once
 * @use_ejector: entries eject agents with az_ejector
 * @withdraw_us, @restore_us: the agents of one domain are withdrawn and restored; 0 for never
 * @withdrawn_agents: number of these agents
 * @ramp_up: only half of the slots are usable in the first 500 ms after the restore
 */
struct model_config
{
  enum model_policy policy;
  uint32_t agents;
  uint32_t slots;
  uint32_t entries;
  int64_t delay_us;
  guint32 seed;
  uint32_t demand_fanout;
  bool return_unneeded;
  bool split_demand;
  uint32_t keep_grants;
  int64_t recall_idle_us;
  uint32_t failing_agents;
  bool use_ejector;
  int64_t withdraw_us;
  int64_t restore_us;
  uint32_t withdrawn_agents;
  bool ramp_up;
};

struct model_job
{
  uint32_t entry;
  uint32_t remaining_tasks;
  int64_t response_us;
};

struct model;

/** struct model_event - message or timer; the meaning of @a and @b depends on @handler */
struct model_event
{
  int64_t time_us;
  uint64_t serial;
  void (*handler) (struct model *model, const struct model_event *event);
  uint32_t from;
  uint32_t to;
  uint32_t task;
  uint32_t epoch;
  int64_t a;
  int64_t b;
};

struct model_agent
{
  bool in_service;
  uint32_t usable_slots;
  uint32_t busy;
  uint32_t epoch; /* changes when the agent is withdrawn, which invalidates older grants */
};

struct model
{
  struct model_config config;
  const struct az_workload *workload;
  GRand *random;
  int64_t now_us;
  uint64_t next_serial;
  GSequence *events;
  struct az_clock clock;
  struct model_agent agents[MODEL_AGENTS_MAX];
  struct az_ejector *ejectors[MODEL_ENTRIES_MAX];
  struct model_job *jobs;
  uint32_t *task_jobs; /* job of each task */
  void *state;         /* state of the policy */
  uint64_t messages[MODEL_N_MESSAGES];
  int64_t last_sent_us[MODEL_N_MESSAGES][MODEL_NODES_MAX][MODEL_NODES_MAX];
  uint64_t starts;
  uint64_t failed_starts;          /* starts on a failing agent */
  uint64_t failed_starts_after_1s; /* failed starts after the first second of the run */
  uint64_t starts_after_1s;
  GArray *busy_slot_us; /* int64_t: busy time of all slots per interval of 100 ms */
};

/** struct model_policy_ops - callbacks of a policy; tasks are indexes into the workload */
struct model_policy_ops
{
  void (*create) (struct model *model);
  void (*destroy) (struct model *model);
  void (*submit) (struct model *model, uint32_t entry, uint32_t job);
  /* a task's slot is free again; @entry gets the result */
  void (*task_finished) (struct model *model, uint32_t agent, uint32_t entry, uint32_t task);
  /* an agent was withdrawn or restored, or its usable slots changed */
  void (*agent_changed) (struct model *model, uint32_t agent);
  /* an entry received a result, which may have ejected or readmitted @agent */
  void (*result_received) (struct model *model, uint32_t entry, uint32_t agent);
};

extern const struct model_policy_ops model_early_binding;
extern const struct model_policy_ops model_reservation;
extern const struct model_policy_ops model_central;

/** model_create - creates a run of @workload, which must stay valid */
struct model *
model_create (const struct model_config *config, const struct az_workload *workload);

/** model_run - runs until all jobs are answered */
void
model_run (struct model *model);
void
model_destroy (struct model *model);

/** model_schedule - copies the event into the queue; it is due after @delay_us */
void
model_schedule (struct model *model, int64_t delay_us, const struct model_event *event);

/** model_send - counts and delivers a message; messages of one kind from one sender to one receiver
 * count as one if they are sent at the same time. In the fields @from and @to of an event, entries
 * are numbered from 0 and agents from MODEL_ENTRIES_MAX. */
void
model_send (struct model *model, enum model_message kind, const struct model_event *event);

void
model_start_task (struct model *model, uint32_t agent, uint32_t entry, uint32_t task);

static inline uint32_t
model_node_of_agent (uint32_t agent)
{
  return MODEL_ENTRIES_MAX + agent;
}

static inline uint32_t
model_agent_of_node (uint32_t node)
{
  return node - MODEL_ENTRIES_MAX;
}

#endif
