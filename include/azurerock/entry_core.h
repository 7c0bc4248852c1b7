#ifndef AZUREROCK_ENTRY_CORE_H
#define AZUREROCK_ENTRY_CORE_H

#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/event_log.h"
#include "azurerock/message.h"
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * Logic of an entry without I/O: job ownership, queues, dispatch, results, freshness of the
 * configuration and the owner table, quotas, ejection of agents, takeover and drain (design page,
 * sections 3 to 7). The event loop of the program and tests call it. An incarnation is a random
 * number that identifies one run of an entry or agent process.
 */
struct az_entry_core;

struct az_entry_settings
{
  const char *instance;
  const char *domain;
  const char *rpc_address;
  const char *http_address;
  int64_t freshness_limit_ms;
  int64_t handover_ms;
  int64_t clock_skew_max_ms;
  int64_t peer_exchange_ms;
  int64_t owner_session_ms;
  uint64_t answer_bytes_max;
};

/** az_entry_settings_init - sets the defaults; names and addresses are empty */
void
az_entry_settings_init (struct az_entry_settings *settings);

/**
 * struct az_entry_io - functions that the core calls for its I/O
 * @send: queues a message on an agent or peer connection
 * @connect: starts to connect to a peer
 * @answer: answers a caller's request, exactly once per request handle. @answer is valid during the
 *          call only. It is NULL if a fetch ends with the outcome "pending".
 * @write_table: starts a compare-and-swap of the owner table against the store's modify index
 *               @expected_index (0: the key must not exist). Its result is passed to
 *               az_entry_core_table_written().
 */
struct az_entry_io
{
  void (*send) (void *context, uint32_t connection, const struct az_message *message);
  void (*connect) (void *context, const char *rpc_address);
  void (*answer) (void *context, uint32_t request, const struct az_answer *answer);
  void (*write_table) (void *context, const struct az_table *table, uint64_t expected_index);
  void *context;
};

enum az_table_write
{
  AZ_TABLE_WRITE_OK,
  AZ_TABLE_WRITE_CONFLICT,
  AZ_TABLE_WRITE_UNKNOWN, /* no answer; the next read of the store shows the result */
};

struct az_entry_core *
az_entry_core_create (const struct az_entry_settings *settings,
                      uint64_t incarnation,
                      const struct az_clock *clock,
                      GRand *random,
                      const struct az_entry_io *io,
                      struct az_counters *counters,
                      struct az_event_log *events);
void
az_entry_core_destroy (struct az_entry_core *core);

/*
 * Requests of callers. The program chooses the handle @request. Each request is answered once
 * through io.answer, possibly during the call.
 */

/**
 * az_entry_core_submit - submits a job; forwards it if another entry owns its id
 * @is_first_submission: the caller states that it has not submitted this id before
 */
void
az_entry_core_submit (struct az_entry_core *core,
                      uint32_t request,
                      const struct az_submit *job,
                      bool is_first_submission);

/** az_entry_core_fetch - answers @request when the job is answered, or with "pending" after
 * @wait_ms */
void
az_entry_core_fetch (struct az_entry_core *core,
                     uint32_t request,
                     const char *job_id,
                     int64_t wait_ms);
void
az_entry_core_cancel (struct az_entry_core *core, uint32_t request, const char *job_id);

/** az_entry_core_discard_request - discards the request of a caller that has disconnected, not its
 * job */
void
az_entry_core_discard_request (struct az_entry_core *core, uint32_t request);

/* Connections. Agents identify themselves by HELLO, peers (other entries) by PEER_HELLO. */
void
az_entry_core_connection_opened (struct az_entry_core *core,
                                 uint32_t connection,
                                 bool outgoing,
                                 const char *address);
void
az_entry_core_connection_closed (struct az_entry_core *core, uint32_t connection);
void
az_entry_core_connect_failed (struct az_entry_core *core, const char *address);

/**
 * az_entry_core_message_received - processes a message of an agent or peer
 *
 * Return: NULL, or the reason for which the connection is to be closed.
 */
const char *
az_entry_core_message_received (struct az_entry_core *core,
                                uint32_t connection,
                                const struct az_message *message);

/**
 * struct az_store_reading - result of a consistent read of the store
 * @sent: when the read was sent
 * @config: the document at azurerock/config, NULL if absent or unchanged
 * @config_absent: whether the key doesn't exist
 * @owners: the document at azurerock/owners, NULL if absent or unchanged
 * @owners_absent: whether the key doesn't exist
 * @owners_index: modify index of the owners key
 * @sessions: incarnations whose session key exists, NULL if unchanged since the last read
 */
struct az_store_reading
{
  struct timespec sent;
  const char *config;
  size_t config_length;
  bool config_absent;
  const char *owners;
  size_t owners_length;
  bool owners_absent;
  uint64_t owners_index;
  const uint64_t *sessions;
  size_t n_sessions;
};

void
az_entry_core_store_read (struct az_entry_core *core, const struct az_store_reading *reading);
void
az_entry_core_table_written (struct az_entry_core *core,
                             enum az_table_write result,
                             uint64_t index);

/** az_entry_core_tick - processes timeouts, peer exchanges and dispatch; call it every 10 ms */
void
az_entry_core_tick (struct az_entry_core *core);

/** az_entry_core_flush - dispatches waiting tasks; call it at the end of each loop iteration */
void
az_entry_core_flush (struct az_entry_core *core);

/**
 * az_entry_core_stop - starts the drain, in which the partitions are handed over to live peers
 *
 * New jobs are refused if there is no live peer.
 */
void
az_entry_core_stop (struct az_entry_core *core);

/** az_entry_core_is_drained - whether the drain is complete: no job is open, and either all
 * partitions are handed over or no peer is live */
bool
az_entry_core_is_drained (const struct az_entry_core *core);

/** az_entry_core_status - returns the state that /v1/status shows */
json_t *
az_entry_core_status (struct az_entry_core *core);

/**
 * az_entry_core_is_ready - whether callers can send jobs to this entry
 *
 * It must have a configuration, be in the roster of its owner table, have fresh evidence and not be
 * stopping.
 */
bool
az_entry_core_is_ready (struct az_entry_core *core);

#endif
