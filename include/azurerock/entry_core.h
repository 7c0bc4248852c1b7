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
 * Decisions of an entry without I/O: job ownership, queues, dispatch, results, freshness,
 * quotas, ejection, takeover and drain (design page, sections 3 to 7). Driven by the event loop
 * and by tests.
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

/** az_entry_settings_init - defaults of the design page */
void
az_entry_settings_init (struct az_entry_settings *settings);

/**
 * struct az_entry_io - effects of the core
 * @send: queues a message on an agent or peer connection
 * @connect: asks for a connection to a peer
 * @answer: the answer of a caller's request, given exactly once per request handle;
 *          @answer is valid during the call; outcome "pending" of a fetch is a NULL @answer
 * @write_table: asks for a compare-and-swap of the owner table against store index
 *               @expected_index (0: the key must not exist); ends in
 *               az_entry_core_table_written()
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
  AZ_TABLE_WRITE_UNKNOWN, /* the answer was lost; the next store read tells */
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
 * Requests of callers. @request is chosen by the program; each is answered once through
 * io.answer, possibly from within the call.
 */

/**
 * az_entry_core_submit - a job from a caller; forwarded to its owner if that is another entry
 * @first_attempt: the caller states that it never sent this id before
 */
void
az_entry_core_submit (struct az_entry_core *core,
                      uint32_t request,
                      const struct az_submit *job,
                      bool first_attempt);

/** az_entry_core_fetch - the answer of an earlier job, waiting at most @wait_ms */
void
az_entry_core_fetch (struct az_entry_core *core,
                     uint32_t request,
                     const char *job_id,
                     int64_t wait_ms);
void
az_entry_core_cancel (struct az_entry_core *core, uint32_t request, const char *job_id);

/** az_entry_core_forget - the caller of @request has gone; the job goes on */
void
az_entry_core_forget (struct az_entry_core *core, uint32_t request);

/* Connections. Agents and peers identify themselves by HELLO and PEER_HELLO. */
void
az_entry_core_opened (struct az_entry_core *core,
                      uint32_t connection,
                      bool outgoing,
                      const char *address);
void
az_entry_core_closed (struct az_entry_core *core, uint32_t connection);
void
az_entry_core_unreachable (struct az_entry_core *core, const char *address);

/**
 * az_entry_core_received - one message
 *
 * Return: NULL, or the reason for which the connection is to be closed.
 */
const char *
az_entry_core_received (struct az_entry_core *core,
                        uint32_t connection,
                        const struct az_message *message);

/**
 * struct az_store_reading - result of one consistent read of the store
 * @sent: when the read was sent
 * @config: the document at azurerock/config, NULL if absent or unchanged
 * @config_absent: whether the key doesn't exist
 * @owners: the document at azurerock/owners, NULL if absent or unchanged
 * @owners_absent: whether the key doesn't exist
 * @owners_index: modify index of the owners key
 * @sessions: incarnations whose session key exists, NULL if unchanged since the last reading
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

/** az_entry_core_tick - timeouts, exchanges, dispatch; call every 10 ms */
void
az_entry_core_tick (struct az_entry_core *core);

/** az_entry_core_flush - dispatches what became possible; call at the end of a loop iteration */
void
az_entry_core_flush (struct az_entry_core *core);

/** az_entry_core_stop - hands the partitions to others and takes no new jobs */
void
az_entry_core_stop (struct az_entry_core *core);

/** az_entry_core_is_drained - partitions are handed over (or no peer lives) and no job is open */
bool
az_entry_core_is_drained (const struct az_entry_core *core);

/** az_entry_core_status - state for /v1/status */
json_t *
az_entry_core_status (struct az_entry_core *core);

/** az_entry_core_is_ready - has a revision, a table that names it, and fresh evidence */
bool
az_entry_core_is_ready (struct az_entry_core *core);

#endif
