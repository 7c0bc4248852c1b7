#ifndef AZUREROCK_GATEWAY_BOARD_H
#define AZUREROCK_GATEWAY_BOARD_H

#include "azurerock/ejector.h"
#include "azurerock/gateway.h"
#include "azurerock/histogram.h"
#include "azurerock/resources.h"
#include "azurerock/table.h"
#include "dispatch/time_us.h"
#include <glib.h>

/** struct session - connection to a sidecar or to another gateway */
struct session
{
  uint32_t handle;
  char *address; /* that we connected to, or NULL */
  char *instance;
  char *peer_address; /* of a gateway, from its hello */
  uint32_t upstream;  /* of a sidecar */
  int64_t last_received_us;
  int64_t first_task_sent_us; /* when it got tasks after having had none */
  int64_t last_heartbeat_us;
  int64_t withdrawn_sent_us;      /* when the withdrawn domains were last sent */
  int64_t peer_clock_ms;          /* of a sidecar, from its last report */
  int64_t peer_clock_received_us; /* when that report was received */
};

/** struct sent_room - room that a run message takes until a report has counted it */
struct reservation
{
  uint32_t run_number;
  struct az_resources amount;
};

/** struct upstream - one upstream instance, known by the instance name of its sidecar */
struct upstream
{
  uint32_t handle;
  char *instance;
  char *domain;
  uint32_t session; /* 0 while there is none */
  uint64_t life;
  bool is_open;
  char *service;
  GPtrArray *labels;
  struct az_resources capacity;
  struct az_resources reported_free; /* free as last reported */
  struct az_resources free;          /* less what was sent since */
  GArray *reservations;              /* struct sent_room */
  uint32_t n_runs_sent;              /* run messages in this session */
  uint32_t n_tasks;
  bool in_working_set;      /* in the set whose room this gateway keeps up with */
  int64_t last_assigned_us; /* when a task was last sent there */
  uint32_t used_cpu_milli;  /* by this gateway's tasks */
  double speed;             /* 1: as fast as tasks of their estimate usually are */
  bool has_baseline_counts; /* the first report of a life, which includes earlier ends, was seen */
  uint32_t n_done;          /* of all gateways' tasks, as last reported */
  uint32_t n_failed;
  uint32_t n_probes; /* since it was last in full use */
  int64_t last_probed_us;
};

enum task_state
{
  TASK_WAITING,
  TASK_SENT,
  TASK_ORPHANED, /* its session is lost; may run until @gone_us */
  TASK_DONE,
};

struct task
{
  enum task_state state;
  uint32_t upstream; /* handle; of the present or last run */
  uint32_t attempt;
  uint32_t n_failed;
  uint32_t n_moved;
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

/**
 * struct job - one job of a caller
 * @run_us: expected time of its longest chain of tasks
 * @objective_us: an answer until then is in time
 * @n_started: tasks that run, have run or may have; those that upstreams refused don't count
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
  uint32_t n_in_flight; /* sent or unsettled */
  uint32_t n_done;
  uint32_t n_started;
  bool was_placed;  /* an order to start one of its tasks has left */
  bool is_answered; /* answered; waits for its last tasks */
};

/** struct queue - what was learned of the jobs of one route */
struct queue
{
  char *name;
  char *service;
  double run_time_ratio;     /* run time of a task / its estimate */
  double arrival_rate_per_s; /* arrivals per second, smoothed */
  double mean_work_core_s;   /* core-seconds of a job */
  double served_share;       /* share of recent jobs that were not refused */
  int64_t last_arrival_us;   /* of the last job */
};

struct withdrawals
{
  uint64_t revision;
  int64_t confirmed_us; /* when it was current; 0: never */
  GPtrArray *domains;
};

struct az_gateway
{
  struct az_gateway_settings settings;
  uint64_t incarnation;
  const struct az_clock *clock;
  struct az_gateway_io io;
  struct az_counters *counters;
  int64_t now_us;
  GHashTable *sessions; /* handle -> struct session * */
  GPtrArray *upstreams; /* struct upstream *; handle - 1 is the index */
  GHashTable *members;  /* address -> time of the next attempt to connect, int64_t * */
  GHashTable *jobs;     /* number -> struct job * */
  GHashTable *job_ids;  /* id -> struct job *, those that aren't ending */
  GHashTable *callers;  /* caller -> struct job * */
  GHashTable *queues;   /* route name -> struct queue * */
  struct az_ejector *ejector;
  struct az_catalog *catalog;
  uint64_t catalog_revision;
  GBytes *catalog_text;
  struct withdrawals withdrawals;
  int64_t stop_us; /* when the process stops serving; 0 unless it is stopping */
  uint64_t last_job_number;
  uint32_t queued_cpu_milli;
  bool is_store_reachable;
  int64_t updates_requested_us;  /* when updates were last requested from peers */
  guint next_peer;               /* index of the next one to ask */
  int64_t working_set_chosen_us; /* when the wanted upstreams were last chosen */
  int64_t last_open_us;          /* when an upstream was last seen open, at first the start */
  int64_t last_tick_us;
  bool needs_placing;
  bool is_resuming; /* after a pause; what has arrived meanwhile is read before tasks are placed */
  uint32_t c_jobs;
  uint32_t c_completed;
  uint32_t c_failed;
  uint32_t c_refused;
  uint32_t c_unfinished;
  uint32_t c_expired;
  uint32_t c_given_up;
  uint32_t c_retried;
  uint32_t c_moved;
  uint32_t c_examined;
  struct az_histogram response_ms; /* of completed jobs */
};

/* lookup.c: rows by their handles, NULL if there is none */
struct session *
az_gateway_get_session (const struct az_gateway *gateway, uint32_t handle);
struct upstream *
az_gateway_get_upstream (const struct az_gateway *gateway, uint32_t handle);

/* sessions.c */
void
az_gateway_expire_sessions (struct az_gateway *gateway);
void
az_gateway_send_heartbeats (struct az_gateway *gateway);

/* members.c */
void
az_gateway_connect_members (struct az_gateway *gateway);
void
az_gateway_send_members (struct az_gateway *gateway, uint32_t session);

/** az_gateway_send_member - one address that was just learned */
void
az_gateway_send_member (struct az_gateway *gateway, uint32_t session, const char *address);

/* evidence.c */

/** az_gateway_request_updates - while the store isn't reachable, requests its contents from peers
 */
void
az_gateway_request_updates (struct az_gateway *gateway);
void
az_gateway_send_updates (struct az_gateway *gateway,
                         struct session *session,
                         const struct az_node_pulse *pulse);
void
az_gateway_relay_withdrawn (struct az_gateway *gateway);

/** az_gateway_send_withdrawn - the withdrawn domains, if they are known */
void
az_gateway_send_withdrawn (struct az_gateway *gateway, struct session *session);
bool
az_gateway_is_withdrawn (const struct az_gateway *gateway, const char *domain);

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

/** az_gateway_choose_working_set - the upstreams whose room is worth the messages */
void
az_gateway_choose_working_set (struct az_gateway *gateway);

/* health.c */

/** az_gateway_update_health - applies the speed and the
 * failures */
void
az_gateway_update_health (struct az_gateway *gateway,
                          struct upstream *upstream,
                          const struct az_node_report *report);

/* run_time.c */

/** az_gateway_expected_us - run time of a task of the step on @upstream (NULL: a usual one) */
int64_t
az_gateway_expected_run_us (const struct az_gateway *gateway,
                            const struct job *job,
                            size_t step,
                            const struct upstream *upstream);

/** az_gateway_learn_run - a task took @run_us: learns how far its queue's estimates are off */
void
az_gateway_record_run_time (struct job *job,
                            const struct az_job_step *step,
                            const struct upstream *upstream,
                            int64_t run_us);

/* jobs.c */
void
az_gateway_end_job (struct az_gateway *gateway,
                    struct job *job,
                    enum az_job_outcome outcome,
                    int64_t retry_after_ms,
                    const char *reason);

/** az_gateway_release_job - frees an ending job without live tasks */
void
az_gateway_release_job (struct az_gateway *gateway, struct job *job);
void
az_gateway_expire_jobs (struct az_gateway *gateway);

/* events.c */
void
az_gateway_handle_task_event (struct az_gateway *gateway,
                              struct upstream *upstream,
                              const struct az_task_event *event);

/* tasks.c */
bool
az_gateway_is_step_ready (const struct job *job, size_t step);

/** az_gateway_detach_task - takes a task off its upstream */
void
az_gateway_detach_task (struct az_gateway *gateway,
                        struct job *job,
                        uint32_t step,
                        struct task *task);

/** az_gateway_requeue_task - the task waits to be placed again */
void
az_gateway_requeue_task (struct az_gateway *gateway,
                         struct job *job,
                         uint32_t step,
                         struct task *task);
void
az_gateway_orphan_tasks (struct az_gateway *gateway, struct upstream *upstream, const char *reason);
void
az_gateway_requeue_orphans (struct az_gateway *gateway, const struct upstream *upstream);
void
az_gateway_expire_orphans (struct az_gateway *gateway, struct job *job);
void
az_gateway_stop_job_tasks (struct az_gateway *gateway, struct job *job);

/* progress.c */
void
az_gateway_handle_progress (struct az_gateway *gateway,
                            struct upstream *upstream,
                            const struct az_task_progress *progress);

/* candidates.c */

/**
 * struct az_candidates - upstreams of a service to which tasks may be sent
 * @regular: struct upstream *
 * @probed: slow and ejected ones, which get single tasks
 * @most_free: no candidate has more of any resource; jobs that need more aren't looked at closer
 */
struct az_candidates
{
  const char *service;
  GPtrArray *regular;
  GPtrArray *probe_only;
  struct az_resources max_free;
};

/** az_candidates_init - valid until the state of an upstream changes; its room may shrink */
void
az_candidates_init (struct az_candidates *candidates,
                    const struct az_gateway *gateway,
                    const char *service);

/** az_candidates_update - after the room has shrunk */
void
az_candidates_update (struct az_candidates *candidates);
void
az_candidates_clear (struct az_candidates *candidates);

/* place.c */

/** az_gateway_place - sends waiting tasks to upstreams, in the order of @jobs */
void
az_gateway_place_tasks (struct az_gateway *gateway, GPtrArray *jobs);

/** az_gateway_best_upstream - where a task would end soonest, or NULL if no room is left */
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
void
az_gateway_count_outcome (struct queue *queue, bool is_refused);

/** az_gateway_order - the jobs with waiting tasks, in the order in which they are to start */
GPtrArray *
az_gateway_order_jobs (struct az_gateway *gateway);

/** az_gateway_job_work - core-seconds of the tasks of a job that wait */
double
az_gateway_job_work_core_s (const struct az_gateway *gateway,
                            const struct job *job,
                            bool only_waiting);

/* admission.c */

/** az_gateway_refuse_excess - refuses those of the ordered jobs that can't be served in time */
void
az_gateway_refuse_excess (struct az_gateway *gateway, GPtrArray *jobs);

/* servable.c */

/** az_gateway_unservable - why a new job can't be served at all, or NULL; *@is_permanent tells
 * that it never can */
const char *
az_gateway_check_servable (struct az_gateway *gateway, const struct job *job, bool *is_permanent);

#endif
