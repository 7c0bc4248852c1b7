#ifndef AZUREROCK_SIDECAR_H
#define AZUREROCK_SIDECAR_H

#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/message.h"
#include "azurerock/upstream_call.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Decision logic of the process that runs beside one upstream instance and manages its capacity:
 * every task is started through it. Each connected gateway has a session; when the session ends,
 * the tasks that the gateway started are stopped. All calls and messages go through struct
 * az_sidecar_io.
 */
struct az_sidecar;

struct az_sidecar_settings
{
  const char *instance;
  const char *domain;
  int64_t lease_ms; /* lease of tasks at the upstream, renewed several times before it ends */
  int64_t session_timeout_ms;     /* a session with tasks ends after this time without a message */
  int64_t stop_ms;                /* the upstream takes at most this long to stop a task */
  int64_t withdrawals_max_age_ms; /* if the known list of withdrawn domains is older than this, a
                                   * new one is read from the store */
  bool relative_slowness;         /* the upstream is slow compared with its own usual speed */
  bool report_interference;       /* gateways get evidence of which queues slow each other down */
};

/**
 * struct az_sidecar_io - calls and messages; none may call back into the core before it returns
 * @start: answered by az_sidecar_start_answered() with the same @task
 * @stop: answered by az_sidecar_stop_answered()
 * @hold: renews the leases of all tasks and reads their state (see struct az_upstream_hold);
 * answered by az_sidecar_hold_answered() with the same @number
 * @probe: asks whether the incarnation that an announcement names runs; answered by
 * az_sidecar_probe_answered() with the same @number
 */
struct az_sidecar_io
{
  void (*send) (void *context, uint32_t session, const struct az_message *message);
  void (*close) (void *context, uint32_t session, const char *reason);
  void (*start) (void *context, uint32_t task, const struct az_upstream_start *start);
  void (*stop) (void *context, uint32_t task, const struct az_upstream_stop *stop);
  void (*hold) (void *context, uint64_t number, const struct az_upstream_hold *hold);
  void (*probe) (void *context, uint64_t number, const struct az_upstream_probe *probe);
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

/** az_sidecar_session_opened - a gateway is connected; the core sends NODE_HELLO */
void
az_sidecar_session_opened (struct az_sidecar *sidecar, uint32_t session);
void
az_sidecar_session_closed (struct az_sidecar *sidecar, uint32_t session, const char *reason);

/** az_sidecar_is_session_idle - whether the session has no tasks and no end of one that is still to
 * be reported */
bool
az_sidecar_is_session_idle (const struct az_sidecar *sidecar, uint32_t session);

/** az_sidecar_can_retire_session - whether to retire this session if it is a surplus one: one at a
 * time is retired */
bool
az_sidecar_can_retire_session (const struct az_sidecar *sidecar, uint32_t session);

/**
 * az_sidecar_retire_session - prepares a surplus session for its end; call it at each tick
 * @session: the session, or 0 if there is none
 *
 * The upstream is reported as closed in that session, so that the gateway sends no more tasks.
 *
 * Return: whether the session can be closed without the loss of a run message or of a report.
 */
bool
az_sidecar_retire_session (struct az_sidecar *sidecar, uint32_t session);
void
az_sidecar_received (struct az_sidecar *sidecar,
                     uint32_t session,
                     const struct az_message *message);

/**
 * az_sidecar_upstream_announced - a heartbeat of the upstream instance arrived
 *
 * Anybody may have written it. One that names another incarnation than the present one is taken
 * over only when that incarnation has answered a probe.
 *
 * Return: whether it describes the present incarnation and was taken over; false if it is outdated,
 * repeated or not yet confirmed.
 */
bool
az_sidecar_upstream_announced (struct az_sidecar *sidecar,
                               const struct az_upstream_announcement *announcement);

/** az_sidecar_upstream_left - the upstream instance that started at @started_ms (Unix time; 0 if
 * not stated) has deregistered because it ends; ignored if it is a former incarnation */
void
az_sidecar_upstream_left (struct az_sidecar *sidecar, const char *instance, int64_t started_ms);

/**
 * az_sidecar_probe_answered - the instance at the announced address has answered the probe, or none
 * has
 * @confirmed: receives the announcement that the answer confirms, which has been taken over; free
 * it with az_upstream_announcement_clear()
 *
 * Return: whether @confirmed was set.
 */
bool
az_sidecar_probe_answered (struct az_sidecar *sidecar,
                           uint64_t number,
                           const struct az_upstream_answer *answer,
                           struct az_upstream_announcement *confirmed);

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

/** az_sidecar_withdrawals_received - @domains are withdrawn as of @revision of the store, which was
 * current @age_ms ago */
void
az_sidecar_withdrawals_received (struct az_sidecar *sidecar,
                                 uint64_t revision,
                                 int64_t age_ms,
                                 const char *const *domains,
                                 size_t n_domains);

/** az_sidecar_has_outdated_withdrawals - whether the process should read the withdrawn domains from
 * the store, because no gateway has sent a recent list */
bool
az_sidecar_has_outdated_withdrawals (const struct az_sidecar *sidecar);

/** az_sidecar_stop - refuses further tasks; running tasks continue and their leases are renewed */
void
az_sidecar_stop (struct az_sidecar *sidecar);

/** az_sidecar_cancel_all - stops all tasks, for use shortly before the process must exit */
void
az_sidecar_cancel_all (struct az_sidecar *sidecar);
bool
az_sidecar_is_idle (const struct az_sidecar *sidecar);

/** az_sidecar_has_upstream - whether an incarnation of the upstream is known or announced */
bool
az_sidecar_has_upstream (const struct az_sidecar *sidecar);

/** az_sidecar_upstream_address - address of the current incarnation of the upstream, or NULL */
const char *
az_sidecar_upstream_address (const struct az_sidecar *sidecar);

/** az_sidecar_tick - expires sessions and leases and sends due holds; call every 25 ms */
void
az_sidecar_tick (struct az_sidecar *sidecar);

/** az_sidecar_flush - sends the reports that are due; call once per event loop iteration */
void
az_sidecar_flush (struct az_sidecar *sidecar);

#endif
