#ifndef AZUREROCK_DISPATCH_EVENT_LOOP_H
#define AZUREROCK_DISPATCH_EVENT_LOOP_H

#include "dispatch/settings_watch.h"
#include <uv.h>

/** The kernel retransmits a lost SYN only after one second. A shorter timeout with a new attempt
 * reaches a peer that starts in the meantime sooner. */
#define AZ_NODE_CONNECT_TIMEOUT_MS 120

/**
 * struct az_event_loop - callbacks from the event loop of a gateway or sidecar
 * @flush: called before and after each poll; sends the messages of this loop iteration
 * @tick: called at a fixed interval
 * @settings: checked on SIGHUP and before a tick if a check is due; opened and closed by the caller
 */
struct az_event_loop
{
  uv_loop_t *loop;
  void (*flush) (void *context);
  void (*tick) (void *context);
  void *context;
  struct az_settings_watch *settings;
  uv_timer_t timer;
  uv_prepare_t prepare;
  uv_check_t check;
  uv_signal_t signal;
};

void
az_event_loop_open (struct az_event_loop *event_loop, uint64_t tick_ms);

/** az_event_loop_close - starts to close the handles; the caller runs the loop until they are
 * closed */
void
az_event_loop_close (struct az_event_loop *event_loop);

#endif
