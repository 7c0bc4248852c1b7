#ifndef AZUREROCK_TESTS_SIM_H
#define AZUREROCK_TESTS_SIM_H

#include "agent/guards.h"
#include "azurerock/agent_core.h"
#include "azurerock/entry_core.h"
#include "entry/guards.h"

/*
 * Simulates a whole system on a virtual clock: several entry cores and agent cores, their
 * connections, the store, upstreams, callers and an operator. Faults are injected at random from a
 * seed. The simulation is driven by events in one thread, so the same seed gives the same run. All
 * times are in nanoseconds of true time; the clocks of each node have their own offsets from it.
 *
 * The rules that every run must meet (see sim_rules.c):
 * R1: A task is started at most once.
 * R2: An answer "done" has a result for each task; any other answer has none.
 * R3: No task starts in a domain 3 s after a revision that withdraws it was accepted.
 * R4: A request is answered once, with the results of its own tasks.
 * R5: No task of a job has started if the job is answered "not run", and none starts afterwards.
 * R6: A task of a non-idempotent job is started at most once.
 * R7: No task starts at an agent 3 s after its planned stop has begun.
 * R8: A process ends after a planned stop only when its requests are answered and no task runs.
 * R9: The revision of a process never decreases. No task starts under an older revision 6 s after a
 *     newer one was accepted. At the end all processes have the newest one, except those that have
 *     started in the last 6 s.
 */
#define SIM_MS 1000000ll
#define SIM_N_DOMAINS 3
#define SIM_N_ENTRIES 3
#define SIM_N_AGENTS 4
#define SIM_SLOTS 3

/* Wall clock time at the start of a run. */
#define SIM_WALL_MS 1790000000000ll

struct sim;
struct sim_node;

/* Each run draws the kinds of faults that it injects, so that each kind occurs alone and in
 * combination with the others. */
enum sim_fault
{
  SIM_FAULT_CRASH_ENTRY,
  SIM_FAULT_CRASH_AGENT,
  SIM_FAULT_STOP_ENTRY,
  SIM_FAULT_STOP_AGENT,
  SIM_FAULT_FREEZE_ENTRY,
  SIM_FAULT_FREEZE_AGENT,
  SIM_FAULT_DISCONNECT,
  SIM_FAULT_ISOLATE,
  SIM_FAULT_PARTITION,
  SIM_FAULT_STALL,
  SIM_FAULT_STORE_DOWN,
  SIM_FAULT_STORE_SLOW,
  SIM_FAULT_STORE_LOSES_ANSWERS,
  SIM_FAULT_PUBLISH,
  SIM_FAULT_UPSTREAM_UNHEALTHY,
  SIM_N_FAULTS,
};

/**
 * struct sim_guards - safety checks that a test has disabled, and the faults that it injects
 * @fault_kinds: bit mask of enum sim_fault; 0 draws the kinds from the seed
 */
struct sim_guards
{
  struct az_agent_guards agent;
  struct az_entry_guards entry;
  bool entry_always_fresh; /* entries dispatch without fresh evidence */
  uint32_t fault_kinds;
};

enum sim_node_kind
{
  SIM_ENTRY,
  SIM_AGENT,
};

/**
 * struct sim_event - a function to be called at a point in time
 * @order: number of the event; events of the same time run in this order
 * @node: index of the node that the event belongs to, or -1 if it belongs to none
 * @generation: the event is dropped if the node is of a later generation by then
 * @free: frees @data; may be NULL
 */
struct sim_event
{
  int64_t at;
  uint64_t order;
  int node;
  uint32_t generation;
  void (*run) (struct sim *sim, struct sim_node *node, void *data);
  void *data;
  void (*free) (void *data);
};

/**
 * struct sim_node - an instance on which one process runs at a time
 * @generation: number of the present or last process, from 1; 0 before the first
 * @inbox: events that became due while the process was frozen
 * @last_read_revision: revision in the last answer of the store; an unchanged document isn't passed
 *                      to the core again
 * @last_read_owners_index: modify index of the owner table in that answer
 */
struct sim_node
{
  int index;
  enum sim_node_kind kind;
  struct sim *sim;
  bool alive;
  uint32_t generation;
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
  uint64_t revision; /* highest revision that the process has had so far */
  struct az_clock clock;
  GRand *random;
  struct az_counters *counters;
  struct az_entry_core *entry;
  struct az_agent_core *agent;
  GHashTable *running_tasks; /* set of task handles, at the upstream of an agent */
  bool is_upstream_unhealthy;
  bool store_read_pending;
  uint64_t last_read_revision;
  uint64_t last_read_owners_index;
};

/** struct sim_endpoint - one end of a connection, as the process at this end sees it */
struct sim_endpoint
{
  int node;
  uint32_t generation;
  bool closed;
  int64_t last_delivery_at;
  int64_t lost_after; /* messages that would arrive here later are lost */
};

struct sim_connection
{
  struct sim_endpoint endpoints[2];
};

struct sim_store
{
  char *config;
  uint64_t revision;
  char *owners;
  struct az_table table; /* parsed from owners */
  uint64_t owners_index;
  GHashTable *sessions; /* incarnation -> expiry */
  bool is_down;
  bool is_slow;
  bool loses_answers;
};

/** struct sim_publication - a revision that the operator has published */
struct sim_publication
{
  uint64_t revision;
  bool in_service[SIM_N_DOMAINS];
  int64_t accepted_at; /* 0 until enough entries have confirmed the revision */
};

/**
 * struct sim_job - one job of one caller
 * @is_non_idempotent: a second start of a task, which R1 forbids for all jobs, is reported as a
 *                     violation of R6, which forbids it for non-idempotent jobs
 * @request: the submission whose answer the caller waits for, 0 if none
 * @was_answered_not_run: the last submission was answered "not run" and has not been repeated
 * @has_parallel_submission: the job was submitted twice at the same time, so an answer applies
 *                           only to the submission that it belongs to
 * @starts_by_task: number of starts of each task
 * @n_task_starts: number of starts of all tasks
 */
struct sim_job
{
  char id[64];
  uint32_t n_tasks;
  uint32_t deadline_ms;
  bool is_non_idempotent;
  uint32_t submissions;
  uint32_t request;
  bool was_answered_not_run;
  bool has_parallel_submission;
  uint8_t *starts_by_task;
  uint32_t n_task_starts;
};

/** struct sim_request - one HTTP request of a caller to an entry */
struct sim_request
{
  struct sim_job *job;
  int node;
  uint32_t generation;
  uint32_t attempt; /* number of the caller's submission, from 1 */
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
  int64_t ends_at;
  uint64_t next_order;
  GArray *events; /* binary heap of struct sim_event */
  struct sim_node nodes[SIM_N_ENTRIES + SIM_N_AGENTS];
  GArray *connections; /* struct sim_connection */
  struct sim_store store;
  GArray *publications; /* struct sim_publication */
  GPtrArray *jobs;      /* struct sim_job */
  GHashTable *jobs_by_id;
  GArray *requests; /* struct sim_request; a handle is an index + 1 */
  int64_t disconnected_until[SIM_N_ENTRIES + SIM_N_AGENTS][SIM_N_ENTRIES + SIM_N_AGENTS];
  int64_t stall_until[SIM_N_ENTRIES + SIM_N_AGENTS][SIM_N_ENTRIES + SIM_N_AGENTS];
  int64_t store_disconnected_until[SIM_N_ENTRIES + SIM_N_AGENTS];
  bool has_healed;     /* no more faults are injected and the earlier ones are repaired */
  bool has_load_ended; /* no more jobs are submitted */
  struct sim_guards guards;
  char *violation;
  int trace; /* 1 prints events, 2 also messages */
  uint32_t n_done, n_failed, n_not_run, n_unknown, n_starts;
  uint32_t n_messages;
};

/* sim.c */

/**
 * sim_run - runs the simulation of one seed
 * @totals: the counters of the run are added to its counters, and its field @trace sets the trace
 *          level; may be NULL
 *
 * Return: NULL, or the first violation of a rule, to be freed with g_free().
 */
char *
sim_run (uint64_t seed, const struct sim_guards *guards, struct sim *totals);
void
sim_report_violation (struct sim *sim, const char *rule, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
void
sim_trace (struct sim *sim, const char *format, ...) G_GNUC_PRINTF (2, 3);
bool
sim_chance (struct sim *sim, double probability);

/** sim_random_ns - returns a random duration in nanoseconds between two limits in milliseconds */
int64_t
sim_random_ns (struct sim *sim, int64_t low_ms, int64_t high_ms);

/* sim_events.c */

/** sim_schedule - adds an event; @node is NULL if it belongs to none, otherwise it is dropped if
 * the process of the node has ended by then */
void
sim_schedule (struct sim *sim,
              int64_t at,
              struct sim_node *node,
              void (*run) (struct sim *sim, struct sim_node *node, void *data),
              void *data,
              void (*free) (void *data));

/** sim_step - runs the next event; returns false at the end of the run or after a violation */
bool
sim_step (struct sim *sim);
void
sim_events_clear (struct sim *sim);
void
sim_node_clear_inbox (struct sim_node *node);

/** sim_freeze - suspends a process; its events run when it resumes */
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

/** sim_break_connections - breaks the connections between two nodes
 * @silent: the processes notice it only after up to 12 s, otherwise within 40 ms
 */
void
sim_break_connections (struct sim *sim, int a, int b, bool silent);

/** sim_close_connections - closes all connections of a process that ends; messages that it has sent
 * still arrive */
void
sim_close_connections (struct sim *sim, struct sim_node *node);

/* sim_store.c */
void
sim_store_create (struct sim *sim);
void
sim_store_destroy (struct sim *sim);

/** sim_store_attach - starts the session and the polling of an entry, as the entry program does */
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

/** sim_node_terminate - ends a process without a drain; its connections are closed */
void
sim_node_terminate (struct sim *sim, struct sim_node *node);

/** sim_node_stop - begins a planned stop; a new process starts after the drain */
void
sim_node_stop (struct sim *sim, struct sim_node *node);
void
sim_node_flush (struct sim_node *node);
bool
sim_node_is_frozen (const struct sim_node *node);
struct sim_node *
sim_random_node (struct sim *sim, enum sim_node_kind kind);
uint64_t
sim_node_revision (struct sim_node *node);

/** sim_node_destroy - frees the process of a node */
void
sim_node_destroy (struct sim_node *node);

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

/** sim_callers_handle_answer - callback of an entry core that answers a request */
void
sim_callers_handle_answer (void *context, uint32_t request, const struct az_answer *answer);

/** sim_callers_disconnect - breaks the connections of callers to a process that ends */
void
sim_callers_disconnect (struct sim *sim, struct sim_node *node);

/* sim_faults.c */
void
sim_faults_create (struct sim *sim);

/* sim_rules.c */

/** sim_rules_check_start - call when a task starts at the upstream of @agent */
void
sim_rules_check_start (struct sim *sim, struct sim_node *agent, const struct az_attempt *id);

/** sim_rules_check_answer - call when a caller receives an answer */
void
sim_rules_check_answer (struct sim *sim, struct sim_job *job, const struct az_answer *answer);

/** sim_rules_check_revision - call when a process may have adopted a configuration */
void
sim_rules_check_revision (struct sim *sim, struct sim_node *node);

/** sim_rules_check_drained - call when a process ends after a planned stop */
void
sim_rules_check_drained (struct sim *sim, struct sim_node *node);

/** sim_rules_check_final - call at the end of the run, after all faults have been repaired */
void
sim_rules_check_final (struct sim *sim);

#endif
