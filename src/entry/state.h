#ifndef AZUREROCK_ENTRY_STATE_H
#define AZUREROCK_ENTRY_STATE_H

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
#include "entry/timers.h"

/*
 * State of one entry, which all parts of its core share. Jobs, agents and peers are rows that are
 * addressed by handles (see azurerock/table.h). Services, upstreams and teams are addressed by an
 * index that stays the same for the life of the process. The index of a service is also its group
 * in the team queue.
 */

#define AZ_ENTRY_NONE UINT32_MAX

/* Each upstream keeps its agents in lists by their number of usable grants, called buckets. An
 * agent with N usable grants is in bucket N; the last bucket also holds the agents with more
 * grants. An agent without usable grants is in no bucket and counts as not listed. */
#define AZ_ENTRY_GRANT_BUCKETS 64

enum az_entry_task_state
{
  AZ_ENTRY_TASK_WAITING, /* is in the team queue */
  AZ_ENTRY_TASK_DELAYED, /* was not started by an agent; waits for its delay and the retry budget */
  AZ_ENTRY_TASK_OPEN,    /* START was sent and the outcome is not known */
  AZ_ENTRY_TASK_OK,
  AZ_ENTRY_TASK_FAILED,
  AZ_ENTRY_TASK_UNKNOWN,
  AZ_ENTRY_TASK_DROPPED, /* has not started and will not be started */
};

struct az_entry_task
{
  enum az_entry_task_state task_state;
  uint32_t attempt;
  uint32_t agent;
  az_payload result;
};

enum az_entry_role
{
  AZ_ENTRY_ROLE_OWNER,     /* dispatches the tasks of the job */
  AZ_ENTRY_ROLE_FORWARDER, /* sends the job to its owner and passes on the answer */
};

struct az_entry_job
{
  char *id;
  int64_t id_time_ms;
  uint32_t partition;
  enum az_entry_role role;
  bool is_first_submission; /* every submission received so far was the caller's first one */
  uint32_t attempt;         /* highest submission number that the caller stated, 0 if none */
  bool cancelled;
  uint32_t team;
  uint32_t group; /* index of its service, which is its group in the team queue */
  struct timespec arrived_at;
  struct timespec deadline;
  struct az_submit *request; /* NULL once answered */
  struct az_entry_task *tasks;
  uint32_t n_tasks;
  uint32_t *waiting; /* stack of the indexes of waiting tasks */
  uint32_t n_waiting;
  uint32_t n_delayed;
  uint32_t n_open;
  uint32_t n_ok;
  uint32_t n_failed;
  uint32_t n_unknown;
  const char *failure; /* error code of the task that failed last, a string literal */
  GArray *waiters;     /* uint32_t handles of the callers' requests that wait for the answer */
  GArray *peers;       /* uint64_t incarnations of the entries that forwarded the job */
  struct az_answer *answer;
  struct timespec answered;
  size_t answer_bytes;
  /* The following fields are used only if the role is AZ_ENTRY_ROLE_FORWARDER. */
  uint64_t owner;
  bool was_forwarded;
  uint32_t submit_connection; /* peer connection on which the last SUBMIT was sent, 0 if none */
};

/* An attempt to run a task: its START was sent to an agent and its outcome is not known. The number
 * of the attempt is unique within the incarnation of the entry. */
struct az_entry_open_attempt
{
  uint32_t attempt;
  uint32_t job;
  uint32_t task;
  uint32_t team;
  uint64_t grant;
};

/* A free slot of an agent that is reserved for this entry. */
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
  uint32_t pool; /* index of the upstream that the agent sends tasks to */
  uint32_t slots;
  uint32_t connection; /* 0 if none */
  bool in_service;
  bool stopping;
  bool suspected;

  struct timespec last_received_at;
  struct timespec blocked_until; /* no START is sent earlier, since the agent would refuse it */
  uint64_t result_sequence;
  uint64_t sent_revision;
  uint64_t sent_table_version;
  GArray *idle_grants; /* struct az_entry_grant: grants that no task uses */
  GArray *open;        /* struct az_entry_open_attempt */
  GArray *batch;       /* struct az_entry_open_attempt: attempts of the next START */
  /* The upstream lists the agent in the bucket for its number of usable grants. */
  uint32_t n_listed_grants; /* usable grants when it was put into its bucket, 0 if in no bucket */
  uint32_t next;
  uint32_t previous;
  struct az_demand demand; /* last demand sent to the agent, in DEMAND or START */
  struct timespec demand_sent_at;
};

/* Another entry. */
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
  struct timespec
      acked_sent_at; /* when this entry sent the last PEER_STATE that was acknowledged */
  uint64_t sent_revision;
  uint64_t sent_table_version;
  GHashTable *claims; /* team index -> struct az_quota_peer */
};

enum az_entry_connection_kind
{
  AZ_ENTRY_CONNECTION_NEW,
  AZ_ENTRY_CONNECTION_AGENT,
  AZ_ENTRY_CONNECTION_PEER,
};

/* One connection of an agent or peer. */
struct az_entry_connection
{
  enum az_entry_connection_kind kind;
  uint32_t handle;
  bool outgoing;
  char *address;
};

/* One service, which is a group of the team queue. */
struct az_entry_service
{
  char *name;
  bool configured;
  struct az_policy policy;
  GArray *upstream_indexes; /* uint32_t indexes of the upstreams that the service uses */
  struct az_run_time *run_times;
  int64_t min_run_us; /* 0 while too few run times have been observed */
  int64_t p10_run_us;
  uint64_t waiting; /* waiting tasks */
  GQueue arrivals;  /* handles of jobs in the order of arrival */
};

/* One upstream and the agents that named it in HELLO. The agents are listed in buckets by their
 * number of usable grants. */
struct az_entry_upstream
{
  char *name;
  bool configured;
  bool in_service;
  uint32_t slots;
  uint32_t connections;
  uint32_t task_timeout_ms;
  GArray *service_indexes;               /* uint32_t indexes of services that use the upstream */
  uint32_t head[AZ_ENTRY_GRANT_BUCKETS]; /* first agent of each bucket */
  uint32_t tail[AZ_ENTRY_GRANT_BUCKETS];
  uint32_t highest_bucket;  /* all buckets above this one are empty */
  uint32_t n_usable;        /* sum of the usable grants of the agents in all buckets */
  uint64_t connected_slots; /* slots of the connected agents that are in service */
  uint64_t n_open;          /* open attempts at agents of the upstream */
  GArray *agents;           /* uint32_t handles of connected agents */
  struct az_ejector *ejector;
  bool has_demand; /* some agent was told that tasks wait */
};

struct az_entry_team
{
  char *name;
  bool configured;
  uint32_t quota;
  uint32_t weight;
  uint32_t max_queued;
  uint32_t claim;       /* part of the quota that this entry may use */
  GHashTable *services; /* set of (service index + 1) */
};

/* A caller's request that waits for the answer of a job. Only a fetch has a time limit. */
struct az_entry_request
{
  uint32_t job;
  bool is_fetch;
  struct timespec wait_until;
};

/* A task in state AZ_ENTRY_TASK_DELAYED. */
struct az_entry_delayed_task
{
  uint32_t job;
  uint32_t task;
  struct timespec not_before;
};

/* A job of a partition that was taken over, rebuilt from the task records of agents. */
struct az_entry_recovery
{
  uint32_t n_tasks;
  uint32_t n_ok;
  uint32_t n_failed;
  struct az_entry_task *tasks;
};

/* Handles of the metrics in struct az_counters. */
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
 * struct az_entry_owned - for which ids of a partition this entry knows whether the job has run
 *
 * An interval is the time for which the owner table assigns the partition to one owner. An id
 * belongs to the owner of the interval that holds the time in the id. This entry has a record of
 * every job that has run and whose time is at or after @horizon_ms, or is from @complete_from_ms to
 * @complete_until_ms.
 *
 * @horizon_ms: start of the complete records of the present interval; INT64_MAX if there are none
 * @handover_horizon_ms: value of @horizon_ms when the table version was confirmed
 * @complete_from_ms: start of the complete records of this entry's former intervals
 * @complete_until_ms: end of these records, exclusive
 * @interim_owner: owner of the interval that began at @complete_until_ms, 0 if it is not known
 * @from_ms: start of the interval in which this entry owns the partition, -1 if it doesn't
 * @is_pending: the table version that made this entry the owner is not confirmed yet
 * @has_seen_previous_owner: the table version directly before was known and named the previous
 *                           owner as the owner
 */
struct az_entry_owned
{
  int64_t horizon_ms;
  int64_t handover_horizon_ms;
  int64_t complete_from_ms;
  int64_t complete_until_ms;
  uint64_t interim_owner;
  int64_t from_ms;
  bool is_pending;
  bool has_seen_previous_owner;
};

/* Result of the last read of the store, and the state of this entry's write of the owner table. */
struct az_entry_store_state
{
  bool has_been_read;
  bool owners_absent;
  bool config_rejected; /* the stored document is invalid, so "unchanged" is no evidence */
  bool has_sessions;
  bool write_pending;
  struct timespec evidence; /* send time of the last read that showed this entry's own state */
  struct timespec last_read_sent_at;
  uint64_t index;
  uint64_t table_version;      /* version of the owner table at modify index @index */
  GHashTable *sessions;        /* set of uint64_t *: incarnations that have a session */
  GHashTable *session_lost_at; /* uint64_t * -> struct timespec *, by incarnation */
  struct timespec next_write;
  struct timespec write_requested_at; /* when the last write was requested */
};

/* The latest time at which this entry is known to have had the newest configuration and owner
 * table. */
struct az_entry_evidence
{
  bool exists;
  bool is_now; /* the time is always now, since there is no other entry */
  struct timespec time;
};

struct az_entry_state
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
  bool has_handed_over; /* a table that this entry wrote while stopping is in the store */
  bool restored;        /* this entry counts towards a majority */
  bool has_table;

  /* Current configuration. */
  struct az_configuration *configuration;
  char *document;
  size_t document_length;
  uint64_t revision;

  /* Current owner table. */
  struct az_table table;
  uint64_t confirmed_version;
  struct az_entry_owned owned[AZ_PARTITIONS];
  uint64_t recover_partitions; /* bit p: agents are asked for the records of partition p */
  struct timespec recover_until;

  struct az_entry_store_state store;
  struct az_entry_evidence evidence;
  struct timespec next_exchange;
  struct timespec next_slow_tick;

  GHashTable *connections; /* connection -> struct az_entry_connection */
  struct az_table_rows *agents;
  GHashTable *agents_by_instance; /* instance -> handle */
  struct az_table_rows *peers;
  struct az_table_rows *jobs;
  GHashTable *jobs_by_id; /* id -> handle */
  GHashTable *requests;   /* request -> struct az_entry_request */
  GQueue answered;        /* handles of answered jobs, oldest first */
  size_t answered_bytes;
  GQueue delayed; /* struct az_entry_delayed_task */
  struct az_entry_timers *timers;
  uint32_t next_attempt;
  GHashTable *not_run; /* job id -> struct not_run_id, see not_run.c */
  GQueue not_run_order;
  GHashTable *unanswered; /* job id -> struct timespec of the row's expiry, see unanswered.c */
  GHashTable *recoveries; /* job id -> struct az_entry_recovery */
  size_t recovery_bytes;

  GPtrArray *services; /* struct az_entry_service */
  GHashTable *service_by_name;
  GPtrArray *upstreams; /* struct az_entry_upstream */
  GHashTable *upstream_by_name;
  GPtrArray *teams; /* struct az_entry_team */
  GHashTable *team_by_name;

  struct az_team_queue *queue;
  struct az_retry_budget *retry_budget;
  uint32_t retry_percent;
  GArray *batched_agents; /* uint32_t handles of agents whose batch is not empty */
  uint32_t next_service;  /* index of the service that the next dispatch starts with */
};

struct az_entry_state *
az_entry_state_create (const struct az_entry_settings *settings,
                       uint64_t incarnation,
                       const struct az_clock *clock,
                       GRand *random,
                       const struct az_entry_io *io);
void
az_entry_state_destroy (struct az_entry_state *state);

/** az_entry_state_update_time - reads the clocks; each call into the core does so once */
void
az_entry_state_update_time (struct az_entry_state *state);

struct az_entry_job *
az_entry_state_job (const struct az_entry_state *state, uint32_t handle);
struct az_entry_agent *
az_entry_state_agent (const struct az_entry_state *state, uint32_t handle);
struct az_entry_peer *
az_entry_state_peer (const struct az_entry_state *state, uint32_t handle);
struct az_entry_service *
az_entry_state_service (const struct az_entry_state *state, uint32_t service);
struct az_entry_upstream *
az_entry_state_upstream (const struct az_entry_state *state, uint32_t upstream);
struct az_entry_team *
az_entry_state_team (const struct az_entry_state *state, uint32_t team);

#endif
