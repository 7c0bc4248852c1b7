#ifndef AZUREROCK_AGENT_CORE_H
#define AZUREROCK_AGENT_CORE_H

#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/event_log.h"
#include "azurerock/message.h"
#include <glib.h>
#include <stdbool.h>

/*
 * Decisions of an agent without I/O: grants, the start decision, results, fencing and
 * freshness (design page, sections 4, 5 and 7). Driven by the event loop and by tests.
 */
struct az_agent_core;

struct az_agent_settings
{
  const char *instance;
  const char *upstream;
  const char *domain;
  uint32_t slots;
  int64_t freshness_limit_ms; /* AZ_FRESHNESS_LIMIT_MS unless a test changes it */
  int64_t heartbeat_home_ms;
  int64_t heartbeat_other_ms;
  int64_t grant_life_ms;
  uint64_t record_bytes_max;
  int64_t record_retention_ms;
};

/** az_agent_settings_init - defaults of the design page */
void
az_agent_settings_init (struct az_agent_settings *settings);

/**
 * struct az_agent_task - one task that the core has decided to start
 * @handle: names it in az_agent_core_finished()
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
 * struct az_agent_io - effects of the core
 * @send: queues a message on a connection
 * @connect: asks for a connection to an entry of the roster that has none
 * @close: closes a connection that doesn't answer or was replaced; the core treats it as closed
 *         from then on, and az_agent_core_closed() for it has no effect. May be NULL
 * @start: writes the request to the upstream now; ends in az_agent_core_finished(), never
 *         from within this call
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

/** az_agent_core_opened - an outgoing connection exists; the core sends HELLO */
void
az_agent_core_opened (struct az_agent_core *core, uint32_t connection, const char *address);
void
az_agent_core_closed (struct az_agent_core *core, uint32_t connection);

/** az_agent_core_unreachable - a connection attempt to @address failed; the core retries with
 * back-off */
void
az_agent_core_unreachable (struct az_agent_core *core, const char *address);
void
az_agent_core_received (struct az_agent_core *core,
                        uint32_t connection,
                        const struct az_message *message);

/** az_agent_core_add_seed - an address to connect to before a roster is known */
void
az_agent_core_add_seed (struct az_agent_core *core, const char *address);

/**
 * az_agent_core_finished - the fate of a started task
 * @status: %AZ_STATUS_OK, %AZ_STATUS_FAILED, %AZ_STATUS_UNKNOWN, or %AZ_STATUS_NOT_STARTED
 *          when no byte reached the upstream
 */
void
az_agent_core_finished (struct az_agent_core *core,
                        uint32_t task_handle,
                        az_status status,
                        const uint8_t *payload,
                        size_t length);

/** az_agent_core_set_upstream_healthy - no grants are given while the upstream doesn't answer */
void
az_agent_core_set_upstream_healthy (struct az_agent_core *core, bool healthy);

/** az_agent_core_tick - heartbeats, expiry, reconnects; call every 20 ms */
void
az_agent_core_tick (struct az_agent_core *core);

/** az_agent_core_stop - takes no new work from now on */
void
az_agent_core_stop (struct az_agent_core *core);

/** az_agent_core_is_drained - nothing runs and every result is acknowledged or has no live owner */
bool
az_agent_core_is_drained (const struct az_agent_core *core);

/** az_agent_core_flush - sends results held back for batching; call at the end of a loop iteration
 */
void
az_agent_core_flush (struct az_agent_core *core);

#endif
