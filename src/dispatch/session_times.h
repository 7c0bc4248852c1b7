#ifndef AZUREROCK_DISPATCH_SESSION_TIMES_H
#define AZUREROCK_DISPATCH_SESSION_TIMES_H

#include <assert.h>

/*
 * Time bounds that gateways and sidecars share. A caller resubmits a job 1,300 ms after its
 * connection broke; the tasks that its gateway started must have ended by then.
 */

/* Either side closes a session with tasks after this time without a message. A sidecar counts it
 * from the time of sending, so that a slow link doesn't keep a session open that its gateway has
 * given up, and rejects run messages that are older. */
#define AZ_SESSION_TIMEOUT_MS 450

/* Assumed largest relative drift between the monotonic clocks of a gateway and a sidecar. */
#define AZ_SESSION_CLOCK_DRIFT 0.02

/* Multiples of AZ_SESSION_TIMEOUT_MS after which a session without tasks is closed; nothing depends
 * on such a session. A dormant session is one to an upstream outside the gateway's working set; it
 * gets fewer heartbeats. */
#define AZ_IDLE_SESSION_TIMEOUT_FACTOR 4
#define AZ_DORMANT_SESSION_TIMEOUT_FACTOR 16

/* Limit of the gateways that a sidecar keeps sessions with, so that its heartbeats and reports
 * don't grow with the number of gateways, nor the control traffic with the product of the numbers
 * of sidecars and gateways. With no more gateways, each has a session with each sidecar. */
#define AZ_SIDECAR_GATEWAYS_MAX 12

/* Lease of the tasks at the upstream; it is renewed several times per lease period. */
#define AZ_TASK_LEASE_MS 700

/* Tasks of a lost session have ended after this time. The sidecar notices the loss after its
 * session timeout. If its upstream does not respond either, the tasks end with their lease, on a
 * clock that may run 2% slow, and stopping them takes 50 ms. */
#define AZ_ORPHAN_TIMEOUT_MS 1250

static_assert (AZ_ORPHAN_TIMEOUT_MS >= AZ_SESSION_TIMEOUT_MS + AZ_TASK_LEASE_MS * 100 / 98 + 50,
               "tasks of a lost session may outlive the orphan timeout");

#endif
