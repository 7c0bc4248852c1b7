#ifndef AZUREROCK_DISPATCH_SESSION_TIMES_H
#define AZUREROCK_DISPATCH_SESSION_TIMES_H

#include <assert.h>

/*
 * Time bounds that gateways and sidecars share. Callers send a job again 1,300 ms after their
 * connection broke; what its gateway started must have ended by then.
 */

/* Silence after which either side gives up a session with tasks, and the greatest age of an order
 * that a sidecar carries out. */
#define AZ_SESSION_MS 450

/* Nothing depends on a session without tasks, so it is given up after a multiple of that time; the
 * more so one that is renewed less often, since the gateway uses other upstreams. */
#define AZ_IDLE_SESSION_FACTOR 4
#define AZ_DORMANT_SESSION_FACTOR 16

/* Lease of tasks at the upstream, renewed several times in that time. */
#define AZ_TASK_LEASE_MS 700

/* What ran in a lost session has ended after this time: the sidecar may notice the loss only after
 * its own time-out, and if its upstream is silent too, the lease, on a clock that is 2% slow, and
 * the stop (50 ms) come on top. */
#define AZ_SESSION_LOSS_MS 1250

static_assert (AZ_SESSION_LOSS_MS >= AZ_SESSION_MS + AZ_TASK_LEASE_MS * 100 / 98 + 50,
               "tasks of a lost session may run longer");

#endif
