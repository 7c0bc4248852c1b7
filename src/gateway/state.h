#ifndef AZUREROCK_GATEWAY_STATE_H
#define AZUREROCK_GATEWAY_STATE_H

#include "azurerock/ejector.h"
#include "azurerock/gateway.h"
#include "azurerock/histogram.h"
#include "azurerock/resources.h"
#include "azurerock/table.h"
#include "dispatch/crash_record.h"
#include "dispatch/crash_suspicion.h"
#include "dispatch/division.h"
#include "dispatch/move_decision.h"
#include "dispatch/refused_share.h"
#include "dispatch/retry_after.h"
#include "dispatch/run_estimate.h"
#include "dispatch/run_ratio.h"
#include "dispatch/time_us.h"
#include "dispatch/traffic.h"
#include <glib.h>

/**
 * struct session - connection to a sidecar or to another gateway
 * @address: address that this gateway connected to; NULL for an incoming connection
 * @peer_address: address from the hello of a gateway; NULL for a sidecar
 * @upstream: handle of the sidecar's upstream; 0 for a gateway
 * @busy_since_us: when the upstream got a task while it had none
 * @last_heartbeat_us: when the last NODE_PULSE was sent; 0 to send one at once
 * @withdrawn_sent_us: when the withdrawn domains were last sent
 * @peer_clock_ahead_us: lower bound, from the reports up to @peer_clock_observed_us, of how far the
 *   sidecar's clock is ahead of the gateway's
 * @peer_clock_observed_us: 0 before the first report
 * @offered_cores: of another gateway, the work that arrives there per second, as it last stated
 * @offered_stated_us: when it did; 0 if never
 */
struct session
{
  uint32_t handle;
  char *address;
  char *instance;
  char *peer_address;
  uint32_t upstream;
  int64_t last_received_us;
  int64_t busy_since_us;
  int64_t last_heartbeat_us;
  int64_t withdrawn_sent_us;
  int64_t peer_clock_ahead_us;
  int64_t peer_clock_observed_us;
  double offered_cores;
  int64_t offered_stated_us;
};

/** struct reservation - resources of a run message that the sidecar's reports don't include yet */
struct reservation
{
  uint32_t run_number;
  struct az_resources amount;
};

/**
 * struct upstream - one upstream instance, identified by the instance name of its sidecar
 * @session: handle of the session with the sidecar, 0 while there is none
 * @sidecar: incarnation of the sidecar process that @life comes from
 * @life: number of the upstream's incarnation, which each sidecar process counts from 1; 0 is none
 * @is_open: the sidecar accepts tasks
 * @closed_us: when the sidecar last stopped to accept tasks, 0 if never
 * @is_described: @service and @labels are those of @life; otherwise @service is the last known one
 * @is_isolated: only tasks of suspected queues are to run here
 * @largest_capacity: maximum of each resource that @capacity had in this incarnation, or since
 *   before a restart of the sidecar; the capacity may shrink and grow again
 * @free: @reported_free less @reservations
 * @n_runs_sent: number of run messages sent in the present session
 * @n_tasks: number of this gateway's tasks at the upstream in %TASK_SENT
 * @in_working_set: whether the sidecar is to report the free resources continually
 * @used_cpu_milli: CPU of this gateway's tasks at the upstream
 * @speed: expected run time of its tasks divided by the actual one; 1 is normal
 * @slow_hardware_since_us: since when az_speed_is_reduced() is true for @speed, 0 if it isn't
 * @has_baseline_counts: @n_done and @n_failed are set; the first report of an incarnation only sets
 *   them, since it includes tasks that ended earlier
 * @n_done: tasks of all gateways that were done in this incarnation, as last reported
 * @n_failed: tasks of all gateways that failed in this incarnation, as last reported
 * @n_probes: probes since the upstream was last in regular use
 * @evidence: what its sidecar has reported of interference in this incarnation; NULL if nothing
 * @part: part of the interfering queues that it belongs to, 0 if none
 */
struct upstream
{
  uint32_t handle;
  char *instance;
  char *domain;
  uint32_t session;
  uint64_t sidecar;
  uint64_t life;
  bool is_open;
  int64_t closed_us;
  bool is_isolated;
  bool is_described;
  char *service;
  GPtrArray *labels;
  struct az_resources capacity;
  struct az_resources largest_capacity;
  struct az_resources reported_free;
  struct az_resources free;
  GArray *reservations; /* struct reservation */
  uint32_t n_runs_sent;
  uint32_t n_tasks;
  bool in_working_set;
  int64_t last_assigned_us;
  uint32_t used_cpu_milli;
  double speed;
  int64_t slow_hardware_since_us;
  bool has_baseline_counts;
  uint32_t n_done;
  uint32_t n_failed;
  uint32_t n_probes;
  int64_t last_probed_us;
  struct az_upstream_evidence *evidence;
  unsigned part;
};

enum task_state
{
  TASK_WAITING,
  TASK_SENT,
  TASK_ORPHANED, /* its session is lost; it may run until @ended_by_us */
  TASK_DONE,
};

/**
 * struct task
 * @n_crashes: number of upstreams that crashed under it, whichever gateway had sent it
 * @is_crash_counted: the crash of the upstream that runs it is included in @n_crashes
 * @sent_speed: speed of the upstream when the task was sent; its run time hasn't entered that one
 * @own_ratio: projected run time as a multiple of the expected one at the speed of the upstream
 * that runs it, 0 before it reports progress
 * @is_ratio_recorded: the distribution of its queue includes it
 * @is_move_refused: it stays on its upstream because it is probably long, or for the budget
 */
struct task
{
  enum task_state state;
  uint32_t upstream; /* handle of the one that runs, or last ran, the task; 0 if it never ran */
  uint32_t attempt;
  uint32_t n_failed;
  uint32_t n_crashes;
  bool is_crash_counted;
  uint32_t n_moved;
  double sent_speed;
  double own_ratio;
  bool is_ratio_recorded;
  bool is_move_refused;
  bool is_stopping;
  int64_t sent_us;
  int64_t ended_by_us;
};

struct step
{
  uint32_t first_task; /* index of its first task in the job */
  uint32_t n_waiting;
  uint32_t n_done;
};

/** enum az_pool - upstreams of a service on which the tasks of a job may run */
enum az_pool
{
  AZ_POOL_ANY,
  AZ_POOL_REGULAR,  /* those that aren't isolated */
  AZ_POOL_ISOLATED, /* those for suspected queues */
};

/**
 * struct job - one job of a caller
 * @objective_us: time until which an answer meets the latency objective
 * @critical_path_us: expected time of the longest chain of dependent tasks
 * @n_in_flight: tasks that are sent or orphaned; an orphaned task may still run, but the session
 *   with its upstream is lost
 * @n_started: starts of tasks, certain or possible; a start that the upstream refused isn't counted
 * @was_placed: at least one task was sent to an upstream
 * @has_waited_for_share: it had to wait because the gateway used its share of the cores
 * @pool: determined before each placement
 * @is_answered: the job only waits for its last tasks in flight
 */
struct job
{
  uint64_t number;
  char *id;
  GArray *callers; /* uint32_t */
  struct queue *queue;
  struct az_job_request request;
  uint32_t priority;
  uint32_t max_failures;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t objective_us;
  int64_t critical_path_us;
  struct step *steps;
  struct task *tasks;
  uint32_t n_tasks;
  uint32_t n_waiting;
  uint32_t n_in_flight;
  uint32_t n_done;
  uint32_t n_started;
  bool was_placed;
  bool has_waited_for_share;
  enum az_pool pool;
  bool is_answered;
};

/**
 * struct queue - statistics of the jobs of one route
 * @run_estimate: what the estimates of its callers have meant
 * @run_ratio: run times relative to the expected ones; recorded only with tail_aware_moves
 * @part: part of the upstreams on which its tasks run apart from those of the queues that interfere
 *   with it, 0 if none
 * @part_losses: by how much longer its tasks take on upstreams of each part, as a part of their run
 *   time
 */
struct queue
{
  char *name;
  char *service;
  uint32_t priority;
  struct az_run_estimate run_estimate;
  struct az_run_ratio run_ratio;
  struct az_traffic traffic;
  struct az_traffic starts; /* counts run messages as jobs */
  struct az_retry_after retry_after;
  unsigned part;
  double part_losses[AZ_PARTS_MAX + 1];
};

/** struct withdrawals - withdrawn failure domains; @confirmed_us is when the list was last known to
 * be current, 0 if it isn't known yet */
struct withdrawals
{
  uint64_t revision;
  int64_t confirmed_us;
  GPtrArray *domains;
};

/**
 * struct az_gateway - state of the core
 * @members: addresses of the other gateways
 * @down_us: for how long the last restarted upstream was closed, 0 if unknown
 * @queued_cpu_milli: CPU that the waiting tasks need
 * @catalog_confirmed_us: when @catalog was last known to be the newest configuration, 0 if never
 * @is_catalog_outdated: whether that was longer ago than settings.apply_ms at the last tick
 * @updates_requested_us: when updates were last requested from peers
 * @next_peer: index of the peer to ask next
 * @sidecars_requested_us: when updates were last requested from sidecars
 * @next_sidecar: index of the sidecar to ask next
 * @first_arrival_us: when the first job was submitted, 0 before
 * @last_open_us: when an upstream last accepted tasks; initially the start of the process
 * @is_resuming: the process was paused; messages that arrived meanwhile are read before tasks are
 *   placed
 * @pause_began_us: when the process last ran before the last pause
 * @n_resume_ticks: number of ticks until the requests of the last pause have been read
 * @move_budget: recorded only with tail_aware_moves
 * @move_refusal_logged_us: when a refused move was last logged
 * @n_move_refusals: refused moves since then
 */

struct az_gateway
{
  struct az_gateway_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  struct az_gateway_io io;
  struct az_counters *counters;
  int64_t now_us;
  GHashTable *sessions;  /* handle -> struct session * */
  GPtrArray *upstreams;  /* struct upstream *; handle - 1 is the index */
  GHashTable *members;   /* address -> time in us of the next attempt to connect, int64_t * */
  GHashTable *jobs;      /* number -> struct job * */
  GHashTable *job_ids;   /* id -> struct job *, only jobs without an answer */
  GHashTable *callers;   /* caller -> struct job * */
  GHashTable *queues;    /* route name -> struct queue * */
  GPtrArray *cancels;    /* struct cancel * */
  GHashTable *cancelled; /* id -> time of its cancel in us, int64_t * */
  uint64_t last_cancel_number;
  GHashTable *lost_peers; /* address -> time of the end of its session in us, int64_t * */
  struct az_ejector *ejector;
  struct az_crash_record *crash_record;
  GHashTable *suspicions; /* service -> struct az_crash_suspicion *, added with its first crash */
  int64_t down_us;
  struct az_gateway_interference *interference;
  struct az_gateway_separation *separation;
  struct az_catalog *catalog;
  uint64_t catalog_revision;
  GBytes *catalog_text;
  int64_t catalog_confirmed_us;
  bool is_catalog_outdated;
  struct withdrawals withdrawals;
  int64_t stop_us; /* when the process stops serving; 0 unless it is stopping */
  uint64_t last_job_number;
  uint32_t queued_cpu_milli;
  bool is_store_reachable;
  int64_t updates_requested_us;
  guint next_peer;
  int64_t sidecars_requested_us;
  guint next_sidecar;
  int64_t working_set_chosen_us;
  int64_t first_arrival_us;
  int64_t started_us;
  int64_t last_open_us;
  int64_t last_tick_us;
  bool needs_placing;
  bool is_resuming;
  int64_t pause_began_us;
  uint32_t n_resume_ticks;
  struct az_move_budget move_budget;
  int64_t move_refusal_logged_us;
  uint32_t n_move_refusals;
  uint32_t c_jobs; /* this and the other c_ fields are handles of counters */
  uint32_t c_completed;
  uint32_t c_failed;
  uint32_t c_refused;
  uint32_t c_unfinished;
  uint32_t c_expired;
  uint32_t c_given_up;
  uint32_t c_retried;
  uint32_t c_crashed;
  uint32_t c_moved;
  uint32_t c_moves_long;
  uint32_t c_moves_budget;
  uint32_t c_examined;
  uint32_t c_suspected;
  uint32_t c_share_waits;
  struct az_refused_share refused_share;
  int64_t share_wait_logged_us;    /* when event=share-used was last logged */
  struct az_histogram response_ms; /* response times of completed jobs */
};

/* lookup.c: return NULL for an unknown handle */
struct session *
az_gateway_get_session (const struct az_gateway *gateway, uint32_t handle);
struct upstream *
az_gateway_get_upstream (const struct az_gateway *gateway, uint32_t handle);

/* cancel_record.c */
void
az_gateway_record_cancel (struct az_gateway *gateway, const char *id);

/** az_gateway_is_cancelled - whether the job was cancelled some seconds ago, here or at a peer */
bool
az_gateway_is_cancelled (const struct az_gateway *gateway, const char *id);

/* cancels.c */
void
az_gateway_open_cancels (struct az_gateway *gateway);
void
az_gateway_close_cancels (struct az_gateway *gateway);

void
az_gateway_handle_cancel (struct az_gateway *gateway,
                          const struct session *session,
                          const struct az_node_cancel *request);
void
az_gateway_handle_cancelled (struct az_gateway *gateway,
                             uint32_t session,
                             const struct az_node_cancelled *reply);

/** az_gateway_record_found_peer - call when a session with the gateway at @address begins */
void
az_gateway_record_found_peer (struct az_gateway *gateway, const char *address);

/** az_gateway_record_lost_peer - call when the session with another gateway ends */
void
az_gateway_record_lost_peer (struct az_gateway *gateway, const struct session *session);
void
az_gateway_expire_cancels (struct az_gateway *gateway);

/* pause.c */
bool
az_gateway_was_paused (const struct az_gateway *gateway);
void
az_gateway_record_tick (struct az_gateway *gateway);

/** az_gateway_earliest_arrival_us - returns the earliest time at which a request that is read now
 * can have arrived: during and just after a pause of the process, the time when that began */
int64_t
az_gateway_earliest_arrival_us (const struct az_gateway *gateway);

/* upstreams.c */
struct upstream *
az_gateway_get_or_add_upstream (struct az_gateway *gateway,
                                const char *instance,
                                const char *domain);
void
az_gateway_handle_upstream (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_node_upstream *update);
void
az_gateway_update_free_resources (struct upstream *upstream, const struct az_node_report *report);
void
az_gateway_reserve_resources (struct upstream *upstream,
                              const struct az_resources *need,
                              uint32_t n_tasks);

/* working_set.c */

/** az_gateway_choose_working_set - chooses the upstreams that report their free resources
 * continually */
void
az_gateway_choose_working_set (struct az_gateway *gateway);

/* health.c */

/** az_gateway_is_slow_hardware - whether the upstream has been reported as slow hardware for some
 * seconds */
bool
az_gateway_is_slow_hardware (const struct az_gateway *gateway, const struct upstream *upstream);

/** az_gateway_update_health - updates speed and ejection of the upstream from a report */
void
az_gateway_update_health (struct az_gateway *gateway,
                          struct upstream *upstream,
                          const struct az_node_report *report);

/* run_time.c */

/** az_gateway_expected_run_us - estimates the run time of a task of the step on @upstream; if
 * @upstream is NULL, on an upstream of normal speed with the preferred label */
int64_t
az_gateway_expected_run_us (const struct az_gateway *gateway,
                            const struct job *job,
                            size_t step,
                            const struct upstream *upstream);

/** az_gateway_record_run_time - updates the run time estimate of the queue from a task that was
 * done
 */
void
az_gateway_record_run_time (struct job *job,
                            const struct az_job_step *step,
                            const struct task *task,
                            const struct upstream *upstream,
                            int64_t run_us);

/* jobs.c */

/** az_gateway_end_job - answers the job and stops its tasks */
void
az_gateway_end_job (struct az_gateway *gateway,
                    struct job *job,
                    enum az_job_outcome outcome,
                    int64_t retry_after_ms,
                    const char *reason);

/** az_gateway_give_up_crashed_job - answers as failed a job under which too many upstreams crashed
 */
void
az_gateway_give_up_crashed_job (struct az_gateway *gateway, struct job *job);

/** az_gateway_release_job - frees the job if it is answered and no task is in flight */
void
az_gateway_release_job (struct az_gateway *gateway, struct job *job);
void
az_gateway_expire_jobs (struct az_gateway *gateway);

/** az_gateway_refuse_unfit_jobs - refuses the jobs that wait for their first start with a task that
 * fits no upstream; call when a capacity has shrunk */
void
az_gateway_refuse_unfit_jobs (struct az_gateway *gateway);

/* events.c */
void
az_gateway_handle_task_event (struct az_gateway *gateway,
                              struct upstream *upstream,
                              const struct az_task_event *event);
void
az_gateway_handle_crash (struct az_gateway *gateway,
                         const struct upstream *upstream,
                         const struct az_node_crash *message);

/* tasks.c */

/** az_gateway_find_task - returns NULL if the job has no such task */
struct task *
az_gateway_find_task (struct job *job, uint32_t step, uint32_t index);
bool
az_gateway_is_step_ready (const struct job *job, size_t step);

/** az_gateway_detach_task - takes a task that has ended off the counts of its upstream and its job
 */
void
az_gateway_detach_task (struct az_gateway *gateway,
                        struct job *job,
                        uint32_t step,
                        struct task *task);

void
az_gateway_requeue_task (struct az_gateway *gateway,
                         struct job *job,
                         uint32_t step,
                         struct task *task);

/** az_gateway_orphan_tasks - marks the upstream's tasks as orphaned; the session is lost */
void
az_gateway_orphan_tasks (struct az_gateway *gateway, struct upstream *upstream, const char *reason);

/** az_gateway_requeue_orphans - requeues the upstream's orphans, which are known to have ended */
void
az_gateway_requeue_orphans (struct az_gateway *gateway, const struct upstream *upstream);

/** az_gateway_expire_orphans - requeues the job's orphans whose timeout has passed */
void
az_gateway_expire_orphans (struct az_gateway *gateway, struct job *job);
void
az_gateway_stop_job_tasks (struct az_gateway *gateway, struct job *job);

/* place.c */

/** az_gateway_place_tasks - sends waiting tasks to upstreams, in the order of @jobs */
void
az_gateway_place_tasks (struct az_gateway *gateway, GPtrArray *jobs);

/** az_gateway_best_upstream - finds the upstream other than @avoid with the lowest placement cost,
 * or NULL if none has enough free resources */
struct upstream *
az_gateway_best_upstream (struct az_gateway *gateway,
                          const struct job *job,
                          size_t step,
                          uint32_t avoid);

/* queue.c */
struct queue *
az_gateway_get_or_add_queue (struct az_gateway *gateway, const struct az_route *route);
void
az_gateway_count_arrival (struct az_gateway *gateway, struct job *job);
struct az_traffic_rates
az_gateway_queue_rates (const struct az_gateway *gateway, const struct queue *queue);

/** az_gateway_order_jobs - lists the jobs with waiting tasks in the order in which to place them */
GPtrArray *
az_gateway_order_jobs (struct az_gateway *gateway);

/** az_gateway_job_work_core_s - estimates the core-seconds of the job's tasks, or only of the
 * waiting ones */
double
az_gateway_job_work_core_s (const struct az_gateway *gateway,
                            const struct job *job,
                            bool only_waiting);

/* admission.c */

/** az_gateway_refuse_excess - sheds load: refuses jobs until the others can be served in time;
 * @jobs is in placement order, and refused jobs are replaced by NULL */
void
az_gateway_refuse_excess (struct az_gateway *gateway, GPtrArray *jobs);

/* feasibility.c */

/** az_gateway_can_run_step - whether the upstream has the label and the capacity for a task */
bool
az_gateway_can_run_step (const struct az_job_step *step, const struct upstream *upstream);

/** az_gateway_check_feasibility - returns why a new job can't be served, or NULL if it can;
 * *@is_permanent receives whether the reason is permanent */
const char *
az_gateway_check_feasibility (struct az_gateway *gateway,
                              const struct job *job,
                              bool *is_permanent);

/** az_gateway_find_unfit_reason - returns why a task of the job fits no upstream, or NULL */
const char *
az_gateway_find_unfit_reason (const struct az_gateway *gateway,
                              const struct job *job,
                              bool *is_permanent);

#endif
