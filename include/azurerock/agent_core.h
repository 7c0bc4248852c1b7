#ifndef AZUREROCK_AGENT_CORE_H
#define AZUREROCK_AGENT_CORE_H

#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/event_log.h"
#include "azurerock/message.h"
#include <glib.h>
#include <stdbool.h>

/*
 * Logic of an agent without I/O. An agent runs beside one upstream instance: it reserves slots of
 * the upstream for entries (grants), decides whether a task sent by an entry may start, and keeps
 * each result until the entry acknowledges it (design page, sections 4, 5 and 7). The event loop or
 * a test calls the functions below; effects are requested through struct az_agent_io.
 */
struct az_agent_core;

/**
 * struct az_agent_settings - parameters of an agent core
 * @slots: tasks that the upstream runs at once
 * @freshness_limit_ms: maximum age of the evidence that configuration and owner table are the
 *                      newest; no task starts on older evidence. AZ_FRESHNESS_LIMIT_MS unless a
 *                      test changes it
 * @heartbeat_short_interval_ms: heartbeat interval to entries with recent tasks and to the home
 *                               entry, which each agent chooses by rendezvous hashing
 * @heartbeat_long_interval_ms: heartbeat interval to the other entries
 * @grant_lifetime_ms: a grant that is not renewed expires after this time
 * @record_bytes_max: memory limit of task records
 * @record_retention_ms: acknowledged records are freed after this time; unacknowledged ones are
 *                       kept at least this long after their entry has disconnected
 */
struct az_agent_settings
{
  const char *instance;
  const char *upstream;
  const char *domain;
  uint32_t slots;
  int64_t freshness_limit_ms;
  int64_t heartbeat_short_interval_ms;
  int64_t heartbeat_long_interval_ms;
  int64_t grant_lifetime_ms;
  uint64_t record_bytes_max;
  int64_t record_retention_ms;
};

/** az_agent_settings_init - sets default values; instance, upstream and domain are left NULL */
void
az_agent_settings_init (struct az_agent_settings *settings);

/**
 * struct az_agent_task - a task that the core starts at the upstream
 * @handle: identifies the task in az_agent_core_task_finished()
 * @timeout_ms: 0 if the task has no timeout
 */
struct az_agent_task
{
  uint32_t handle;
  const struct az_attempt *id;
  const char *team;
  const char *service;
  int64_t timeout_ms;
  const uint8_t *payload;
  size_t payload_length;
};

/**
 * struct az_agent_io - effects that the core requests from its caller
 * @send: queues a message on a connection
 * @connect: opens a connection to an entry; ends in az_agent_core_connection_opened() or
 *           az_agent_core_connect_failed()
 * @close: closes a connection that does not answer or has been replaced. The core treats it as
 *         closed from then on, so az_agent_core_connection_closed() for it has no effect. May be
 *         NULL
 * @start: writes the request to the upstream at once; az_agent_core_task_finished() reports its
 *         end, but must not be called from within this function
 * @cancel: cancels a started task at the upstream
 */
struct az_agent_io
{
  void (*send) (void *context, uint32_t connection, const struct az_message *message);
  void (*connect) (void *context, const char *rpc_address);
  void (*close) (void *context, uint32_t connection);
  void (*start) (void *context, const struct az_agent_task *task);
  void (*cancel) (void *context, uint32_t task_handle);
  void *context;
};

struct az_agent_core *
az_agent_core_create (const struct az_agent_settings *settings,
                      uint64_t incarnation,
                      const struct az_clock *clock,
                      GRand *random,
                      const struct az_agent_io *io,
                      struct az_counters *counters,
                      struct az_event_log *events);
void
az_agent_core_destroy (struct az_agent_core *core);

/** az_agent_core_connection_opened - reports that a connection to an entry is open; the core sends
 * HELLO */
void
az_agent_core_connection_opened (struct az_agent_core *core,
                                 uint32_t connection,
                                 const char *address);
void
az_agent_core_connection_closed (struct az_agent_core *core, uint32_t connection);

/** az_agent_core_connect_failed - reports a failed connection attempt; the core retries with
 * exponential back-off */
void
az_agent_core_connect_failed (struct az_agent_core *core, const char *address);
void
az_agent_core_message_received (struct az_agent_core *core,
                                uint32_t connection,
                                const struct az_message *message);

/** az_agent_core_add_seed - adds an address to connect to while no entry is connected */
void
az_agent_core_add_seed (struct az_agent_core *core, const char *address);

/**
 * az_agent_core_task_finished - reports the end of a task that the core had started
 * @status: %AZ_STATUS_OK, %AZ_STATUS_FAILED, %AZ_STATUS_UNKNOWN, or %AZ_STATUS_NOT_STARTED
 *          if no byte of the request was sent to the upstream
 */
void
az_agent_core_task_finished (struct az_agent_core *core,
                             uint32_t task_handle,
                             az_status status,
                             const uint8_t *payload,
                             size_t length);

/** az_agent_core_set_upstream_healthy - while the upstream is unhealthy, no grant is valid or
 * issued */
void
az_agent_core_set_upstream_healthy (struct az_agent_core *core, bool healthy);

/** az_agent_core_tick - sends heartbeats, expires state and reconnects; call every 20 ms */
void
az_agent_core_tick (struct az_agent_core *core);

/** az_agent_core_stop - begins a graceful stop: no task starts any more, running ones finish */
void
az_agent_core_stop (struct az_agent_core *core);

/** az_agent_core_is_drained - whether no task runs and no result waits for an acknowledgement that
 * its entry can still give */
bool
az_agent_core_is_drained (const struct az_agent_core *core);

/** az_agent_core_flush - sends batched refusals, results and grants; call once per iteration of the
 * event loop */
void
az_agent_core_flush (struct az_agent_core *core);

#endif
