#ifndef AZUREROCK_ENTRY_PROGRAM_H
#define AZUREROCK_ENTRY_PROGRAM_H

#include "azurerock/entry_core.h"
#include "azurerock/http_limits.h"
#include "azurerock/http_server.h"
#include "azurerock/rpc.h"
#include "azurerock/store_client.h"
#include <uv.h>

/** struct az_entry_options - values of the settings file and the command line */
struct az_entry_options
{
  char *instance;
  char *domain;
  char *rpc_address;
  char *rpc_listen_address; /* NULL to listen on rpc_address */
  char *http_address;
  char *store_address;
  char *event_log;
  struct az_http_limit_options limits;
};

/** struct az_entry_poll - state of the long poll of the store and of the reads after it */
struct az_entry_poll
{
  uint64_t index; /* index of the store at the last complete read, 0 before the first one */
  uint64_t watched_index;
  struct timespec watch_sent;
  struct timespec read_sent;
  bool has_failed;
  uint64_t config_index; /* modify index of the configuration last passed to the core */
  uint64_t owners_index;
  struct az_store_value config; /* document as last read; its key is NULL if it is absent */
  struct az_store_value owners;
  GArray *sessions;          /* uint64_t incarnations */
  bool has_passed_documents; /* both documents have been passed to the core once */
  uv_timer_t retry;
};

/** struct az_entry_session - store session that shows other entries that this one is alive */
struct az_entry_session
{
  char *id; /* NULL without a session */
  bool is_held;
  bool is_pending; /* a call to the store is in progress */
  uv_timer_t renew;
};

/** struct az_entry_program - the entry core and its event loop */
struct az_entry_program
{
  const struct az_entry_options *options;
  uint64_t incarnation;
  uv_loop_t *loop;
  struct az_entry_core *core;
  struct az_counters *counters;
  struct az_event_log *events;
  GRand *random;
  struct az_rpc *rpc;
  struct az_http_server *http;
  GHashTable *job_ids;     /* request -> job id, for fetches and cancellations */
  uint32_t submit_request; /* request of the current submission, 0 once it is answered */
  struct az_store_client *store;
  struct az_entry_poll poll;
  struct az_entry_session session;
  uv_timer_t tick_timer;
  uv_timer_t linger_timer;
  uv_prepare_t prepare;
  uv_check_t check;
  bool is_stopping;
  bool is_closing; /* drained; the session is being destroyed */
  bool is_stopped;
};

/** az_entry_program_run - runs the entry until it is stopped; returns an exit code */
int
az_entry_program_run (const struct az_entry_options *options);

bool
az_entry_program_open_rpc (struct az_entry_program *program, GError **error);
void
az_entry_program_send (void *context, uint32_t connection, const struct az_message *message);
void
az_entry_program_connect (void *context, const char *rpc_address);

bool
az_entry_program_open_http (struct az_entry_program *program, GError **error);
void
az_entry_program_close_http (struct az_entry_program *program);

/** az_entry_program_respond_json - responds with @body and takes the reference to it */
void
az_entry_program_respond_json (struct az_entry_program *program,
                               uint32_t request,
                               int status,
                               json_t *body);

/** az_entry_program_respond_error - responds with an error to a request that is not passed to the
 * core */
void
az_entry_program_respond_error (struct az_entry_program *program,
                                uint32_t request,
                                int status,
                                const char *id,
                                const char *code,
                                const char *message);

/** az_entry_program_respond_pending - responds with 202 for a job that has no answer yet */
void
az_entry_program_respond_pending (struct az_entry_program *program,
                                  uint32_t request,
                                  const char *id);

/** az_entry_program_handle_jobs - handles a request to /v1/jobs; false if it is not one */
bool
az_entry_program_handle_jobs (struct az_entry_program *program,
                              const struct az_http_request *request);

/** az_entry_program_answer - responds to a caller with an answer of the core */
void
az_entry_program_answer (void *context, uint32_t request, const struct az_answer *answer);

/** az_entry_program_open_store - starts to poll the store and to hold a session in it */
void
az_entry_program_open_store (struct az_entry_program *program);
void
az_entry_program_close_store (struct az_entry_program *program);
void
az_entry_program_open_session (struct az_entry_program *program);

/** az_entry_program_destroy_session - destroys the store session, if there is one, and then calls
 * az_entry_program_session_destroyed() */
void
az_entry_program_destroy_session (struct az_entry_program *program);
void
az_entry_program_session_destroyed (struct az_entry_program *program);

/** az_entry_program_write_table - writes the owner table by compare-and-swap; implements
 * az_entry_io.write_table */
void
az_entry_program_write_table (void *context, const struct az_table *table, uint64_t expected_index);

#endif
