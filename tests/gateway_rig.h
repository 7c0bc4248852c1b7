#ifndef AZUREROCK_TESTS_GATEWAY_RIG_H
#define AZUREROCK_TESTS_GATEWAY_RIG_H

#include "azurerock/gateway.h"
#include <glib.h>

/* A gateway core with a virtual clock. The test acts as its sidecars and callers. */

#define GATEWAY_RIG_ID "00000000000000%02x"

/* The clocks of sidecars are ahead of the gateway's by this much. */
#define GATEWAY_RIG_CLOCK_AHEAD_MS 5000

struct gateway_run
{
  uint32_t session;
  uint64_t job;
  uint32_t index;
  uint32_t attempt;
  int64_t clock_ms; /* the sidecar's clock, as stated in the run message */
  uint32_t expected_ms;
  char name[64]; /* of the step */
};

struct gateway_answer
{
  uint32_t caller;
  enum az_job_outcome outcome;
  int64_t after_ms; /* time since the rig was created */
  int64_t retry_after_ms;
};

struct gateway_rig
{
  int64_t now_ms;
  int64_t wait_ms; /* wait time that submitted jobs state */
  struct az_clock clock;
  struct az_counters *counters;
  struct az_gateway *core;
  GArray *runs;    /* struct gateway_run */
  GArray *stops;   /* struct gateway_run; index UINT32_MAX for all tasks */
  GArray *answers; /* struct gateway_answer */
  GPtrArray *connects;
  unsigned n_closed;
  unsigned n_cancels;                    /* that were answered */
  enum az_cancel_outcome cancel_outcome; /* of the last of them */
  uint64_t cancel_number;                /* of the last NODE_CANCEL that was sent */
  bool replied_held;                     /* as the last NODE_CANCELLED states it */
  int64_t report_delay_ms;               /* between the sending and the arrival of reports */
  uint64_t heartbeat_clock_ms;           /* as the last heartbeat states it */
  uint32_t heartbeat_cpu_milli[16];      /* as the last heartbeat to each session states it */
  unsigned n_update_requests;            /* NODE_PULSE messages that request updates */
  unsigned n_update_requests_to[16];     /* the same to each session */
  unsigned n_catalogs_sent;              /* configurations sent to peers */
  unsigned n_evidence_sent;              /* NODE_EVIDENCE messages */
  struct az_node_evidence evidence;      /* of the last of them */
  uint32_t received[16];                 /* run messages per session */
  uint32_t used_cpu_milli[16];           /* in use on the upstream of each session */
  uint32_t capacity_milli[16];           /* of the upstream of each session */
  uint64_t incarnation[16];              /* of the sidecar process of each session */
  uint32_t speed[16];                    /* of the upstream of each session, percent of normal */
  const char *label[16];                 /* of the upstream of each session, or NULL */
  bool is_unannounced[16]; /* the sidecar of each session doesn't know its service yet */
  uint32_t n_done[16];
  uint32_t n_failed[16];
};

/** gateway_rig_create - creates a core with @n_upstreams open upstreams of 32 cores in domain "d1";
 * their sessions are 1, 2, ... */
struct gateway_rig *
gateway_rig_create (unsigned n_upstreams);

/** gateway_rig_create_tail_aware - creates the same with the setting tail_aware_moves */
struct gateway_rig *
gateway_rig_create_tail_aware (unsigned n_upstreams);

/** gateway_rig_create_for_uneven_hardware - creates the same with the settings tail_aware_moves and
 * relative_slowness */
struct gateway_rig *
gateway_rig_create_for_uneven_hardware (unsigned n_upstreams);

/** gateway_rig_create_sharing_demand - creates the same with the setting share_demand */
struct gateway_rig *
gateway_rig_create_sharing_demand (unsigned n_upstreams);

/** gateway_rig_create_dividing_by_queue - creates the same with the setting fair_queue_shares */
struct gateway_rig *
gateway_rig_create_dividing_by_queue (unsigned n_upstreams);

/** gateway_rig_create_separating - creates the same with the setting separate_queues */
struct gateway_rig *
gateway_rig_create_separating (unsigned n_upstreams);
void
gateway_rig_destroy (struct gateway_rig *rig);

void
gateway_rig_open_upstream (struct gateway_rig *rig,
                           uint32_t session,
                           const char *instance,
                           const char *domain,
                           bool is_open);

/** gateway_rig_open_peer - opens a session with another gateway */
void
gateway_rig_open_peer (struct gateway_rig *rig, uint32_t session, const char *address);

/** gateway_rig_report_upstream - reports the state of the session's upstream, in its first life */
void
gateway_rig_report_upstream (struct gateway_rig *rig, uint32_t session, bool is_open);

/** gateway_rig_submit - submits a job to @route ("fast" or "big"); each task takes 4 cores and is
 * estimated at 100 ms */
void
gateway_rig_submit (struct gateway_rig *rig, uint32_t caller, const char *route, uint32_t n_tasks);

/** gateway_rig_submit_as - submits a job of one such task under this id to "fast" */
void
gateway_rig_submit_as (struct gateway_rig *rig, uint32_t caller, const char *id);

/** gateway_rig_submit_for_label - submits a job of one such task, which requires @label, to "fast"
 */
void
gateway_rig_submit_for_label (struct gateway_rig *rig, uint32_t caller, const char *label);

/** gateway_rig_end_run - reports the end of a run to the core */
void
gateway_rig_end_run (struct gateway_rig *rig, guint run, enum az_task_end how, uint32_t run_ms);
/** gateway_rig_report_crash - the sidecar of @session reports a crash and names a task of @caller's
 * job */
void
gateway_rig_report_crash (struct gateway_rig *rig,
                          uint32_t session,
                          uint32_t caller,
                          uint32_t index);

/** gateway_rig_begin_life - the upstream of @session is back, open and empty */
void
gateway_rig_begin_life (struct gateway_rig *rig, uint32_t session, uint64_t life);
void
gateway_rig_report_progress (struct gateway_rig *rig,
                             guint run,
                             uint32_t elapsed_ms,
                             uint32_t projected_ms);

/** gateway_rig_advance - advances the clock in ticks; the sidecars report in each tick, except
 * those whose session's bit is set in @silent_sessions */
void
gateway_rig_advance (struct gateway_rig *rig, int64_t ms, uint32_t silent_sessions);
const struct gateway_run *
gateway_rig_get_run (const struct gateway_rig *rig, guint run);

/** gateway_rig_get_outcome - returns the outcome of @caller's job, or -1 without an answer */
int
gateway_rig_get_outcome (const struct gateway_rig *rig, uint32_t caller);

/** gateway_rig_read_counter - returns the value of one of the gateway's counters */
uint64_t
gateway_rig_read_counter (const struct gateway_rig *rig, const char *name);

struct az_catalog *
gateway_rig_create_catalog (uint64_t version);

#endif
