#ifndef AZUREROCK_ENTRY_BOARD_H
#define AZUREROCK_ENTRY_BOARD_H

#include "azurerock/configuration.h"
#include "azurerock/ejector.h"
#include "azurerock/entry_core.h"
#include "azurerock/limits.h"
#include "azurerock/quota_share.h"
#include "azurerock/retry_budget.h"
#include "azurerock/run_time.h"
#include "azurerock/table.h"
#include "azurerock/team_queue.h"
#include "entry/guards.h"
#include "entry/heap.h"

/*
 * State of an entry, shared by its controllers. Jobs, agents and peers are rows addressed by
 * handles; services (groups of the queue), upstreams (pools of agents) and teams are addressed by
 * an index that a name keeps for the life of the process.
 */

#define AZ_ENTRY_NONE UINT32_MAX

/* Agents with more usable grants than this share one bucket of their pool. */
#define AZ_ENTRY_GRANT_BUCKETS 64

enum az_entry_task_state
{
  AZ_ENTRY_TASK_WAITING,
  AZ_ENTRY_TASK_DELAYED, /* refused, waits for the retry budget */
  AZ_ENTRY_TASK_OPEN,    /* START was sent, the fate is open */
  AZ_ENTRY_TASK_OK,
  AZ_ENTRY_TASK_FAILED,
  AZ_ENTRY_TASK_UNKNOWN,
  AZ_ENTRY_TASK_DROPPED, /* never started and never will */
};

struct az_entry_task
{
  enum az_entry_task_state state;
  uint32_t attempt;
  uint32_t agent;
  az_payload result;
};

enum az_entry_role
{
  AZ_ENTRY_ROLE_OWNER,
  AZ_ENTRY_ROLE_FORWARDER,
};

struct az_entry_job
{
  char *id;
  int64_t id_time_ms;
  uint32_t partition;
  enum az_entry_role role;
  bool first_attempt; /* no submission but the caller's first is known */
  uint32_t attempt;   /* highest of the caller that is known, 0 if not stated */
  bool cancelled;
  uint32_t team;
  uint32_t group;
  struct timespec arrived_at;
  struct timespec deadline;
  struct az_submit *request; /* NULL once answered */
  struct az_entry_task *tasks;
  uint32_t n_tasks;
  uint32_t *waiting; /* stack of waiting tasks */
  uint32_t n_waiting;
  uint32_t n_delayed;
  uint32_t n_open;
  uint32_t n_ok;
  uint32_t n_failed;
  uint32_t n_unknown;
  const char *failure; /* code of the last failed task, a literal */
  GArray *waiters;     /* uint32_t handles of callers' requests */
  GArray *peers;       /* uint64_t incarnations of entries that forwarded the job */
  struct az_answer *answer;
  struct timespec answered;
  size_t answer_bytes;
  /* of a forwarder */
  uint64_t owner;
  bool was_forwarded;
  uint32_t sent_on; /* peer connection that carried SUBMIT, 0 if none */
};

/* A task whose START went to an agent. Attempts are unique within an entry's incarnation. */
struct az_entry_open_attempt
{
  uint32_t attempt;
  uint32_t job;
  uint32_t task;
  uint32_t team;
  uint64_t grant;
};

struct az_entry_grant
{
  uint64_t id;
  struct timespec expires;
};

struct az_entry_agent
{
  uint32_t handle;
  uint64_t incarnation;
  char *instance;
  char *domain;
  uint32_t pool;
  uint32_t slots;
  uint32_t connection; /* 0 if none */
  bool in_service;
  bool stopping;
  bool suspected;

  struct timespec last_received_at;
  struct timespec blocked_until; /* after a refusal that more STARTs would meet as well */
  uint64_t result_sequence;
  uint64_t sent_revision;
  uint64_t sent_table;
  GArray *idle;  /* struct az_entry_grant */
  GArray *open;  /* struct az_entry_open_attempt */
  GArray *batch; /* struct az_entry_open_attempt, part of the next START */
  /* place in the pool's buckets */
  uint32_t n_listed_grants; /* usable grants counted in the pool */
  uint32_t next;
  uint32_t previous;
  struct az_demand demand; /* last figures sent */
  struct timespec demand_sent_at;
};

struct az_entry_peer
{
  uint32_t handle;
  uint64_t incarnation;
  char *instance;
  char *rpc_address;
  uint32_t connection; /* 0 if none */
  bool connecting;
  bool in_roster;
  struct timespec retry_at;
  uint64_t revision;
  uint64_t table_version;
  bool restored;
  bool has_acked;
  struct timespec acked; /* send time, on this clock, of the last exchange answered */
  uint64_t sent_revision;
  uint64_t sent_table;
  GHashTable *claims; /* team index -> struct az_quota_peer */
};

enum az_entry_link_kind
{
  AZ_ENTRY_LINK_NEW,
  AZ_ENTRY_LINK_AGENT,
  AZ_ENTRY_LINK_PEER,
};

struct az_entry_link
{
  enum az_entry_link_kind kind;
  uint32_t handle;
  bool outgoing;
  char *address;
};

/* One service: a group of the team queue. */
struct az_entry_group
{
  char *name;
  bool configured;
  struct az_policy policy;
  GArray *pools; /* uint32_t, upstreams of the service */
  struct az_run_time *run_times;
  int64_t min_run_us; /* 0 while there are too few observations */
  int64_t p10_run_us;
  uint64_t waiting;
  GQueue arrivals; /* job handles in arrival order, for the age of the oldest */
};

/* One upstream: agents that announced it, in buckets by number of usable grants. */
struct az_entry_pool
{
  char *name;
  bool configured;
  bool in_service;
  uint32_t slots;
  uint32_t connections;
  uint32_t task_timeout_ms;
  GArray *groups;                        /* uint32_t */
  uint32_t head[AZ_ENTRY_GRANT_BUCKETS]; /* first agent of each */
  uint32_t tail[AZ_ENTRY_GRANT_BUCKETS];
  uint32_t highest_bucket; /* no bucket above this one is filled */
  uint32_t n_usable;
  uint64_t connected_slots; /* of agents in service */
  uint64_t n_open;          /* tasks whose START went to an agent of the pool */
  GArray *agents;           /* uint32_t handles of connected agents */
  struct az_ejector *ejector;
  bool has_demand; /* agents were told of waiting tasks */
};

struct az_entry_team
{
  char *name;
  bool configured;
  uint32_t quota;
  uint32_t weight;
  uint32_t max_queued;
  uint32_t claim;
  GHashTable *services; /* set of group index + 1 */
};

struct az_entry_request
{
  uint32_t job;
  bool is_fetch;
  struct timespec wait_until;
};

struct az_entry_delayed_task
{
  uint32_t job;
  uint32_t task;
  struct timespec not_before;
};

/* A job put together from agents' records after a takeover. */
struct az_entry_recovery
{
  uint32_t n_tasks;
  uint32_t n_ok;
  uint32_t n_failed;
  struct az_entry_task *tasks;
};

struct az_entry_counters
{
  uint32_t sent[AZ_CANCEL_JOB + 1];
  uint32_t received[AZ_CANCEL_JOB + 1];
  uint32_t outcomes[AZ_OUTCOME_UNKNOWN + 1];
  uint32_t submitted;
  uint32_t forwarded;
  uint32_t started;
  uint32_t retried;
  uint32_t dropped;
  uint32_t refused;
  uint32_t late;
  uint32_t cancelled;
  uint32_t duplicate;
  uint32_t table_writes;
  uint32_t agents;
  uint32_t ejected;
  uint32_t jobs;
  uint32_t waiting;
  uint32_t evidence_age;
};

/**
 * struct az_entry_owned - which ids of a partition this entry has complete knowledge of
 * @horizon_ms: those from here on, while it is the owner
 * @handover_horizon_ms: the horizon as set when the table version was confirmed
 * @known_from_ms: besides, those of its former intervals, from here
 * @known_until_ms: to here, exclusive
 * @interim: owner of the interval that began at @known_until_ms; 0 if that can't be told
 * @from_ms: -1 if not owned
 * @is_pending: until the table version is confirmed
 * @is_direct: the version before named the previous owner as owner
 */
struct az_entry_owned
{
  int64_t horizon_ms;
  int64_t handover_horizon_ms;
  int64_t known_from_ms;
  int64_t known_until_ms;
  uint64_t interim;
  int64_t from_ms;
  bool is_pending;
  bool is_direct;
};

/* The last reading of the store and the write that may be under way. */
struct az_entry_store_state
{
  bool seen;
  bool owners_absent;
  bool config_rejected; /* the stored document is invalid: a later "unchanged" proves nothing */
  bool has_sessions;
  bool write_pending;
  struct timespec evidence; /* send time of the last read with this entry's state */
  struct timespec read;     /* send time of the last read */
  uint64_t index;
  uint64_t table_version; /* version that @index stands for */
  GHashTable *sessions;   /* live incarnations: set of uint64_t * */
  GHashTable *missing;    /* uint64_t * -> struct timespec *, since when a member has no session */
  struct timespec next_write;
  struct timespec written; /* when the last write was asked for */
};

/* Since when this entry is known to have the newest configuration and table. */
struct az_entry_evidence
{
  bool exists;
  bool is_now;
  struct timespec time;
};

struct az_entry_board
{
  struct az_entry_guards guards;
  struct az_entry_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  GRand *random;
  struct az_entry_io io;
  struct az_counters *counters;
  struct az_event_log *events;
  struct az_entry_counters count;
  struct timespec now;
  int64_t wall_ms;
  bool stopping;
  bool handed_over; /* this stop has moved partitions once */
  bool restored;    /* this entry's state counts towards a majority */
  bool has_table;

  /* configuration in force */
  struct az_configuration *configuration;
  char *document;
  size_t document_length;
  uint64_t revision;

  /* owner table in force */
  struct az_table table;
  uint64_t confirmed_version;
  struct az_entry_owned owned[AZ_PARTITIONS];
  uint64_t recover_partitions;
  struct timespec recover_until;

  struct az_entry_store_state store;
  struct az_entry_evidence evidence;
  struct timespec next_exchange;
  struct timespec next_slow_tick;

  GHashTable *links; /* connection -> struct az_entry_link */
  struct az_table_rows *agents;
  GHashTable *agents_by_instance; /* instance -> handle */
  struct az_table_rows *peers;
  struct az_table_rows *jobs;
  GHashTable *jobs_by_id; /* id -> handle */
  GHashTable *requests;   /* request -> struct az_entry_request */
  GQueue answered;        /* handles of answered jobs, oldest first */
  size_t answered_bytes;
  GQueue delayed; /* struct az_entry_delayed_task */
  struct az_entry_heap *timers;
  uint32_t next_attempt;
  GHashTable *not_run; /* id -> attempts of it that are not run */
  GQueue not_run_order;
  GHashTable *unanswered; /* id -> struct timespec until which it is remembered */
  GHashTable *recoveries; /* id -> struct az_entry_recovery */
  size_t recovery_bytes;

  GPtrArray *groups; /* struct az_entry_group */
  GHashTable *group_by_name;
  GPtrArray *pools; /* struct az_entry_pool */
  GHashTable *pool_by_name;
  GPtrArray *teams; /* struct az_entry_team */
  GHashTable *team_by_name;

  struct az_team_queue *queue;
  struct az_retry_budget *retry_budget;
  uint32_t retry_percent;
  GArray *batched_agents; /* handles of agents with a batch */
  uint32_t next_group;
};

struct az_entry_board *
az_entry_board_create (const struct az_entry_settings *settings,
                       uint64_t incarnation,
                       const struct az_clock *clock,
                       GRand *random,
                       const struct az_entry_io *io);
void
az_entry_board_destroy (struct az_entry_board *board);

/** az_entry_board_update_time - reads the clock once for a whole call */
void
az_entry_board_update_time (struct az_entry_board *board);

struct az_entry_job *
az_entry_board_job (const struct az_entry_board *board, uint32_t handle);
struct az_entry_agent *
az_entry_board_agent (const struct az_entry_board *board, uint32_t handle);
struct az_entry_peer *
az_entry_board_peer (const struct az_entry_board *board, uint32_t handle);
struct az_entry_group *
az_entry_board_group (const struct az_entry_board *board, uint32_t group);
struct az_entry_pool *
az_entry_board_pool (const struct az_entry_board *board, uint32_t pool);
struct az_entry_team *
az_entry_board_team (const struct az_entry_board *board, uint32_t team);

#endif
