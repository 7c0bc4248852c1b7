#ifndef AZUREROCK_GATEWAY_H
#define AZUREROCK_GATEWAY_H

#include "azurerock/catalog.h"
#include "azurerock/clock.h"
#include "azurerock/counters.h"
#include "azurerock/job_request.h"
#include "azurerock/message.h"
#include <stdbool.h>
#include <stdint.h>

/*
 * Core of the gateway, without I/O. It orders and refuses jobs, chooses the upstream instance for
 * each task and retries failed tasks. Tasks are sent to the sidecar of the instance, over a
 * connection that is called a session. A job exists only in the gateway that accepted it; when a
 * session ends, the sidecar ends the tasks that it started for the gateway.
 */
struct az_gateway;

/**
 * struct az_gateway_settings - settings of the core
 * @address: address to which peers and sidecars connect
 * @session_timeout_ms: a session with tasks is closed after this time without a message
 * @orphan_timeout_ms: after this time the tasks of a lost session are taken to have ended
 * @cross_domain_cost_ms: placement cost of an upstream in another failure domain
 * @apply_ms: a configuration has to be in force within this time from its publication
 * @remote_factor: factor by which a task takes longer on an upstream without its preferred label
 * @share_demand: gateways tell each other their demand, and when cores are short each of them uses
 *   no more than its share
 * @fair_queue_shares: when cores are short, the queues of a service get shares by max-min fairness;
 *   otherwise the jobs of the queues that ask for most are refused first
 * @priority_discount: a queue of priority p has the weight 1 / (1 + p x @priority_discount), so 0
 *   gives all queues equal shares
 * @tail_aware_moves: whether a task is moved only if it is expected to end sooner as a result, in
 *   view of how often tasks of its queue are long in themselves
 * @relative_slowness: tasks on slow hardware are compared with its usual speed, and jobs that would
 * be late there are left to other hardware; only with @tail_aware_moves
 * @separate_queues: queues whose tasks slow each other down run on different upstreams where there
 *   is room
 */
struct az_gateway_settings
{
  const char *instance;
  const char *domain;
  const char *address;
  int64_t session_timeout_ms;
  int64_t orphan_timeout_ms;
  int64_t cross_domain_cost_ms;
  int64_t apply_ms;
  double remote_factor;
  bool share_demand;
  bool fair_queue_shares;
  double priority_discount;
  bool tail_aware_moves;
  bool relative_slowness;
  bool separate_queues;
};

enum az_job_outcome
{
  AZ_JOB_COMPLETED,
  AZ_JOB_FAILED,     /* a task has reached its failure limit, or the job can never run */
  AZ_JOB_NOT_RUN,    /* no task has started, and none will */
  AZ_JOB_UNFINISHED, /* stopped after a task has, or may have, started */
};

/** struct az_job_answer - @retry_after_ms tells the caller of a job that wasn't run when to retry
 */
struct az_job_answer
{
  enum az_job_outcome outcome;
  int64_t retry_after_ms;
  const char *reason;
};

enum az_cancel_outcome
{
  AZ_CANCEL_DONE,
  AZ_CANCEL_NO_JOB,  /* no gateway holds the job */
  AZ_CANCEL_UNKNOWN, /* a gateway that didn't answer may hold it */
};

/** struct az_gateway_io - output of the core; no callback may call into the core */
struct az_gateway_io
{
  void (*send) (void *context, uint32_t session, const struct az_message *message);
  void (*close) (void *context, uint32_t session, const char *reason);
  void (*connect) (void *context, const char *address);
  void (*answer) (void *context, uint32_t caller, const struct az_job_answer *answer);
  void (*cancelled) (void *context, uint32_t caller, enum az_cancel_outcome outcome);
  void *context;
};

struct az_gateway *
az_gateway_create (const struct az_gateway_settings *settings,
                   uint64_t incarnation,
                   const struct az_clock *clock,
                   const struct az_gateway_io *io,
                   struct az_counters *counters);
void
az_gateway_destroy (struct az_gateway *gateway);

/**
 * struct az_catalog_origin - where a configuration comes from
 * @session: the session over which it was relayed; 0 if it was read from the store
 * @revision: revision in the store
 * @text: as stored, @length bytes; it is relayed to peers
 */
struct az_catalog_origin
{
  uint32_t session;
  uint64_t revision;
  const char *text;
  size_t length;
};

/**
 * az_gateway_set_catalog - installs a configuration if it is newer than the present one
 * @catalog: the gateway takes ownership, also if it doesn't install it
 *
 * Return: whether it was installed
 */
bool
az_gateway_set_catalog (struct az_gateway *gateway,
                        struct az_catalog *catalog,
                        const struct az_catalog_origin *origin);

/** az_gateway_confirm_catalog - configuration @version was the newest one @age_ms ago; ignored if
 * the gateway has an older one */
void
az_gateway_confirm_catalog (struct az_gateway *gateway, uint64_t version, int64_t age_ms);

/** az_gateway_catalog_age_ms - returns how long ago the present configuration was last known to be
 * the newest, or -1 if it never was */
int64_t
az_gateway_catalog_age_ms (const struct az_gateway *gateway);

/** az_gateway_catalog - returns the present configuration, or NULL */
const struct az_catalog *
az_gateway_catalog (const struct az_gateway *gateway);

/** az_gateway_catalog_version - returns the version of the present configuration, 0 without one */
uint64_t
az_gateway_catalog_version (const struct az_gateway *gateway);

/** az_gateway_is_catalog_outdated - whether a newer configuration may have been published whose
 * time to come into force has passed, so that a missing route proves nothing */
bool
az_gateway_is_catalog_outdated (const struct az_gateway *gateway);

/** az_gateway_can_place - whether the configuration is known and an upstream accepts tasks */
bool
az_gateway_can_place (const struct az_gateway *gateway);

/** az_gateway_set_withdrawn - replaces the list of withdrawn domains, the failure domains that
 * operators have taken out of use, by the one that was current @age_ms ago; a list with a lower
 * revision is ignored */
void
az_gateway_set_withdrawn (struct az_gateway *gateway,
                          uint64_t revision,
                          int64_t age_ms,
                          const char *const *domains,
                          size_t n_domains);

/** az_gateway_set_store_reachable - while the store isn't reachable, the gateway requests updates
 * from peers */
void
az_gateway_set_store_reachable (struct az_gateway *gateway, bool is_reachable);

/** az_gateway_add_member - adds the address of another gateway, and connects to it; one to which no
 * connection can be made is ignored */
void
az_gateway_add_member (struct az_gateway *gateway, const char *address);

/** az_gateway_session_opened - @outgoing is the address that was connected to, NULL for an incoming
 * connection */
void
az_gateway_session_opened (struct az_gateway *gateway, uint32_t session, const char *outgoing);
void
az_gateway_session_closed (struct az_gateway *gateway, uint32_t session, const char *reason);

/** az_gateway_connect_failed - schedules another attempt to connect to @address */
void
az_gateway_connect_failed (struct az_gateway *gateway, const char *address);
void
az_gateway_received (struct az_gateway *gateway,
                     uint32_t session,
                     const struct az_message *message);

/**
 * az_gateway_submit - accepts a job, or answers it at once
 * @caller: passed to az_gateway_io.answer exactly once, unless it disconnects before
 * @id: a job with this id that isn't answered yet gets @caller as another caller
 * @request: moved into the job and cleared
 * @wait_ms: time after which the caller gives up, 0 if unknown
 */
void
az_gateway_submit (struct az_gateway *gateway,
                   uint32_t caller,
                   const struct az_route *route,
                   const char *id,
                   struct az_job_request *request,
                   int64_t wait_ms);

/** az_gateway_caller_disconnected - stops the job unless it has other callers */
void
az_gateway_caller_disconnected (struct az_gateway *gateway, uint32_t caller);

/** az_gateway_cancel - stops the job with this id, here or at another gateway; answered to @caller
 * through struct az_gateway_io */
void
az_gateway_cancel (struct az_gateway *gateway, uint32_t caller, const char *id);

/** az_gateway_n_pending - counts the jobs of the route of which no task has started */
size_t
az_gateway_n_pending (const struct az_gateway *gateway, const char *route);
size_t
az_gateway_n_jobs (const struct az_gateway *gateway);

/** az_gateway_stop - from now on refuses jobs that aren't expected to end within @left_ms */
void
az_gateway_stop (struct az_gateway *gateway, int64_t left_ms);

/** az_gateway_abandon_jobs - stops and answers all jobs; for use just before the process ends */
void
az_gateway_abandon_jobs (struct az_gateway *gateway);

/** az_gateway_tick - expires sessions and deadlines; call every 20 ms */
void
az_gateway_tick (struct az_gateway *gateway);

/** az_gateway_flush - places waiting tasks; call at the end of each event loop iteration */
void
az_gateway_flush (struct az_gateway *gateway);

#endif
