#ifndef AZUREROCK_TESTS_SIDECAR_RIG_H
#define AZUREROCK_TESTS_SIDECAR_RIG_H

#include "azurerock/sidecar.h"
#include <glib.h>

/* A sidecar core with a virtual clock; the test answers in place of the upstream. */

/** struct sidecar_request - a start or stop request that the core has sent */
struct sidecar_request
{
  uint32_t task;
  char *name;
  uint32_t attempt;
  int64_t lease_end_clock_ms;
  uint64_t fence;
};

struct sidecar_rig
{
  int64_t now_ms;
  int64_t wall_ms;
  struct az_clock clock;
  struct az_counters *counters;
  struct az_sidecar *core;
  GArray *starts; /* struct sidecar_request */
  GArray *stops;  /* struct sidecar_request */
  GArray *events; /* struct az_task_event, all sessions */
  uint64_t hold;  /* number of the last hold */
  unsigned n_holds;
  int64_t hold_lease_end_clock_ms;
  uint64_t hold_fence;
  uint64_t hold_last_processed_end;
  bool is_open; /* as last reported to any session */
  unsigned n_closed;
  uint64_t probe; /* number of the last probe; 0 once it is answered */
  unsigned n_probes;
  uint32_t capacity_milli;             /* of the upstream, as it announces it */
  const char *label;                   /* the same, or NULL */
  const char *service;                 /* the same */
  const char *domain;                  /* the same */
  int64_t clock_ms;                    /* the same, -1 if it states none */
  char reported_service[32];           /* as last reported to any session */
  char reported_label[32];             /* the same; empty if the upstream has none */
  uint32_t reported_capacity_milli[4]; /* as last reported to each session */
  uint32_t free_milli;                 /* as last reported */
  uint32_t speed_percent;
  unsigned n_reports[4];                  /* number of reports to each session */
  unsigned n_crashes[4];                  /* number of NODE_CRASH messages to each session */
  char crashed_job_id[AZ_MAX_JOB_ID + 1]; /* from the last NODE_CRASH, like crashed_queue */
  char crashed_queue[AZ_MAX_NAME + 1];
  uint32_t crashed_index;
  bool hides_withdrawals;     /* opened sessions don't send NODE_WITHDRAWN */
  struct az_resources need;   /* of the tasks that gateways request to run */
  int64_t request_age_ms;     /* delay of the run requests of gateways */
  const char *queue;          /* of the tasks that gateways request to run */
  unsigned n_interference[4]; /* number of NODE_INTERFERENCE messages to each session */
  guint interference_bytes;   /* length of the last of them, like the fields that follow */
  uint64_t interference_life;
  char interference_kinds[AZ_MAX_KINDS][AZ_MAX_NAME + 1];
  unsigned n_interference_rows;
  struct az_interference_row interference_rows[AZ_MAX_KINDS * AZ_MAX_KINDS];
};

/** sidecar_rig_create - creates a core with sessions 1 and 2 of gateways "g1" and "g2", and an open
 * upstream of 32 cores */
struct sidecar_rig *
sidecar_rig_create (void);

/** sidecar_rig_create_reporting_interference - creates the same as sidecar_rig_create() with the
 * setting report_interference */
struct sidecar_rig *
sidecar_rig_create_reporting_interference (void);

/** sidecar_rig_create_bare - creates a core without sessions and upstream */
struct sidecar_rig *
sidecar_rig_create_bare (void);
void
sidecar_rig_destroy (struct sidecar_rig *rig);

void
sidecar_rig_open_session (struct sidecar_rig *rig, uint32_t session, const char *gateway);

/** sidecar_rig_announce - delivers a heartbeat of @instance, at address "127.0.0.1:1"; if the core
 * probes whether that runs, it answers
 *
 * Return: whether the announcement was taken over.
 */
bool
sidecar_rig_announce (struct sidecar_rig *rig,
                      const char *instance,
                      int64_t started_ms,
                      uint64_t sequence,
                      bool is_draining);

bool
sidecar_rig_announce_at (struct sidecar_rig *rig,
                         const char *address,
                         const char *instance,
                         int64_t started_ms,
                         uint64_t sequence,
                         bool is_draining);

/** sidecar_rig_announce_unanswered - delivers a heartbeat of @instance, which doesn't answer a
 * probe
 */
bool
sidecar_rig_announce_unanswered (struct sidecar_rig *rig,
                                 const char *address,
                                 const char *instance,
                                 int64_t started_ms,
                                 uint64_t sequence);

/** sidecar_rig_answer_probe - answers the last probe as the incarnation that was born at
 * @started_ms
 *
 * Return: whether the answer confirms the announcement.
 */
bool
sidecar_rig_answer_probe (struct sidecar_rig *rig,
                          enum az_upstream_result result,
                          int64_t started_ms);

/** sidecar_rig_send_run - delivers a request from @session to run task "job.0.0.index" of queue
 * "fast" and job id "job" followed by the number @job, on 4 cores unless the test changes the need
 */
void
sidecar_rig_send_run (struct sidecar_rig *rig, uint32_t session, uint64_t job, uint32_t index);

/** sidecar_rig_send_attempt - the same with this attempt, instead of the first */
void
sidecar_rig_send_attempt (struct sidecar_rig *rig,
                          uint32_t session,
                          uint64_t job,
                          uint32_t index,
                          uint32_t attempt);
void
sidecar_rig_answer_start (struct sidecar_rig *rig, guint request, enum az_upstream_result result);
void
sidecar_rig_answer_stop (struct sidecar_rig *rig, guint request, enum az_upstream_result result);

/** sidecar_rig_answer_hold - answers the last hold with the running and the done tasks; each list
 * is written as "name name ..." or "" */
void
sidecar_rig_answer_hold (struct sidecar_rig *rig, const char *active, const char *done);
void
sidecar_rig_fail_hold (struct sidecar_rig *rig, enum az_upstream_result result);

/** sidecar_rig_answer_hold_as - answers the last hold as an incarnation with this birth time that
 * runs nothing */
void
sidecar_rig_answer_hold_as (struct sidecar_rig *rig, int64_t started_ms);

/** sidecar_rig_advance - advances the clock in ticks of 25 ms */
void
sidecar_rig_advance (struct sidecar_rig *rig, int64_t ms);

/** sidecar_rig_advance_answering_holds - advances the clock while sessions 1 and 2 are renewed and
 * the last hold of each tick is answered with @active */
void
sidecar_rig_advance_answering_holds (struct sidecar_rig *rig, int64_t ms, const char *active);
void
sidecar_rig_send_pulse (struct sidecar_rig *rig, uint32_t session);

/** sidecar_rig_send_delayed_pulse - the same with a heartbeat that was sent @age_ms ago */
void
sidecar_rig_send_delayed_pulse (struct sidecar_rig *rig, uint32_t session, int64_t age_ms);
const struct sidecar_request *
sidecar_rig_get_start (const struct sidecar_rig *rig, guint request);

/** sidecar_rig_last_event - returns how the task of the last reported event has ended, or -1
 * if no event was reported */
int
sidecar_rig_last_event (const struct sidecar_rig *rig);

#endif
