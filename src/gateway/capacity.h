#ifndef AZUREROCK_GATEWAY_CAPACITY_H
#define AZUREROCK_GATEWAY_CAPACITY_H

#include "gateway/state.h"

/* What the jobs of a service can expect: the upstreams that take their tasks, the cores of these,
 * and what other gateways and other queues leave of them. */

/* candidates.c */

/**
 * struct az_candidates - upstreams of a pool of a service, to which tasks may be sent
 * @regular: struct upstream *
 * @probe_only: slow and ejected upstreams, which get single tasks as probes
 * @max_free: maximum of each resource that is free at one candidate; a task that needs more of a
 *   resource fits no candidate
 * @has_normal_hardware: az_speed_is_reduced() is false for one of @regular
 */
struct az_candidates
{
  const char *service;
  enum az_pool pool;
  GPtrArray *regular;
  GPtrArray *probe_only;
  struct az_resources max_free;
  bool has_normal_hardware;
};

/** az_candidates_init - lists the candidates; the list is valid until the state of an upstream
 * changes, except that its free resources may shrink */
void
az_candidates_init (struct az_candidates *candidates,
                    const struct az_gateway *gateway,
                    const char *service,
                    enum az_pool pool);

/** az_candidates_update - computes @max_free again after free resources have shrunk */
void
az_candidates_update (struct az_candidates *candidates);
void
az_candidates_clear (struct az_candidates *candidates);

/* capacity.c */

/**
 * struct az_capacity - cores of the regular candidates of a service
 * @offered_cores: work that arrives at this gateway for the service, per second
 * @own_share: this gateway's share of the demand for the service
 * @work_per_s: core-seconds at normal speed that the upstreams can do per second
 * @own_cores: cores that this gateway's tasks use
 * @peers_offered_cores: work that arrives at the other gateways, per second; 0 if it isn't known
 */
struct az_capacity
{
  double total_cores;
  double free_cores;
  double offered_cores;
  double own_share;
  double work_per_s;
  double own_cores;
  double peers_offered_cores;
};

void
az_gateway_measure_capacity (const struct az_gateway *gateway,
                             const struct az_candidates *candidates,
                             struct az_capacity *capacity);

/* demand.c: gateways tell each other how much work arrives at them, so that each knows its share of
 * the cores when there are too few for all */

/** az_gateway_record_peer_demand - call for a heartbeat of another gateway */
void
az_gateway_record_peer_demand (const struct az_gateway *gateway,
                               struct session *session,
                               const struct az_node_pulse *pulse);

/** az_gateway_stated_cpu_milli - returns the demand that a heartbeat states, in thousandths of a
 * core: to sidecars that of the waiting tasks, to other gateways the work that arrives per second,
 * weighted by the share of jobs that this gateway refuses */
uint32_t
az_gateway_stated_cpu_milli (const struct az_gateway *gateway, const struct session *session);

/**
 * az_gateway_peers_offered_cores - estimates the work that arrives at the other gateways for the
 * service and pool of which @offered_cores arrive here
 *
 * Gateways state one number for all services, so each is taken to have the same mix of them. The
 * sum of their weighted statements is divided by this gateway's own weight, since its own demand
 * isn't weighted.
 *
 * Return: core-seconds per second; 0 if too few gateways have stated their demand.
 */
double
az_gateway_peers_offered_cores (const struct az_gateway *gateway, double offered_cores);

/** az_gateway_demand_interval_ms - interval of heartbeats to other gateways */
int64_t
az_gateway_demand_interval_ms (const struct az_gateway *gateway);

/** az_gateway_wait_for_share - returns whether a job that hasn't begun has to wait because this
 * gateway uses its share of the usable cores, while hardly any task could start and all gateways
 * together ask for about as much as there is; counts and logs it if so
 * @startable_cores: free cores on which the job's tasks could start */
bool
az_gateway_wait_for_share (struct az_gateway *gateway,
                           struct job *job,
                           const struct az_capacity *capacity,
                           double startable_cores);

/** az_gateway_usable_share - returns the part of the cores that gateways can use; 1 unless they
 * have stated that they ask for about as much as there is */
double
az_gateway_usable_share (const struct az_capacity *capacity);

/** az_gateway_expected_capacity - cores on which all gateways together can count
 *
 * What arrives at gateways is work at normal speed, so where it is known, the speeds count.
 */
double
az_gateway_expected_capacity (const struct az_capacity *capacity);

/* startable.c */

/**
 * az_gateway_startable_cores - counts the free cores on which tasks of the job could start
 *
 * Free cores on upstreams where none of its tasks fits don't count.
 *
 * @unprotected_cores: free cores less those that are kept for other jobs, an upper bound of the
 *   result
 */
double
az_gateway_startable_cores (const struct az_candidates *candidates,
                            const struct job *job,
                            double unprotected_cores);

/* value.c */

/**
 * az_gateway_value_per_work - value of a job per core-second of its work
 *
 * The traffic of each queue has the same total value, whatever its rate, and a job's value is its
 * share of that traffic. Jobs of one queue have the same value per work whatever their size, so
 * that large jobs aren't refused before small ones. Priority isn't used, since it says nothing
 * about how much is lost.
 */
double
az_gateway_value_per_work (const struct az_gateway *gateway, const struct queue *queue);

/** az_gateway_protected_cores - free cores that jobs of @queue have to leave to more valuable ones
 */
double
az_gateway_protected_cores (const struct az_gateway *gateway,
                            const struct queue *queue,
                            const struct az_capacity *capacity);

/** az_gateway_more_valuable_cores - work per second that arrives at this gateway in queues of
 * higher value */
double
az_gateway_more_valuable_cores (const struct az_gateway *gateway, const struct queue *queue);

/* shares.c */

/** struct az_queue_share - cores of a pool of upstreams that the jobs of a queue can expect at this
 * gateway, and the core-seconds of its waiting tasks up to the job that is examined */
struct az_queue_share
{
  const struct queue *queue;
  double cores;
  double queued_work;
};

/**
 * az_gateway_divide_cores - divides cores among the queues of a service that run in the pool
 *
 * A queue can expect its share by weighted max-min fairness, also if it asks for less on average,
 * so that jobs that arrive together aren't refused. Cores that nobody asks for count for each
 * queue, since any of them may use them.
 *
 * Return: struct az_queue_share.
 */
GArray *
az_gateway_divide_cores (const struct az_gateway *gateway,
                         const char *service,
                         enum az_pool pool,
                         double cores);

/** az_gateway_find_share - returns NULL if the queue wasn't there when the cores were divided */
struct az_queue_share *
az_gateway_find_share (GArray *shares, const struct queue *queue);

#endif
