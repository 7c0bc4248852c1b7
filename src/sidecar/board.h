#ifndef AZUREROCK_SIDECAR_BOARD_H
#define AZUREROCK_SIDECAR_BOARD_H

#include "azurerock/histogram.h"
#include "azurerock/resources.h"
#include "azurerock/sidecar.h"
#include "azurerock/table.h"
#include "dispatch/speed.h"
#include "dispatch/time_us.h"
#include "sidecar/lease.h"
#include <glib.h>

enum task_state
{
  TASK_STARTING,  /* the order to start is out */
  TASK_RUNNING,   /* the upstream has accepted it */
  TASK_UNCERTAIN, /* the order to start has no answer */
};

/**
 * struct task - one task that runs, or may run, at the upstream
 * @session: 0 once the session is gone; its end is not reported then
 * @owner: instance of the gateway; NULL for what an earlier life of this process started
 * @life: number of the upstream's life that it was sent to
 * @is_recalled: its gateway doesn't want it any more
 * @stop_sent: an order to stop is out
 * @is_stop_proven: the upstream took the order to stop: the attempt won't start any more
 * @seen_hold: a hold with a higher number that lists no trace of it proves that it is gone
 * @listed_hold: number of the last hold that listed it as running
 * @order_end_us: from then on the upstream refuses the order to start, if it comes late
 * @gone_us: from then on it can't run, whatever the upstream answers
 */
struct task
{
  uint32_t session;
  char *owner;
  uint64_t life;
  uint64_t job;
  uint32_t step;
  uint32_t index;
  char *name;
  uint32_t attempt;
  uint32_t n_retries;
  struct az_resources need;
  int64_t expected_us;
  bool is_slow_counted;
  GBytes *specification;
  enum task_state state;
  bool is_recalled;
  bool stop_wanted;
  bool stop_sent;
  bool is_stop_proven;
  uint64_t seen_hold;
  uint64_t listed_hold;
  int64_t started_us;
  int64_t order_end_us;
  int64_t gone_us;
  uint32_t percent;
  int64_t percent_us;           /* when @percent last changed */
  int64_t progress_reported_us; /* when its progress was last reported */
};

/** struct session - the connection of one gateway */
struct session
{
  uint32_t handle;
  char *gateway; /* instance, NULL before its hello */
  int64_t heard_us;
  int64_t reported_us;
  uint32_t received; /* run messages */
  uint32_t n_tasks;
  uint32_t waiting_cpu_milli;
  bool wants_reports;
  bool open_reported;
  uint64_t life_reported;
  uint32_t free_reported_milli;
  GArray *events;   /* struct az_task_event */
  GArray *progress; /* struct az_task_progress */
};

/** struct life - one incarnation of the upstream */
struct life
{
  uint64_t number; /* 0: none announced yet */
  char *instance;
  char *service;
  char *address;
  int64_t born_ms;
  uint64_t sequence;
  bool is_draining;
  bool has_left;
  bool is_fenced; /* it has seen our fence, and nothing of an earlier life of ours runs */
  struct az_resources capacity;
  GPtrArray *labels;
  struct az_speed speed;
  uint32_t n_done;
  uint32_t n_failed;
};

/** struct sent_hold - a hold whose answer is awaited */
struct sent_hold
{
  uint64_t number;
  int64_t sent_us;
};

/**
 * struct hold_state - holds to the present life; answers may overtake each other
 * @number: of the last hold sent
 * @taken: highest number of an answer
 * @n_failed: in a row
 * @ends_us: when an answer last listed ends; holds sent before should have been answered too
 */
struct hold_state
{
  uint64_t number;
  uint64_t taken;
  GArray *in_flight; /* struct sent_hold */
  unsigned n_failed;
  int64_t retry_us;
  int64_t ends_us;
  uint64_t seen;
};

/** struct offer - freed room that gateways with waiting tasks were told of since @made_us */
struct offer
{
  int64_t made_us;
  uint64_t cpu_milli; /* that they wait for */
};

struct withdrawal
{
  uint64_t revision;
  int64_t known_us; /* when the information was current; 0: never */
  bool is_withdrawn;
};

struct az_sidecar
{
  struct az_sidecar_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  struct az_sidecar_io io;
  struct az_counters *counters;
  uint32_t n_started;
  uint32_t n_refused;
  uint32_t n_lost;
  uint32_t n_stopped;
  struct az_histogram run_times; /* of done tasks */
  int64_t now_us;
  GHashTable *sessions; /* handle -> struct session * */
  struct az_table_rows *tasks;
  GHashTable *task_names; /* name -> handle */
  struct life life;
  struct az_lease lease;
  struct hold_state hold;
  struct withdrawal withdrawal;
  struct offer offer;
  struct az_resources used;
  uint64_t fence;
  uint64_t fence_step;
  bool is_stopping;
};

/* sessions.c */
struct session *
az_sidecar_session (const struct az_sidecar *sidecar, uint32_t handle);
void
az_sidecar_expire_sessions (struct az_sidecar *sidecar);

/* tasks.c */
struct task *
az_sidecar_task (const struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_job_key - unique among the jobs of all gateways */
uint64_t
az_sidecar_job_key (const struct task *task);
uint32_t
az_sidecar_find_task (const struct az_sidecar *sidecar, const char *name);
void
az_sidecar_run (struct az_sidecar *sidecar, struct session *session, const struct az_node_run *run);
void
az_sidecar_stop_tasks (struct az_sidecar *sidecar,
                       uint32_t session,
                       const struct az_node_stop *stop);

/** az_sidecar_recall - the task isn't wanted any more: stops it */
void
az_sidecar_recall (struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_handle_missing - the upstream neither runs the task nor lists its end: it is gone,
 * or, if it has never run and is still wanted, started again */
void
az_sidecar_handle_missing (struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_adopt - a task of an earlier life of this process was found running: stops it */
void
az_sidecar_adopt (struct az_sidecar *sidecar, const char *name, uint32_t attempt);

/** az_sidecar_end_task - reports the end to the gateway and frees the room */
void
az_sidecar_end_task (struct az_sidecar *sidecar, uint32_t handle, enum az_task_end how);
void
az_sidecar_expire_tasks (struct az_sidecar *sidecar);
bool
az_sidecar_has_orphans (const struct az_sidecar *sidecar, const char *owner);

/* life.c */

/** az_sidecar_lose_life - another incarnation answers at the address: the present one is gone with
 * its tasks; nothing starts until the new one has announced itself */
void
az_sidecar_lose_life (struct az_sidecar *sidecar);
bool
az_sidecar_is_open (const struct az_sidecar *sidecar);
const char *
az_sidecar_closed_reason (const struct az_sidecar *sidecar);

/* hold.c */
void
az_sidecar_hold_again (struct az_sidecar *sidecar);

/**
 * az_sidecar_extend_leases - an order with this lease end is being sent
 *
 * The upstream applies the lease end of any hold or start to all of its tasks, also if its answer
 * is lost, so the bounds of all tasks move when the order is sent.
 */
void
az_sidecar_extend_leases (struct az_sidecar *sidecar, int64_t lease_end_clock_ms);

/** az_sidecar_hold_now - requests the lists without waiting for an end */
void
az_sidecar_hold_now (struct az_sidecar *sidecar);
void
az_sidecar_raise_fence (struct az_sidecar *sidecar);

/* reports.c */
struct az_resources
az_sidecar_free (const struct az_sidecar *sidecar);
void
az_sidecar_queue_event (struct az_sidecar *sidecar,
                        struct session *session,
                        const struct az_task_event *event);
void
az_sidecar_queue_progress (struct session *session, const struct az_task_progress *progress);
void
az_sidecar_report (struct az_sidecar *sidecar, struct session *session);

#endif
