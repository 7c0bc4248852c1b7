#ifndef AZUREROCK_STANDIN_UPSTREAM_H
#define AZUREROCK_STANDIN_UPSTREAM_H

#include "azurerock/http_server.h"
#include <glib.h>
#include <jansson.h>

/** struct az_upstream_faults - injected faults, set by PUT /standin/faults */
struct az_upstream_faults
{
  bool fail_all;          /* tasks fail with 500 at once */
  double straggle_factor; /* multiplies the run times of tasks */
  bool hang;              /* tasks and health probes get no answer */
  bool close_connections; /* tasks are counted as started, and their connection is closed */
};

struct az_upstream_standin;

/**
 * struct az_upstream_slot - slot that runs one task at a time
 * @timer: ends the task
 * @request: handle of the HTTP request of the task, 0 while the slot is free
 * @echo: body of the answer
 */
struct az_upstream_slot
{
  struct az_upstream_standin *standin;
  uv_timer_t timer;
  uint32_t request;
  char *echo;
};

/**
 * struct az_upstream_standin - test double of an upstream that runs sleep tasks
 * @refused: tasks refused because no slot was free or the stand-in was stopping
 * @cancelled: tasks whose client closed the connection
 * @double_starts: starts of a task that had already been started
 * @untracked: starts that weren't recorded by task because @start_counts was full
 * @max_tracked_tasks: largest number of tasks in @start_counts
 * @start_counts: maps "job/task" to its number of starts
 * @drained: called when no task runs; set once the stand-in stops
 */
struct az_upstream_standin
{
  uv_loop_t *loop;
  struct az_http_server *server;
  struct az_upstream_faults faults;
  struct az_upstream_slot *slots;
  uint32_t n_slots;
  uint32_t n_running;
  uint64_t starts;
  uint64_t finished;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t double_starts;
  uint64_t untracked;
  uint64_t max_tracked_tasks;
  GHashTable *start_counts;
  void (*drained) (void *context);
  void *drained_context;
};

void
az_upstream_standin_init (struct az_upstream_standin *standin,
                          uv_loop_t *loop,
                          uint32_t slot_count,
                          uint64_t max_tracked_tasks);

/** az_upstream_standin_stop - refuses new tasks and calls @drained once no task runs */
void
az_upstream_standin_stop (struct az_upstream_standin *standin,
                          void (*drained) (void *context),
                          void *context);

/** az_upstream_standin_clear - frees the slots; call after the loop has ended */
void
az_upstream_standin_clear (struct az_upstream_standin *standin);

/* Handlers of the HTTP server; @context is the stand-in. */
void
az_upstream_standin_handle_request (void *context, const struct az_http_request *request);
void
az_upstream_standin_handle_disconnect (void *context, uint32_t handle);

/** az_upstream_standin_start_task - starts the task of @request; refuses it if no slot is free */
void
az_upstream_standin_start_task (struct az_upstream_standin *standin,
                                const struct az_http_request *request);

/** az_upstream_standin_count_start - counts the start of the task that the request headers name */
void
az_upstream_standin_count_start (struct az_upstream_standin *standin, uint32_t handle);

/** az_upstream_standin_stats - statistics as JSON; @with_tasks adds the number of starts by task */
json_t *
az_upstream_standin_stats (const struct az_upstream_standin *standin, bool with_tasks);

/** az_upstream_standin_set_faults - replaces all faults by those in the JSON @body; false if it is
 * invalid */
bool
az_upstream_standin_set_faults (struct az_upstream_standin *standin,
                                const char *body,
                                size_t length);

#endif
