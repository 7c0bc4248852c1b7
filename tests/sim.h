#ifndef AZUREROCK_TESTS_SIM_H
#define AZUREROCK_TESTS_SIM_H

#include "agent/guards.h"
#include "azurerock/agent_core.h"
#include "azurerock/entry_core.h"
#include "entry/guards.h"

/*
 * Simulation of a whole system on a virtual clock: several entry cores and agent cores, their
 * connections, the store, upstreams, callers and an operator, with random faults from a seed.
 * Everything happens in events; the same seed gives the same run. All times are in nanoseconds
 * of true time; each node has clocks with their own offset.
 */
#define SIM_MS 1000000ll
#define SIM_N_DOMAINS 3
#define SIM_N_ENTRIES 3
#define SIM_N_AGENTS 4
#define SIM_SLOTS 3
#define SIM_WALL_MS 1790000000000ll

struct sim;
struct sim_node;

/* Each schedule draws the kinds of faults it has, so that each kind occurs alone and in
 * combination with each other. */
enum sim_fault
{
  SIM_FAULT_CRASH_ENTRY,
  SIM_FAULT_CRASH_AGENT,
  SIM_FAULT_STOP_ENTRY,
  SIM_FAULT_STOP_AGENT,
  SIM_FAULT_FREEZE_ENTRY,
  SIM_FAULT_FREEZE_AGENT,
  SIM_FAULT_CUT,
  SIM_FAULT_ISOLATE,
  SIM_FAULT_PARTITION,
  SIM_FAULT_STALL,
  SIM_FAULT_STORE_DOWN,
  SIM_FAULT_STORE_SLOW,
  SIM_FAULT_STORE_LOSES,
  SIM_FAULT_PUBLISH,
  SIM_FAULT_UPSTREAM,
  SIM_N_FAULTS,
};

/**
 * struct sim_guards - what a test has turned off
 * @faults: bits of the faults to inject; 0 draws them from the seed
 */
struct sim_guards
{
  struct az_agent_guards agent;
  struct az_entry_guards entry;
  bool entry_always_fresh; /* entries dispatch without fresh evidence */
  uint32_t faults;
};

enum sim_kind
{
  SIM_ENTRY,
  SIM_AGENT,
};

/**
 * struct sim_event - work at a point in time
 * @node: index of the node it belongs to, or -1 for the world
 * @life: the event is dropped when the node has been replaced since
 */
struct sim_event
{
  int64_t at;
  uint64_t order;
  int node;
  uint32_t life;
  void (*run) (struct sim *sim, struct sim_node *node, void *data);
  void *data;
  void (*free) (void *data);
};

/**
 * struct sim_node - one process
 * @life: number of processes that ran here; 0 while none has
 * @inbox: events that arrived while it was frozen
 */
struct sim_node
{
  int index;
  enum sim_kind kind;
  struct sim *sim;
  bool alive;
  uint32_t life;
  uint64_t incarnation;
  char instance[16];
  char domain[8];
  char address[32];
  char http_address[32];
  int64_t mono_offset;
  int64_t wall_offset;
  int64_t frozen_until;
  GQueue inbox;
  bool stopping;
  int64_t started_at;
  int64_t stopped_at;
  uint64_t revision; /* highest that this process was seen to have */
  struct az_clock clock;
  GRand *random;
  struct az_counters *counters;
  struct az_entry_core *entry;
  struct az_agent_core *agent;
  GHashTable *upstream; /* handles of tasks that run there */
  bool unhealthy;
  bool store_read_pending;
  uint64_t read_revision; /* of the last answer; unchanged documents are left out */
  uint64_t read_owners;
};

struct sim_end
{
  int node;
  uint32_t life;
  bool closed;
  int64_t last_delivery;
  int64_t lost_after; /* messages to this end that would arrive later are lost */
};

struct sim_connection
{
  struct sim_end end[2];
};

struct sim_store
{
  char *config;
  uint64_t revision;
  char *owners;
  struct az_table table; /* parsed from owners */
  uint64_t owners_index;
  GHashTable *sessions; /* incarnation -> expiry */
  bool down;
  bool slow;
  bool loses_answers;
};

/** struct sim_publication - what the operator published and whether it is accepted */
struct sim_publication
{
  uint64_t revision;
  bool in_service[SIM_N_DOMAINS];
  int64_t accepted_at; /* 0: not known to be accepted */
};

/**
 * struct sim_job - one job of one caller
 * @request: the submission whose answer the caller waits for, 0 if none
 * @not_run: the last submission was answered "not run" and not repeated
 * @doubled: submitted twice at once, so that an answer speaks for its own submission only
 * @starts: number of starts of each task
 */
struct sim_job
{
  char id[64];
  uint32_t n_tasks;
  uint32_t deadline_ms;
  bool is_purchase; /* a second start is a violation of R6 */
  uint32_t submissions;
  uint32_t request;
  bool not_run;
  bool doubled;
  uint8_t *starts;
  uint32_t started;
};

/** struct sim_request - one HTTP request of a caller to an entry */
struct sim_request
{
  struct sim_job *job;
  int node;
  uint32_t life;
  uint32_t attempt; /* of the caller, from 1 */
  bool is_fetch;
  bool delivered;
  bool answered;
  bool abandoned;
};

struct sim
{
  uint64_t seed;
  GRand *random;
  int64_t now;
  int64_t end;
  uint64_t next_order;
  GArray *events; /* binary heap of struct sim_event */
  struct sim_node nodes[SIM_N_ENTRIES + SIM_N_AGENTS];
  GArray *connections; /* struct sim_connection */
  struct sim_store store;
  GArray *publications; /* struct sim_publication */
  GPtrArray *jobs;      /* struct sim_job */
  GHashTable *jobs_by_id;
  GArray *requests; /* struct sim_request; a handle is an index + 1 */
  int64_t cut_until[SIM_N_ENTRIES + SIM_N_AGENTS][SIM_N_ENTRIES + SIM_N_AGENTS];
  int64_t stall_until[SIM_N_ENTRIES + SIM_N_AGENTS][SIM_N_ENTRIES + SIM_N_AGENTS];
  int64_t store_cut_until[SIM_N_ENTRIES + SIM_N_AGENTS];
  bool quiet;   /* no more faults: everything heals */
  bool no_load; /* no more jobs */
  struct sim_guards guards;
  char *violation;
  int trace; /* 1: events, 2: also messages */
  uint32_t n_done, n_failed, n_not_run, n_unknown, n_starts;
  uint32_t n_messages;
};

/* sim.c */

/** sim_run - one schedule; returns NULL, or the first violation found (free with g_free()) */
char *
sim_run (uint64_t seed, const struct sim_guards *guards, struct sim *totals);
void
sim_violation (struct sim *sim, const char *rule, const char *format, ...) G_GNUC_PRINTF (3, 4);
void
sim_trace (struct sim *sim, const char *format, ...) G_GNUC_PRINTF (2, 3);
bool
sim_chance (struct sim *sim, double probability);
int64_t
sim_between (struct sim *sim, int64_t low_ms, int64_t high_ms); /* ns */

/* sim_events.c */
void
sim_schedule (struct sim *sim,
              int64_t at,
              struct sim_node *node,
              void (*run) (struct sim *sim, struct sim_node *node, void *data),
              void *data,
              void (*free) (void *data));
bool
sim_step (struct sim *sim);
void
sim_events_clear (struct sim *sim);
void
sim_node_forget_inbox (struct sim_node *node);
void
sim_freeze (struct sim *sim, struct sim_node *node, int64_t duration);

/* sim_network.c */
void
sim_send (struct sim *sim,
          struct sim_node *node,
          uint32_t handle,
          const struct az_message *message);
void
sim_connect (struct sim *sim, struct sim_node *node, const char *address);
void
sim_close (struct sim *sim, struct sim_node *node, uint32_t handle);
void
sim_cut (struct sim *sim, int a, int b, bool silent);
void
sim_close_all (struct sim *sim, struct sim_node *node);

/* sim_store.c */
void
sim_store_create (struct sim *sim);
void
sim_store_destroy (struct sim *sim);
void
sim_store_attach (struct sim *sim, struct sim_node *node);
void
sim_store_write_table (struct sim *sim,
                       struct sim_node *node,
                       const struct az_table *table,
                       uint64_t expected_index);

/* sim_operator.c */
void
sim_operator_create (struct sim *sim);
void
sim_operator_publish (struct sim *sim);
const struct sim_publication *
sim_last_publication (const struct sim *sim);

/* sim_nodes.c */
void
sim_nodes_create (struct sim *sim);
void
sim_node_start (struct sim *sim, struct sim_node *node);
void
sim_node_end (struct sim *sim, struct sim_node *node);
void
sim_node_stop (struct sim *sim, struct sim_node *node);
void
sim_node_flush (struct sim_node *node);
bool
sim_node_is_frozen (const struct sim_node *node);
struct sim_node *
sim_random_node (struct sim *sim, enum sim_kind kind);
uint64_t
sim_node_revision (struct sim_node *node);

void
sim_node_forget (struct sim_node *node);

/* sim_upstream.c */
void
sim_upstream_attach (struct sim_node *node);
void
sim_upstream_start (void *context, const struct az_agent_task *task);
void
sim_upstream_cancel (void *context, uint32_t handle);

/* sim_callers.c */
void
sim_callers_create (struct sim *sim);
void
sim_answer (void *context, uint32_t request, const struct az_answer *answer);
void
sim_callers_lose (struct sim *sim, struct sim_node *node);

/* sim_faults.c */
void
sim_faults_create (struct sim *sim);

/* sim_rules.c */
void
sim_rules_start (struct sim *sim, struct sim_node *agent, const struct az_attempt *id);
void
sim_rules_answer (struct sim *sim, struct sim_job *job, const struct az_answer *answer);
void
sim_rules_revision (struct sim *sim, struct sim_node *node);
void
sim_rules_drained (struct sim *sim, struct sim_node *node);
void
sim_rules_final (struct sim *sim);

#endif
