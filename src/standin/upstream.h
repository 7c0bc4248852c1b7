#ifndef AZUREROCK_STANDIN_UPSTREAM_H
#define AZUREROCK_STANDIN_UPSTREAM_H

#include "azurerock/http_server.h"
#include <glib.h>
#include <jansson.h>

/** struct az_upstream_faults - set by PUT /standin/faults */
struct az_upstream_faults
{
  bool fail_all;          /* tasks are answered 500 at once */
  double straggle_factor; /* run times are multiplied by it */
  bool hang;              /* tasks and health probes are never answered */
  bool close_connections; /* tasks start, and their connection is closed without an answer */
};

struct az_upstream_standin;

/**
 * struct az_upstream_run - one slot with a running task
 * @request: handle of its HTTP request, 0 while the slot is free
 */
struct az_upstream_run
{
  struct az_upstream_standin *standin;
  uv_timer_t timer;
  uint32_t request;
  char *echo;
};

struct az_upstream_standin
{
  uv_loop_t *loop;
  struct az_http_server *server;
  struct az_upstream_faults faults;
  struct az_upstream_run *runs;
  uint32_t n_slots;
  uint32_t n_running;
  uint64_t starts;
  uint64_t finished;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t double_starts;
  uint64_t untracked;
  uint64_t max_tracked;
  GHashTable *tasks; /* "job/task" to its number of starts */
  void (*drained) (void *context);
  void *drained_context;
};

void
az_upstream_standin_init (struct az_upstream_standin *standin,
                          uv_loop_t *loop,
                          uint32_t slots,
                          uint64_t max_tracked);

/** az_upstream_standin_stop - takes no new tasks and calls @drained once none runs */
void
az_upstream_standin_stop (struct az_upstream_standin *standin,
                          void (*drained) (void *context),
                          void *context);

/** az_upstream_standin_clear - after the loop has ended */
void
az_upstream_standin_clear (struct az_upstream_standin *standin);

/* Handlers of the HTTP server; @context is the stand-in. */
void
az_upstream_standin_request (void *context, const struct az_http_request *request);
void
az_upstream_standin_gone (void *context, uint32_t handle);

/** az_upstream_standin_run - starts a task or refuses it */
void
az_upstream_standin_run (struct az_upstream_standin *standin,
                         const struct az_http_request *request);

/** az_upstream_standin_count_start - for the statistics */
void
az_upstream_standin_count_start (struct az_upstream_standin *standin, uint32_t handle);

/** az_upstream_standin_stats - @with_tasks: also the starts of each task */
json_t *
az_upstream_standin_stats (const struct az_upstream_standin *standin, bool with_tasks);

/** az_upstream_standin_set_faults - false if @body isn't valid */
bool
az_upstream_standin_set_faults (struct az_upstream_standin *standin,
                                const char *body,
                                size_t length);

#endif
