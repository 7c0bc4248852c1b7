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
 * Decisions of the process that takes jobs from callers: which job goes first, which is refused,
 * on which upstream instance a task runs, what happens after a failure. A job lives in the gateway
 * that took it; a sidecar ends its tasks when the gateway's session ends.
 */
struct az_gateway;

struct az_gateway_settings
{
  const char *instance;
  const char *domain;
  const char *address;          /* where peers and sidecars connect */
  int64_t session_timeout_ms;   /* a peer silent for longer loses its session */
  int64_t orphan_timeout_ms;    /* after that time what ran in a lost session has ended */
  int64_t cross_domain_cost_ms; /* what an upstream in another domain costs in the choice */
  double remote_factor;         /* run time of a task away from the label that it prefers */
};

enum az_job_outcome
{
  AZ_JOB_COMPLETED,
  AZ_JOB_FAILED,     /* a task has failed for good, or the job can never run */
  AZ_JOB_NOT_RUN,    /* no task has started, none will */
  AZ_JOB_UNFINISHED, /* given up after a task had, or may have, started; all of it is stopped */
};

/** struct az_job_answer - @retry_after_ms tells callers of jobs that were not run when to return */
struct az_job_answer
{
  enum az_job_outcome outcome;
  int64_t retry_after_ms;
  const char *reason;
};

/** struct az_gateway_io - effects; none calls back into the core before it returns */
struct az_gateway_io
{
  void (*send) (void *context, uint32_t session, const struct az_message *message);
  void (*close) (void *context, uint32_t session, const char *reason);
  void (*connect) (void *context, const char *address);
  void (*answer) (void *context, uint32_t caller, const struct az_job_answer *answer);
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
 * az_gateway_set_catalog - a configuration was read
 * @catalog: taken over
 * @text: as the store holds it, relayed to peers
 *
 * Return: whether it is newer than the present one; an older one is dropped.
 */
bool
az_gateway_set_catalog (struct az_gateway *gateway,
                        struct az_catalog *catalog,
                        uint64_t revision,
                        const char *text,
                        size_t length);

/** az_gateway_catalog - the present configuration, or NULL */
const struct az_catalog *
az_gateway_catalog (const struct az_gateway *gateway);

/** az_gateway_can_place - whether the configuration is known and an upstream takes tasks */
bool
az_gateway_can_place (const struct az_gateway *gateway);

/** az_gateway_set_withdrawn - all withdrawn domains, as the store held them @age_ms ago */
void
az_gateway_set_withdrawn (struct az_gateway *gateway,
                          uint64_t revision,
                          int64_t age_ms,
                          const char *const *domains,
                          size_t n_domains);

/** az_gateway_set_store_reachable - while it isn't, updates are requested from peers */
void
az_gateway_set_store_reachable (struct az_gateway *gateway, bool is_reachable);

/** az_gateway_add_member - another gateway's address was learned from settings or the store */
void
az_gateway_add_member (struct az_gateway *gateway, const char *address);

void
az_gateway_session_opened (struct az_gateway *gateway, uint32_t session, const char *outgoing);
void
az_gateway_session_closed (struct az_gateway *gateway, uint32_t session, const char *reason);

/** az_gateway_refused - an attempt to connect to @address has failed */
void
az_gateway_connect_failed (struct az_gateway *gateway, const char *address);
void
az_gateway_received (struct az_gateway *gateway,
                     uint32_t session,
                     const struct az_message *message);

/**
 * az_gateway_submit - takes a job, or answers it at once
 * @caller: passed to az_gateway_io.answer, once
 * @request: taken over and cleared
 * @wait_ms: how long the caller waits
 */
void
az_gateway_submit (struct az_gateway *gateway,
                   uint32_t caller,
                   const struct az_route *route,
                   const char *id,
                   struct az_job_request *request,
                   int64_t wait_ms);

/** az_gateway_caller_gone - nobody waits for the answer any more */
void
az_gateway_caller_disconnected (struct az_gateway *gateway, uint32_t caller);

/** az_gateway_cancel - ends the job; whether it was known */
bool
az_gateway_cancel (struct az_gateway *gateway, const char *id);

/** az_gateway_pending - jobs of the route of which no task has started */
size_t
az_gateway_n_pending (const struct az_gateway *gateway, const char *route);
size_t
az_gateway_n_jobs (const struct az_gateway *gateway);

/** az_gateway_stop - from now on only jobs are taken that are expected to end within @left_ms */
void
az_gateway_stop (struct az_gateway *gateway, int64_t left_ms);

/** az_gateway_abandon - gives up all jobs; for the end of the time that a stop may take */
void
az_gateway_abandon_jobs (struct az_gateway *gateway);

/** az_gateway_tick - expires sessions and deadlines; call every 20 ms */
void
az_gateway_tick (struct az_gateway *gateway);

/** az_gateway_flush - places waiting tasks; call at the end of each turn of the loop */
void
az_gateway_flush (struct az_gateway *gateway);

#endif
