#ifndef AZUREROCK_AGENT_PROGRAM_H
#define AZUREROCK_AGENT_PROGRAM_H

#include "azurerock/agent_core.h"
#include "azurerock/http_client.h"
#include "azurerock/http_server.h"
#include "azurerock/rpc.h"
#include "azurerock/store_client.h"
#include <uv.h>

/** struct az_agent_options - options from the settings file and the command line */
struct az_agent_options
{
  char *instance;
  char *upstream;
  char *domain;
  int64_t slots;
  char *upstream_address;
  int64_t connections;
  GPtrArray *seeds;
  char *store_address;
  char *http_address;
  char *event_log;
};

/**
 * struct az_agent_program - the agent process: its core, event loop and network endpoints
 * @open_connections: connections to entries
 * @is_stopping: a graceful stop has begun
 * @is_stopped: the event loop is being closed
 */
struct az_agent_program
{
  const struct az_agent_options *options;
  uv_loop_t *loop;
  struct az_agent_core *core;
  struct az_counters *counters;
  struct az_event_log *events;
  GRand *random;
  struct az_rpc *rpc;
  struct az_http_client *upstream;
  GHashTable *runs; /* task handle to struct az_agent_run */
  struct az_http_client *probe;
  bool is_probing;
  bool is_healthy;
  uv_timer_t probe_timer;
  struct az_store_client *store;
  bool is_reading_store;
  unsigned open_connections;
  uv_timer_t roster_timer;
  struct az_http_server *http;
  uv_timer_t tick_timer;
  uv_prepare_t prepare;
  uv_check_t check;
  bool is_stopping;
  bool is_stopped;
};

/** az_agent_program_run - runs the agent until it has stopped; returns the exit code */
int
az_agent_program_run (const struct az_agent_options *options);

/** az_agent_program_open_rpc - creates the RPC endpoint for connections to entries */
void
az_agent_program_open_rpc (struct az_agent_program *program);

/* Callbacks of struct az_agent_io for entries. */
void
az_agent_program_send (void *context, uint32_t connection, const struct az_message *message);
void
az_agent_program_connect (void *context, const char *rpc_address);
void
az_agent_program_close (void *context, uint32_t connection);

/* Callbacks of struct az_agent_io for the upstream. */
void
az_agent_program_start_task (void *context, const struct az_agent_task *task);
void
az_agent_program_cancel_task (void *context, uint32_t task_handle);

/** az_agent_program_open_upstream - creates the HTTP client that sends tasks to the upstream */
void
az_agent_program_open_upstream (struct az_agent_program *program);
void
az_agent_program_close_upstream (struct az_agent_program *program);

/** az_agent_program_open_probe - starts the periodic health probe of the upstream */
void
az_agent_program_open_probe (struct az_agent_program *program);
void
az_agent_program_close_probe (struct az_agent_program *program);

/** az_agent_program_probe_now - probes the upstream at once, after a request to it has failed */
void
az_agent_program_probe_now (struct az_agent_program *program);

/** az_agent_program_open_roster - adds the seeds to the core and, while no entry is connected, the
 * entries listed in the store */
void
az_agent_program_open_roster (struct az_agent_program *program);
void
az_agent_program_close_roster (struct az_agent_program *program);

/** az_agent_program_open_http - listens for /metrics and /healthz if an address is configured */
bool
az_agent_program_open_http (struct az_agent_program *program, GError **error);

#endif
