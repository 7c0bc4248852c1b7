#ifndef AZUREROCK_DISPATCH_NODE_LOOP_H
#define AZUREROCK_DISPATCH_NODE_LOOP_H

#include <stdbool.h>
#include <uv.h>

/** The system repeats a lost packet of a new connection only after a second, so a peer that starts
 * meanwhile is found sooner by another attempt. */
#define AZ_NODE_CONNECT_TIMEOUT_MS 120

/**
 * struct az_node_loop - turns of the event loop of a gateway or sidecar
 * @flush: before the loop waits and after it has waited: sends what the turn decided
 * @tick: at fixed intervals
 * @hangup: on SIGHUP
 */
struct az_node_loop
{
  uv_loop_t *loop;
  void (*flush) (void *context);
  void (*tick) (void *context);
  void (*hangup) (void *context);
  void *context;
  uv_timer_t timer;
  uv_prepare_t prepare;
  uv_check_t check;
  uv_signal_t signal;
};

void
az_node_loop_open (struct az_node_loop *node, uint64_t tick_ms);

/** az_node_loop_close - run the loop until the handles are gone */
void
az_node_loop_close (struct az_node_loop *node);

#endif
