#ifndef AZUREROCK_SIDECAR_H
#define AZUREROCK_SIDECAR_H

#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/message.h"
#include "azurerock/upstream_call.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Decisions of the process beside one upstream instance. It owns the room of that instance: every
 * start passes through it. Gateways reach it through sessions (connections); what a gateway
 * started ends with its session. All calls and messages go through struct az_sidecar_io.
 */
struct az_sidecar;

struct az_sidecar_settings
{
  const char *instance;
  const char *domain;
  int64_t lease_ms;    /* lease of tasks at the upstream, renewed several times in that time */
  int64_t session_ms;  /* a gateway silent for longer loses its session */
  int64_t stop_ms;     /* the upstream takes at most this long to stop a task */
  int64_t evidence_ms; /* a list of withdrawn domains older than this is read from the store */
};

/**
 * struct az_sidecar_io - effects; none calls back into the core before it returns
 * @start: answered by az_sidecar_start_answered() with the same @task
 * @stop: answered by az_sidecar_stop_answered()
 * @hold: answered by az_sidecar_hold_answered() with the same @number
 */
struct az_sidecar_io
{
  void (*send) (void *context, uint32_t session, const struct az_message *message);
  void (*close) (void *context, uint32_t session, const char *reason);
  void (*start) (void *context, uint32_t task, const struct az_upstream_start *start);
  void (*stop) (void *context, uint32_t task, const struct az_upstream_stop *stop);
  void (*hold) (void *context, uint64_t number, const struct az_upstream_hold *hold);
  void *context;
};

struct az_sidecar *
az_sidecar_create (const struct az_sidecar_settings *settings,
                   uint64_t incarnation,
                   const struct az_clock *clock,
                   const struct az_sidecar_io *io,
                   struct az_counters *counters);
void
az_sidecar_destroy (struct az_sidecar *sidecar);

/** az_sidecar_session_opened - a connection to a gateway exists; the core says hello */
void
az_sidecar_session_opened (struct az_sidecar *sidecar, uint32_t session);
void
az_sidecar_session_closed (struct az_sidecar *sidecar, uint32_t session, const char *reason);

/** az_sidecar_is_session_idle - no task of the session runs */
bool
az_sidecar_is_session_idle (const struct az_sidecar *sidecar, uint32_t session);
void
az_sidecar_received (struct az_sidecar *sidecar,
                     uint32_t session,
                     const struct az_message *message);

/**
 * az_sidecar_announced - a heartbeat of the upstream instance arrived
 *
 * Return: whether the announcement is of the present or a newer life.
 */
bool
az_sidecar_announced (struct az_sidecar *sidecar,
                      const struct az_upstream_announcement *announcement);

/** az_sidecar_left - the upstream instance says that it ends */
void
az_sidecar_left (struct az_sidecar *sidecar, const char *instance);

void
az_sidecar_start_answered (struct az_sidecar *sidecar,
                           uint32_t task,
                           const struct az_upstream_answer *answer);
void
az_sidecar_stop_answered (struct az_sidecar *sidecar,
                          uint32_t task,
                          const struct az_upstream_answer *answer);
void
az_sidecar_hold_answered (struct az_sidecar *sidecar,
                          uint64_t number,
                          const struct az_upstream_lists *lists);

/** az_sidecar_withdrawn - the withdrawn domains at @revision of the store, current @age_ms ago */
void
az_sidecar_withdrawn (struct az_sidecar *sidecar,
                      uint64_t revision,
                      int64_t age_ms,
                      const char *const *domains,
                      size_t n_domains);

/** az_sidecar_needs_withdrawals - whether the process should read withdrawals from the store itself
 */
bool
az_sidecar_needs_withdrawals (const struct az_sidecar *sidecar);

/** az_sidecar_stop - takes no more tasks; those that run are held to their end */
void
az_sidecar_stop (struct az_sidecar *sidecar);

/** az_sidecar_abandon - stops what still runs; for the end of the time that a stop may take */
void
az_sidecar_abandon (struct az_sidecar *sidecar);
bool
az_sidecar_is_idle (const struct az_sidecar *sidecar);

/** az_sidecar_upstream_address - where the present life of the upstream is called, or NULL */
const char *
az_sidecar_upstream_address (const struct az_sidecar *sidecar);

/** az_sidecar_tick - expires sessions and leases; call every 25 ms */
void
az_sidecar_tick (struct az_sidecar *sidecar);

/** az_sidecar_flush - sends the reports of this turn of the loop */
void
az_sidecar_flush (struct az_sidecar *sidecar);

#endif
