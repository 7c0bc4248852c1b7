#ifndef AZUREROCK_SIDECAR_STATE_H
#define AZUREROCK_SIDECAR_STATE_H

#include "azurerock/histogram.h"
#include "azurerock/resources.h"
#include "azurerock/sidecar.h"
#include "azurerock/table.h"
#include "dispatch/kind_overlap.h"
#include "dispatch/speed.h"
#include "dispatch/time_us.h"
#include "sidecar/lease.h"
#include <glib.h>

/* Leases that this process didn't ask for, of tasks that a former process started or that the
 * upstream started late, are at most one second long. */
#define ADOPTED_LEASE_MAX_MS 1100

enum task_state
{
  TASK_STARTING,  /* the start request is in flight */
  TASK_RUNNING,   /* the upstream has accepted the start */
  TASK_UNCERTAIN, /* the start request failed without an answer and may still be carried out */
  TASK_SUSPENDED, /* the upstream has restarted; whether it runs the task isn't known yet */
};

/**
 * struct task - one task that runs, or may run, at the upstream
 * @session: 0 once the session is closed; the end of the task is not reported then
 * @owner_gateway: gateway instance; NULL if a former process of this sidecar started the task
 * @life: number of the upstream's incarnation that the task was sent to
 * @has_upstream_crashed: that incarnation crashed after it had acknowledged the start
 * @ordered_attempt: attempt that the gateway sent; it ignores the end of a lower one
 * @is_cancelled: the task is not started again if its start fails
 * @is_stop_requested: the task must be stopped; the request is repeated until it is acknowledged
 * @stopped_attempt: attempt that the last stop request named
 * @stopped_life: incarnation to which the last stop request was sent
 * @is_stop_acknowledged: the upstream acknowledged a stop request, so the attempt can't start later
 * @acknowledged_at_hold: number of the last hold sent before the start or stop was acknowledged, or
 * before the restarted upstream got its first hold; UINT64_MAX until then. A later hold that
 * doesn't list the task proves that it has ended.
 * @last_listed_hold: number of the last hold whose answer listed the task as running
 * @start_expires_us: time from which on the upstream refuses the start request if it arrives late
 * @latest_end_us: time from which on the task can't run, whatever the upstream answers
 * @must_end_us: time by which a cancelled task must have ended, since it may be run elsewhere from
 * then on; INT64_MAX if it isn't cancelled
 */
struct task
{
  uint32_t session;
  char *owner_gateway;
  uint64_t life;
  uint64_t job;
  uint32_t step;
  uint32_t index;
  char *queue;  /* NULL, like @job_id, if a former process of this sidecar started the task */
  char *job_id; /* of the caller; the same at all gateways */
  char *name;
  uint32_t attempt;
  uint32_t ordered_attempt;
  uint32_t stopped_attempt;
  uint64_t stopped_life;
  uint32_t n_retries;
  struct az_resources need;
  int64_t expected_us;
  GBytes *specification;
  enum task_state state;
  bool is_recorded_as_slow;
  bool has_upstream_crashed;
  bool is_cancelled;
  bool is_stop_requested;
  bool is_stop_in_flight;
  bool is_stop_acknowledged;
  uint64_t acknowledged_at_hold;
  uint64_t last_listed_hold;
  int64_t start_sent_us;
  int64_t start_expires_us;
  int64_t latest_end_us;
  int64_t must_end_us;
  uint32_t percent;
  int64_t percent_changed_us;
  int64_t progress_reported_us;
  struct az_overlap_mark *overlap_mark; /* NULL unless report_interference is set */
};

/**
 * struct session - the connection of one gateway
 * @last_sent_us: when the gateway sent the newest of the messages that have arrived, as far as it
 * is known: messages wait in a slow link or in the socket of a paused process
 */
struct session
{
  uint32_t handle;
  char *gateway; /* instance; NULL until NODE_HELLO is received */
  int64_t last_sent_us;
  int64_t last_reported_us;
  uint32_t received; /* number of NODE_RUN messages */
  uint32_t n_tasks;
  uint32_t waiting_cpu_milli;
  bool wants_reports;
  bool is_reported_open;
  int64_t reported_closed_us; /* when the upstream was last reported as no longer open; 0: never */
  uint64_t reported_life;
  uint32_t reported_description;
  struct az_resources reported_capacity;
  uint32_t reported_free_milli;
  uint64_t reported_interference; /* revision of the evidence that was last sent; 0: none */
  GArray *events;                 /* struct az_task_event */
  GArray *progress;               /* struct az_task_progress */
};

/**
 * struct life - the current incarnation of the upstream
 * @number: counts the incarnations, 0 before the first announcement; NODE_UPSTREAM reports it as
 * life
 * @sequence: number of the last heartbeat
 * @announced_clock_ms: latest clock of the upstream that a heartbeat stated, -1 if none did
 * @announced_us: when the last heartbeat was taken over
 * @former_started_ms: highest birth time of former incarnations of the same instance id
 * @is_announced: false if the incarnation is only known from an answer of the upstream; its service
 * and labels are not known then
 * @description: counts the changes of service and labels
 * @left_clock_ms: lower bound of the upstream's clock when it was reported to have left, -1 if that
 * wasn't known or the departure is final
 * @is_fenced: the upstream accepted the fence and runs no task of a former sidecar process
 */
struct life
{
  uint64_t number;
  char *instance;
  char *service;
  char *address;
  int64_t started_ms;
  int64_t former_started_ms;
  uint64_t sequence;
  int64_t announced_clock_ms;
  int64_t announced_us;
  bool is_announced;
  uint32_t description;
  bool is_draining;
  bool has_left;
  int64_t left_clock_ms;
  bool has_crashed;
  bool is_fenced;
  struct az_resources capacity;
  GPtrArray *labels;
  struct az_speed speed;
  uint32_t n_done;
  uint32_t n_failed;
};

/**
 * struct sent_hold - a hold without an answer yet
 *
 * A hold is a long-polling request to the upstream. It renews the leases of all tasks, and its
 * answer lists the tasks that run and those that have ended.
 */
struct sent_hold
{
  uint64_t number;
  int64_t sent_us;
};

/**
 * struct hold_state - holds to the current incarnation; their answers can arrive in any order
 * @number: number of the last hold sent
 * @newest_answered: highest number of an answered hold
 * @n_consecutive_failures: failed holds since the last success
 * @next_send_us: no hold is sent before this time
 * @last_end_listed_us: when an answer last listed an ended task; the upstream answers all waiting
 * holds when a task ends
 * @last_processed_end: highest number of an ended task received; the next hold acknowledges it
 */
struct hold_state
{
  uint64_t number;
  uint64_t newest_answered;
  GArray *in_flight; /* struct sent_hold */
  unsigned n_consecutive_failures;
  int64_t next_send_us;
  int64_t last_end_listed_us;
  uint64_t last_processed_end;
};

/**
 * struct candidate - an announced incarnation that hasn't answered yet
 *
 * Another program may have written the announcement, or it may be late, so it shows neither that
 * the incarnation runs nor that the present one has ended.
 * @announcement: its instance is NULL if there is no candidate
 * @n_probes: number of the last probe
 */
struct candidate
{
  struct az_upstream_announcement announcement;
  uint64_t n_probes;
  bool is_probe_in_flight;
  int64_t announced_us;
  int64_t next_probe_us;
};

/** struct offer - freed capacity that was reported to gateways with waiting tasks */
struct offer
{
  int64_t first_sent_us; /* time of the first of these reports */
  uint64_t cpu_milli;    /* CPU that these gateways wait for */
};

struct withdrawal
{
  uint64_t revision;
  int64_t confirmed_us; /* when the list was last known to be current; 0: never */
  bool is_withdrawn;
};

struct az_sidecar
{
  struct az_sidecar_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  struct az_sidecar_io io;
  struct az_counters *counters;
  uint32_t starts_counter;
  uint32_t refusals_counter;
  uint32_t lost_counter;
  uint32_t stopped_counter;
  uint32_t crashes_counter;
  uint32_t overdue_counter;
  struct az_histogram run_times_ms; /* run times of tasks that ended as done */
  int64_t now_us;
  GHashTable *sessions; /* handle -> struct session * */
  struct az_table_rows *tasks;
  GHashTable *task_names; /* name -> handle */
  struct life life;
  struct candidate candidate;
  struct az_lease lease;
  struct hold_state hold;
  struct withdrawal withdrawal;
  struct offer offer;
  struct az_sidecar_interference *interference; /* NULL unless report_interference is set */
  struct az_resources used;
  uint64_t fence;
  uint64_t fence_step;
  bool is_stopping;
  bool has_overdue_stop;
  uint32_t retiring; /* surplus session that is being closed, or 0 */
};

/* sessions.c */
struct session *
az_sidecar_get_session (const struct az_sidecar *sidecar, uint32_t handle);
void
az_sidecar_expire_sessions (struct az_sidecar *sidecar);

/**
 * az_sidecar_expire_task_sessions - closes the sessions with tasks that have expired
 *
 * Call before an input is handled: after a pause of this process, inputs that are read before the
 * next tick would repeat starts and renew leases for a gateway that has given up its tasks.
 */
void
az_sidecar_expire_task_sessions (struct az_sidecar *sidecar);

/* tasks.c */
struct task *
az_sidecar_get_task (const struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_job_key - identifies the job among those of all gateways */
uint64_t
az_sidecar_job_key (const struct task *task);
uint32_t
az_sidecar_find_task (const struct az_sidecar *sidecar, const char *name);
void
az_sidecar_run_tasks (struct az_sidecar *sidecar,
                      struct session *session,
                      const struct az_node_run *run);
void
az_sidecar_stop_tasks (struct az_sidecar *sidecar,
                       uint32_t session,
                       const struct az_node_stop *stop);

/** az_sidecar_cancel_task - stops the task and doesn't start it again
 * @asked_us: earliest time at which the reason for it can have arisen: the time of the gateway's
 * last sign of life, or a session time-out before it asked for the stop
 */
void
az_sidecar_cancel_task (struct az_sidecar *sidecar, uint32_t handle, int64_t asked_us);

/** az_sidecar_reset_stop - drops the stop of another attempt or incarnation */
void
az_sidecar_reset_stop (struct task *task);

/** az_sidecar_handle_missing_task - handles a task that the upstream neither runs nor lists as
 * ended: starts it again if it has provably never run and isn't cancelled; otherwise ends it */
void
az_sidecar_handle_missing_task (struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_adopt_task - adds a running task that a former sidecar process started, and stops it
 */
void
az_sidecar_adopt_task (struct az_sidecar *sidecar, const char *name, uint32_t attempt);

/** az_sidecar_end_task - reports the end to the gateway, and frees the capacity and the task */
void
az_sidecar_end_task (struct az_sidecar *sidecar, uint32_t handle, enum az_task_end how);
void
az_sidecar_expire_tasks (struct az_sidecar *sidecar);

/** az_sidecar_has_orphans - whether a task of another session of the same gateway, closed or not,
 * or of a former process of this sidecar, may still run */
bool
az_sidecar_has_orphans (const struct az_sidecar *sidecar, const struct session *session);

/* lease_limit.c */

/** az_sidecar_must_end_us - time by which a task must have ended that is stopped for a reason that
 * can have arisen at @asked_us */
int64_t
az_sidecar_must_end_us (const struct az_sidecar *sidecar, int64_t asked_us);

/**
 * az_sidecar_next_lease_end - lease end for the next hold or start, on the upstream's clock
 *
 * The upstream applies a lease end to all of its tasks. While a cancelled task may still run, no
 * lease lasts beyond the time by which that task must have ended.
 *
 * Return: 0 if no lease may be extended now.
 */
int64_t
az_sidecar_next_lease_end (const struct az_sidecar *sidecar);

/** az_sidecar_is_stop_overdue - whether a cancelled task may still run for so long that a new task
 * would get less than half of a lease */
bool
az_sidecar_is_stop_overdue (const struct az_sidecar *sidecar);

/** az_sidecar_record_overdue_stop - counts and logs it when a stop becomes overdue while none was
 */
void
az_sidecar_record_overdue_stop (struct az_sidecar *sidecar);

/* suspension.c */

/**
 * az_sidecar_suspend_task - handles a task whose upstream has restarted under the same id
 *
 * The new incarnation may have accepted the start before the restart was noticed, or may carry out
 * an unanswered start late. The first hold that it accepts with the higher fence excludes a later
 * start and shows whether it runs the task.
 */
void
az_sidecar_suspend_task (struct az_sidecar *sidecar, uint32_t handle);

/** az_sidecar_transfer_task - moves a suspended task to the new incarnation, which gets a higher
 * fence; its first hold that doesn't list the task ends the task as lost */
void
az_sidecar_transfer_task (const struct az_sidecar *sidecar, struct task *task);

/** az_sidecar_stop_late_start - stops @attempt of a suspended task, which the new incarnation has
 * started */
void
az_sidecar_stop_late_start (struct az_sidecar *sidecar, uint32_t handle, uint32_t attempt);

/* upstream_incarnation.c */

/** az_sidecar_shows_restart - whether the answer to a request to the present incarnation comes from
 * another one of the same instance id */
bool
az_sidecar_shows_restart (const struct az_sidecar *sidecar,
                          const struct az_upstream_answer *answer);

/** az_sidecar_handle_restart - the upstream has answered as another incarnation of the same
 * instance id, born at @started_ms, or at an unknown time if that is 0; nothing starts until that
 * has announced itself */
void
az_sidecar_handle_restart (struct az_sidecar *sidecar, int64_t started_ms);

/** az_sidecar_handle_other_instance - another instance id answers at the upstream's address: all
 * tasks of the former incarnation are lost; nothing starts until the new one has announced itself
 */
void
az_sidecar_handle_other_instance (struct az_sidecar *sidecar);
bool
az_sidecar_is_open (const struct az_sidecar *sidecar);

/** az_sidecar_closed_reason - returns why no task can be started, or NULL if tasks can be started
 */
const char *
az_sidecar_closed_reason (const struct az_sidecar *sidecar);

/** az_sidecar_begin_announced_life - replaces the present incarnation by the announced one, which
 * has answered; if that was at the address of the present one, the present one has ended */
void
az_sidecar_begin_announced_life (struct az_sidecar *sidecar,
                                 const struct az_upstream_announcement *announcement);

/** az_sidecar_names_present - whether the announcement is that of the present incarnation */
bool
az_sidecar_names_present (const struct life *life,
                          const struct az_upstream_announcement *announcement);

/* announcement_check.c */

/** az_sidecar_find_contradiction - returns why an announcement that names the present incarnation
 * is outdated or comes from another writer, or NULL */
const char *
az_sidecar_find_contradiction (const struct az_sidecar *sidecar,
                               const struct az_upstream_announcement *announcement);

/** az_sidecar_is_clock_plausible - whether the upstream can have announced @clock_ms at most
 * @now_us after its clock showed @seen_clock_ms at @seen_us */
bool
az_sidecar_is_clock_plausible (int64_t clock_ms,
                               int64_t seen_clock_ms,
                               int64_t seen_us,
                               int64_t now_us);

/** az_sidecar_has_labels - whether the labels of the incarnation equal @labels */
bool
az_sidecar_has_labels (const struct life *life, const GPtrArray *labels);

/* departure.c */

/**
 * az_sidecar_review_departure - takes the upstream back if the announcement, which must be valid
 * and of the present incarnation, was written after the reported departure
 *
 * Anybody can report a departure, as anybody can write a heartbeat.
 */
void
az_sidecar_review_departure (struct az_sidecar *sidecar,
                             const struct az_upstream_announcement *announcement);

/* candidate.c */

/** az_sidecar_set_candidate - replaces the candidate, and probes whether it runs */
void
az_sidecar_set_candidate (struct az_sidecar *sidecar,
                          const struct az_upstream_announcement *announcement);
void
az_sidecar_drop_candidate (struct az_sidecar *sidecar);

/** az_sidecar_probe_candidate - repeats the probe when it is due */
void
az_sidecar_probe_candidate (struct az_sidecar *sidecar);

/* hold.c */

/** az_sidecar_send_due_holds - sends holds until the wanted number is in flight */
void
az_sidecar_send_due_holds (struct az_sidecar *sidecar);

/**
 * az_sidecar_extend_leases - call before a hold or start with this lease end is sent
 *
 * The upstream applies the lease end of each hold and start to all of its tasks, even if the answer
 * is lost. The latest end of all tasks is therefore extended when the request is sent.
 */
void
az_sidecar_extend_leases (struct az_sidecar *sidecar, int64_t lease_end_clock_ms);

/** az_sidecar_send_immediate_hold - sends a hold that is answered without waiting for the end of a
 * task */
void
az_sidecar_send_immediate_hold (struct az_sidecar *sidecar);
void
az_sidecar_raise_fence (struct az_sidecar *sidecar);

/** az_sidecar_begin_fence - raises the fence so that requests to earlier incarnations are refused
 */
void
az_sidecar_begin_fence (struct az_sidecar *sidecar);

/* crash.c */

/** az_sidecar_record_crash - the present incarnation has ended: unless it drains or has left, it
 * has crashed, and all gateways are told once */
void
az_sidecar_record_crash (struct az_sidecar *sidecar);

/** az_sidecar_detect_crash - call when a hold wasn't sent for want of a connection: an
 * upstream that refuses connections has crashed */
void
az_sidecar_detect_crash (struct az_sidecar *sidecar, int64_t hold_sent_us);

/** az_sidecar_clear_crash - call when the current incarnation has answered: it runs, so none of its
 * tasks ended by a crash */
void
az_sidecar_clear_crash (struct az_sidecar *sidecar);

/* reports.c */
struct az_resources
az_sidecar_available_capacity (const struct az_sidecar *sidecar);
void
az_sidecar_queue_event (struct az_sidecar *sidecar,
                        struct session *session,
                        const struct az_task_event *event);
void
az_sidecar_queue_progress (struct session *session, const struct az_task_progress *progress);
void
az_sidecar_send_report (struct az_sidecar *sidecar, struct session *session);

#endif
