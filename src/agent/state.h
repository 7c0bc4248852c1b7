#ifndef AZUREROCK_AGENT_STATE_H
#define AZUREROCK_AGENT_STATE_H

#include "agent/guards.h"
#include "azurerock/agent_core.h"
#include "azurerock/limits.h"
#include "azurerock/table.h"

#define AZ_AGENT_N_REFUSALS (AZ_REFUSAL_UPSTREAM + 1)

/* No further task is added to a message whose payloads reach this size. It keeps messages well
 * below AZ_RECORD_MAX. */
#define AZ_AGENT_BATCH_BYTES 1048576u

/**
 * struct az_agent_entry - an address to connect to and the state of the entry at that address
 * @incarnation: from WELCOME on the current connection, 0 before
 * @connection: 0 if not connected
 * @in_roster: the current owner table lists the address
 * @is_awaiting_reply: a HELLO or heartbeat was sent at @awaiting_reply_since and nothing has been
 *                     received since
 * @waiting: number of waiting tasks in the last demand, from DEMAND or START, which arrived at
 *           @demand_received_at; ignored once that is no longer recent (see grant_choice.c)
 * @oldest_waiting_since: arrival of the oldest of these tasks at the entry, on this agent's clock
 * @n_idle_grants: grants issued to the entry that it has not used
 * @results: records whose results the next flush sends
 * @grants: ids of grants that the next flush sends
 * @refused: struct az_refused_task elements that the next flush sends
 */
struct az_agent_entry
{
  char *address;
  uint64_t incarnation;
  uint32_t connection;
  bool in_roster;
  bool is_seed;
  bool connecting;
  struct timespec next_connect_at;
  uint32_t backoff_ms;
  struct timespec opened_at;
  bool is_awaiting_reply;
  struct timespec awaiting_reply_since;
  struct timespec last_heartbeat_at;
  struct timespec last_start_at;
  uint32_t waiting;
  struct timespec oldest_waiting_since;
  struct timespec demand_received_at;
  uint32_t n_idle_grants;
  GPtrArray *results;
  GArray *grants;
  GArray *refused;
};

/**
 * struct az_agent_grant - permission to start one task, which reserves a free slot for an entry
 * @sent: the entry has been told of the grant
 * @recalled: the entry has been asked to return the grant
 */
struct az_agent_grant
{
  uint64_t id;
  uint32_t entry;
  struct timespec issued_at;
  struct timespec expires_at;
  bool sent;
  bool recalled;
};

/**
 * struct az_agent_origin - an entry incarnation that may have started tasks here
 * @unacknowledged: finished records in order of their sequence
 * @has_dropped_results: an unacknowledged record was dropped, so the absence of a record does not
 *                       prove that the task has not started
 * @disconnected_at: when the last connection to the entry closed; valid while it is not connected
 */
struct az_agent_origin
{
  uint64_t incarnation;
  GQueue unacknowledged;
  bool has_dropped_results;
  struct timespec disconnected_at;
};

/**
 * struct az_agent_record - a task that was started here, kept to report its result
 * @origin: incarnation of the entry that sent the START
 * @task: handle in the table of running tasks, 0 once the task has finished
 * @sequence: position among the results of this agent, 0 while the task runs
 * @link: node in @unacknowledged of the origin or in @acknowledged of the agent state
 */
struct az_agent_record
{
  struct az_attempt id;
  uint64_t origin;
  uint32_t job_tasks;
  uint32_t task;
  uint64_t sequence;
  az_status status;
  uint32_t run_us;
  uint8_t *payload;
  size_t payload_length;
  bool acknowledged;
  struct timespec acknowledged_at;
  GList link;
};

/**
 * struct az_agent_running - a running task, which occupies one slot
 * @timeout_ms: 0 if the task has no timeout
 */
struct az_agent_running
{
  struct az_agent_record *record;
  struct timespec started_at;
  int64_t timeout_ms;
  bool timed_out;
  bool cancelled;
};

/** struct az_agent_fence - an attempt, or all tasks of a job, refused until @expires_at */
struct az_agent_fence
{
  struct az_attempt id;
  struct timespec expires_at;
  GList link;
};

/** struct az_agent_metrics - counter handles */
struct az_agent_metrics
{
  uint32_t refused[AZ_AGENT_N_REFUSALS];
  uint32_t starts;
  uint32_t results;
  uint32_t late_messages;
  uint32_t grants;
  uint32_t recalls;
  uint32_t timeouts;
  uint32_t running;
  uint32_t record_bytes;
  uint32_t evidence_age_ms;
};

/**
 * struct az_agent_state - state of an agent core
 * @view: the last VIEW accepted, which holds the part of the configuration that concerns this agent
 * @owner_table: table_version is 0 before the first table
 * @has_evidence: a heartbeat acknowledgement has proved that @view and @owner_table were the newest
 *                at @evidence_at
 * @ramp_ends_at: time before which at most half of the slots are granted
 * @records: set of struct az_agent_record by job and task
 * @origins: incarnation to struct az_agent_origin
 * @acknowledged: finished records in order of acknowledgement
 * @record_bytes: memory of all records
 * @unacknowledged_bytes: memory of finished records without acknowledgement
 * @tick_gap_ms: time between the last two ticks; long if this process was stopped
 */
struct az_agent_state
{
  struct az_agent_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  GRand *random;
  struct az_agent_io io;
  struct az_counters *counters;
  struct az_event_log *events;
  struct az_agent_metrics metrics;
  struct az_agent_guards guards;

  struct az_table_rows *entries;
  struct az_table owner_table;
  struct az_view view;
  bool has_view;
  bool has_evidence;
  struct timespec evidence_at;

  GHashTable *grants; /* id to struct az_agent_grant */
  uint64_t last_grant_number;
  struct timespec ramp_ends_at;

  struct az_table_rows *running;
  GHashTable *records;
  GHashTable *origins;
  GQueue acknowledged;
  uint64_t record_bytes;
  uint64_t unacknowledged_bytes;
  uint64_t last_sequence;
  GHashTable *fences; /* set of struct az_agent_fence by attempt */
  GQueue fences_by_expiry;

  bool is_upstream_unhealthy;
  bool stopping;
  struct timespec last_tick_at;
  int64_t tick_gap_ms;
};

/* core.c */

/* az_agent_core_state - state of a core, for tests */
struct az_agent_state *
az_agent_core_state (struct az_agent_core *core);
struct timespec
az_agent_now (const struct az_agent_state *state);
void
az_agent_send (struct az_agent_state *state,
               const struct az_agent_entry *entry,
               const struct az_message *message);

/* received.c */
void
az_agent_message_received (struct az_agent_state *state,
                           uint32_t connection,
                           const struct az_message *message);

/* metrics.c */
void
az_agent_metrics_register (struct az_agent_state *state);
void
az_agent_metrics_update (struct az_agent_state *state);
const char *
az_agent_refusal_name (az_refusal reason);

/* connections.c */
struct az_agent_entry *
az_agent_entry_get (const struct az_agent_state *state, uint32_t handle);
uint32_t
az_agent_entry_by_connection (const struct az_agent_state *state, uint32_t connection);
uint32_t
az_agent_entry_by_incarnation (const struct az_agent_state *state, uint64_t incarnation);
uint32_t
az_agent_entry_add (struct az_agent_state *state, const char *address);
void
az_agent_entry_clear (struct az_agent_entry *entry);
void
az_agent_connections_opened (struct az_agent_state *state,
                             uint32_t connection,
                             const char *address);
void
az_agent_connections_closed (struct az_agent_state *state, uint32_t connection);
void
az_agent_connections_connect_failed (struct az_agent_state *state, const char *address);
void
az_agent_connections_disconnect (struct az_agent_state *state, uint32_t entry);
void
az_agent_connections_tick (struct az_agent_state *state);

/* welcome.c */
void
az_agent_welcome_received (struct az_agent_state *state,
                           uint32_t entry,
                           const struct az_welcome *welcome);

/* view.c */
void
az_agent_view_received (struct az_agent_state *state, const struct az_view *view);
void
az_agent_upstream_set_healthy (struct az_agent_state *state, bool healthy);
bool
az_agent_is_in_service (const struct az_agent_state *state);
uint32_t
az_agent_capacity (const struct az_agent_state *state);

/* owners.c */
void
az_agent_table_received (struct az_agent_state *state, const struct az_table *table);

/* freshness.c */
void
az_agent_heartbeat_ack_received (struct az_agent_state *state,
                                 uint32_t entry,
                                 const struct az_heartbeat_ack *ack);
bool
az_agent_is_fresh (const struct az_agent_state *state, struct timespec now);
int64_t
az_agent_evidence_age_ms (const struct az_agent_state *state, struct timespec now);

/* heartbeat.c */
uint64_t
az_agent_entry_weight (const struct az_agent_state *state, const struct az_agent_entry *entry);
void
az_agent_heartbeat_send (struct az_agent_state *state, struct az_agent_entry *entry);
void
az_agent_heartbeat_tick (struct az_agent_state *state);

/* grants.c */
struct az_agent_grant *
az_agent_grant_get (const struct az_agent_state *state, uint64_t id);
void
az_agent_grant_remove (struct az_agent_state *state, struct az_agent_grant *grant);
void
az_agent_grants_issue (struct az_agent_state *state, uint32_t preferred);
void
az_agent_grants_revoke_all (struct az_agent_state *state);
void
az_agent_grants_remove_by_entry (struct az_agent_state *state, uint32_t entry);
void
az_agent_grants_returned (struct az_agent_state *state,
                          uint32_t entry,
                          const struct az_grant_ids *ids);
void
az_agent_grants_tick (struct az_agent_state *state);
bool
az_agent_can_grant (const struct az_agent_state *state);

/* grant_choice.c */
bool
az_agent_can_keep_idle (const struct az_agent_state *state, const struct az_agent_entry *entry);
uint32_t
az_agent_entry_unmet_demand (const struct az_agent_state *state,
                             const struct az_agent_entry *entry);
uint32_t
az_agent_grant_choose (const struct az_agent_state *state, uint32_t preferred);

/* demand.c */
void
az_agent_demand_received (struct az_agent_state *state,
                          uint32_t entry,
                          const struct az_demand *demand);
void
az_agent_demand_tick (struct az_agent_state *state);
void
az_agent_demand_rebalance (struct az_agent_state *state);

/* recall.c */
void
az_agent_grants_recall (struct az_agent_state *state,
                        uint32_t entry,
                        uint32_t wanted,
                        int64_t min_age_ms);

/* grant_messages.c */
void
az_agent_grants_renew (struct az_agent_state *state);
struct az_grant *
az_agent_grants_take (struct az_agent_state *state, uint32_t entry, u_int *n_grants);
void
az_agent_grants_renew_early (struct az_agent_state *state, uint32_t entry);

/* start.c */
void
az_agent_start_received (struct az_agent_state *state,
                         uint32_t entry,
                         const struct az_start *start);

/* refusals.c */
void
az_agent_refuse (struct az_agent_state *state,
                 uint32_t entry,
                 const struct az_attempt *id,
                 az_refusal reason);
void
az_agent_refusals_flush (struct az_agent_state *state, struct az_agent_entry *entry);

/* tasks.c */
void
az_agent_task_start (struct az_agent_state *state,
                     uint32_t entry,
                     const struct az_start *start,
                     const struct az_start_task *task);
void
az_agent_task_finished (struct az_agent_state *state,
                        uint32_t handle,
                        az_status status,
                        const uint8_t *payload,
                        size_t length);
void
az_agent_tasks_cancel_job (struct az_agent_state *state, const char *job);
void
az_agent_tasks_tick (struct az_agent_state *state);

/* records.c */
void
az_agent_records_create (struct az_agent_state *state);
void
az_agent_records_destroy (struct az_agent_state *state);
struct az_agent_record *
az_agent_record_find (const struct az_agent_state *state, const char *job, uint32_t task);
struct az_agent_record *
az_agent_record_add (struct az_agent_state *state,
                     uint64_t origin,
                     const struct az_start_task *task);
void
az_agent_record_remove (struct az_agent_state *state, struct az_agent_record *record);
void
az_agent_record_finish (struct az_agent_state *state,
                        struct az_agent_record *record,
                        az_status status,
                        const uint8_t *payload,
                        size_t length);
void
az_agent_records_acknowledge (struct az_agent_state *state, uint64_t origin, uint64_t sequence);

/* retention.c */
struct az_agent_origin *
az_agent_origin_get (struct az_agent_state *state, uint64_t incarnation);
bool
az_agent_is_record_memory_full (const struct az_agent_state *state);
void
az_agent_retention_tick (struct az_agent_state *state);
void
az_agent_retention_evict (struct az_agent_state *state);

/* results.c */
void
az_agent_results_queue (struct az_agent_state *state, struct az_agent_record *record);
void
az_agent_results_resend (struct az_agent_state *state, uint32_t entry);
void
az_agent_results_remove (struct az_agent_state *state, const struct az_agent_record *record);
void
az_agent_flush (struct az_agent_state *state);

/* fences.c */
void
az_agent_fences_create (struct az_agent_state *state);
void
az_agent_fences_destroy (struct az_agent_state *state);
void
az_agent_fence_attempt (struct az_agent_state *state, const struct az_attempt *id);
void
az_agent_fence_job (struct az_agent_state *state, const char *job);
bool
az_agent_is_fenced (const struct az_agent_state *state, const struct az_attempt *id);
void
az_agent_fences_tick (struct az_agent_state *state);

/* fate.c */
void
az_agent_query_received (struct az_agent_state *state,
                         uint32_t entry,
                         const struct az_query *query);

/* recover.c */
void
az_agent_recover_received (struct az_agent_state *state,
                           uint32_t entry,
                           const struct az_recover *recover);

/* drain.c */
void
az_agent_drain_begin (struct az_agent_state *state);
bool
az_agent_is_stopping (const struct az_agent_state *state);
bool
az_agent_is_drained (const struct az_agent_state *state);

#endif
