#ifndef AZUREROCK_AGENT_BOARD_H
#define AZUREROCK_AGENT_BOARD_H

#include "agent/guards.h"
#include "azurerock/agent_core.h"
#include "azurerock/limits.h"
#include "azurerock/table.h"

#define AZ_AGENT_N_REFUSALS (AZ_REFUSAL_UPSTREAM + 1)

/* Bounds the payload of one message well below AZ_RECORD_MAX. */
#define AZ_AGENT_BATCH_BYTES 1048576u

/**
 * struct az_agent_entry - one address to connect to, and the entry that answered there
 * @incarnation: from WELCOME on the present connection, 0 before it
 * @connection: 0 if there is none
 * @awaiting: something was sent since @awaiting_since that it has not answered
 * @waiting: last known demand, valid while @demanded is recent
 * @oldest: arrival of the oldest waiting task, on this agent's clock
 * @idle: unused grants it holds
 * @results: records whose result is sent by the next flush
 * @grants: ids of grants that the next flush sends
 * @refused: struct az_refused_task, sent by the next flush
 */
struct az_agent_entry
{
  char *address;
  uint64_t incarnation;
  uint32_t connection;
  bool in_roster;
  bool is_seed;
  bool connecting;
  struct timespec next_attempt;
  uint32_t backoff_ms;
  struct timespec opened;
  bool awaiting;
  struct timespec awaiting_since;
  struct timespec last_heartbeat;
  struct timespec last_start;
  uint32_t waiting;
  struct timespec oldest;
  struct timespec demanded;
  uint32_t idle;
  GPtrArray *results;
  GArray *grants;
  GArray *refused;
};

/** struct az_agent_grant - one free slot that is reserved for an entry */
struct az_agent_grant
{
  uint64_t id;
  uint32_t entry;
  struct timespec given;
  struct timespec expires;
  bool sent;
  bool recalled;
};

/**
 * struct az_agent_origin - what is known of an entry incarnation that started tasks here
 * @unacknowledged: finished records in order of their sequence
 * @forgotten: an unacknowledged record was dropped, so a missing record proves nothing
 * @gone: when its last connection closed; meaningful while it is not connected
 */
struct az_agent_origin
{
  uint64_t incarnation;
  GQueue unacknowledged;
  bool forgotten;
  struct timespec gone;
};

/** struct az_agent_record - a task that was started here */
struct az_agent_record
{
  struct az_attempt id;
  uint64_t origin;
  uint32_t job_tasks;
  uint32_t task; /* handle while it runs, 0 afterwards */
  uint64_t sequence;
  az_status status;
  uint32_t run_us;
  uint8_t *payload;
  size_t payload_length;
  bool acknowledged;
  struct timespec acknowledged_at;
  GList link; /* in its origin's unacknowledged or in the board's acknowledged */
};

/** struct az_agent_running - a slot in use */
struct az_agent_running
{
  struct az_agent_record *record;
  struct timespec started;
  int64_t timeout_ms;
  bool timed_out;
  bool cancelled;
};

/** struct az_agent_fence - an attempt, or a whole job, that is refused until a time */
struct az_agent_fence
{
  struct az_attempt id;
  struct timespec until;
  GList link;
};

struct az_agent_metrics
{
  uint32_t refused[AZ_AGENT_N_REFUSALS];
  uint32_t starts;
  uint32_t results;
  uint32_t late;
  uint32_t grants;
  uint32_t recalls;
  uint32_t timeouts;
  uint32_t running;
  uint32_t record_bytes;
  uint32_t evidence_age;
};

/** struct az_agent_board - state of an agent, shared by its controllers */
struct az_agent_board
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
  struct az_table owners; /* table_version 0 before the first */
  struct az_view view;
  bool has_view;
  bool has_evidence;
  struct timespec evidence;

  GHashTable *grants; /* id -> struct az_agent_grant */
  uint64_t next_grant;
  struct timespec ramp_until;

  struct az_table_rows *running;
  GHashTable *records; /* set of struct az_agent_record by (job, task) */
  GHashTable *origins; /* incarnation -> struct az_agent_origin */
  GQueue acknowledged;
  uint64_t record_bytes;
  uint64_t unacknowledged_bytes;
  uint64_t next_sequence;
  GHashTable *fences; /* set of struct az_agent_fence by attempt */
  GQueue fence_order;

  bool unhealthy;
  bool stopping;
  struct timespec last_tick;
  int64_t stall_ms;
};

/* core.c */

/* az_agent_core_board - state of a core, for tests */
struct az_agent_board *
az_agent_core_board (struct az_agent_core *core);
struct timespec
az_agent_now (const struct az_agent_board *board);
void
az_agent_send (struct az_agent_board *board,
               const struct az_agent_entry *entry,
               const struct az_message *message);

/* received.c */
void
az_agent_received (struct az_agent_board *board,
                   uint32_t connection,
                   const struct az_message *message);

/* metrics.c */
void
az_agent_metrics_register (struct az_agent_board *board);
void
az_agent_metrics_update (struct az_agent_board *board);
const char *
az_agent_refusal_name (az_refusal reason);

/* connections.c */
struct az_agent_entry *
az_agent_entry_get (const struct az_agent_board *board, uint32_t handle);
uint32_t
az_agent_entry_by_connection (const struct az_agent_board *board, uint32_t connection);
uint32_t
az_agent_entry_by_incarnation (const struct az_agent_board *board, uint64_t incarnation);
uint32_t
az_agent_entry_add (struct az_agent_board *board, const char *address);
void
az_agent_entry_clear (struct az_agent_entry *entry);
void
az_agent_connections_opened (struct az_agent_board *board,
                             uint32_t connection,
                             const char *address);
void
az_agent_connections_closed (struct az_agent_board *board, uint32_t connection);
void
az_agent_connections_unreachable (struct az_agent_board *board, const char *address);
void
az_agent_connections_replace (struct az_agent_board *board, uint32_t entry);
void
az_agent_connections_tick (struct az_agent_board *board);

/* welcome.c */
void
az_agent_welcome (struct az_agent_board *board, uint32_t entry, const struct az_welcome *welcome);

/* view.c */
void
az_agent_view_received (struct az_agent_board *board, const struct az_view *view);
void
az_agent_upstream_set_healthy (struct az_agent_board *board, bool healthy);
bool
az_agent_in_service (const struct az_agent_board *board);
uint32_t
az_agent_capacity (const struct az_agent_board *board);

/* owners.c */
void
az_agent_owners_received (struct az_agent_board *board, const struct az_table *table);

/* freshness.c */
void
az_agent_freshness_ack (struct az_agent_board *board,
                        uint32_t entry,
                        const struct az_heartbeat_ack *ack);
bool
az_agent_is_fresh (const struct az_agent_board *board, struct timespec now);
int64_t
az_agent_evidence_age_ms (const struct az_agent_board *board, struct timespec now);

/* heartbeat.c */
uint64_t
az_agent_entry_weight (const struct az_agent_board *board, const struct az_agent_entry *entry);
void
az_agent_heartbeat_send (struct az_agent_board *board, struct az_agent_entry *entry);
void
az_agent_heartbeat_tick (struct az_agent_board *board);

/* grants.c */
struct az_agent_grant *
az_agent_grant_get (const struct az_agent_board *board, uint64_t id);
void
az_agent_grant_remove (struct az_agent_board *board, struct az_agent_grant *grant);
void
az_agent_grants_offer (struct az_agent_board *board, uint32_t preferred);
void
az_agent_grants_revoke_all (struct az_agent_board *board);
void
az_agent_grants_drop_entry (struct az_agent_board *board, uint32_t entry);
void
az_agent_grants_returned (struct az_agent_board *board,
                          uint32_t entry,
                          const struct az_grant_ids *ids);
void
az_agent_grants_tick (struct az_agent_board *board);
bool
az_agent_may_grant (const struct az_agent_board *board);

/* grant_choice.c */
bool
az_agent_may_keep_idle (const struct az_agent_board *board, const struct az_agent_entry *entry);
uint32_t
az_agent_entry_need (const struct az_agent_board *board, const struct az_agent_entry *entry);
uint32_t
az_agent_grant_choose (const struct az_agent_board *board, uint32_t preferred);

/* demand.c */
void
az_agent_demand_received (struct az_agent_board *board,
                          uint32_t entry,
                          const struct az_demand *demand);
void
az_agent_demand_tick (struct az_agent_board *board);
void
az_agent_demand_rebalance (struct az_agent_board *board);

/* recall.c */
void
az_agent_recall (struct az_agent_board *board, uint32_t entry, uint32_t wanted, int64_t idle_ms);

/* grant_messages.c */
void
az_agent_grants_renew (struct az_agent_board *board);
struct az_grant *
az_agent_grants_take (struct az_agent_board *board, uint32_t entry, u_int *n_grants);
void
az_agent_grants_refresh (struct az_agent_board *board, uint32_t entry);

/* start.c */
void
az_agent_start_received (struct az_agent_board *board,
                         uint32_t entry,
                         const struct az_start *start);

/* refusals.c */
void
az_agent_refuse (struct az_agent_board *board,
                 uint32_t entry,
                 const struct az_attempt *id,
                 az_refusal reason);
void
az_agent_refusals_flush (struct az_agent_board *board, struct az_agent_entry *entry);

/* tasks.c */
void
az_agent_task_start (struct az_agent_board *board,
                     uint32_t entry,
                     const struct az_start *start,
                     const struct az_start_task *task);
void
az_agent_task_finished (struct az_agent_board *board,
                        uint32_t handle,
                        az_status status,
                        const uint8_t *payload,
                        size_t length);
void
az_agent_tasks_cancel_job (struct az_agent_board *board, const char *job);
void
az_agent_tasks_tick (struct az_agent_board *board);

/* records.c */
void
az_agent_records_create (struct az_agent_board *board);
void
az_agent_records_destroy (struct az_agent_board *board);
struct az_agent_record *
az_agent_record_find (const struct az_agent_board *board, const char *job, uint32_t task);
struct az_agent_record *
az_agent_record_add (struct az_agent_board *board,
                     uint64_t origin,
                     const struct az_start_task *task);
void
az_agent_record_remove (struct az_agent_board *board, struct az_agent_record *record);
void
az_agent_record_finish (struct az_agent_board *board,
                        struct az_agent_record *record,
                        az_status status,
                        const uint8_t *payload,
                        size_t length);
void
az_agent_records_acknowledge (struct az_agent_board *board, uint64_t origin, uint64_t sequence);

/* retention.c */
struct az_agent_origin *
az_agent_origin_get (struct az_agent_board *board, uint64_t incarnation);
bool
az_agent_records_full (const struct az_agent_board *board);
void
az_agent_retention_tick (struct az_agent_board *board);
void
az_agent_retention_evict (struct az_agent_board *board);

/* results.c */
void
az_agent_results_queue (struct az_agent_board *board, struct az_agent_record *record);
void
az_agent_results_resend (struct az_agent_board *board, uint32_t entry);
void
az_agent_results_forget (struct az_agent_board *board, const struct az_agent_record *record);
void
az_agent_flush (struct az_agent_board *board);

/* fences.c */
void
az_agent_fences_create (struct az_agent_board *board);
void
az_agent_fences_destroy (struct az_agent_board *board);
void
az_agent_fence_attempt (struct az_agent_board *board, const struct az_attempt *id);
void
az_agent_fence_job (struct az_agent_board *board, const char *job);
bool
az_agent_is_fenced (const struct az_agent_board *board, const struct az_attempt *id);
void
az_agent_fences_tick (struct az_agent_board *board);

/* fate.c */
void
az_agent_query_received (struct az_agent_board *board,
                         uint32_t entry,
                         const struct az_query *query);

/* recover.c */
void
az_agent_recover_received (struct az_agent_board *board,
                           uint32_t entry,
                           const struct az_recover *recover);

/* drain.c */
void
az_agent_drain_begin (struct az_agent_board *board);
bool
az_agent_is_stopping (const struct az_agent_board *board);
bool
az_agent_is_drained (const struct az_agent_board *board);

#endif
