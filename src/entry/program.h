#ifndef AZUREROCK_ENTRY_PROGRAM_H
#define AZUREROCK_ENTRY_PROGRAM_H

#include "azurerock/entry_core.h"
#include "azurerock/http_server.h"
#include "azurerock/rpc.h"
#include "azurerock/store_client.h"
#include <uv.h>

/** struct az_entry_options - settings file and command line of the entry */
struct az_entry_options
{
  char *instance;
  char *domain;
  char *rpc_address;
  char *http_address;
  char *store_address;
  char *event_log;
};

/** struct az_entry_poll - one round of reading the store */
struct az_entry_poll
{
  uint64_t index; /* of the keys last seen; 0 before */
  uint64_t watched_index;
  struct timespec watch_sent;
  struct timespec read_sent;
  bool has_failed;
  uint64_t config_index; /* modify index of the document that the core has */
  uint64_t owners_index;
  struct az_store_value config; /* values read in this round; key is NULL if absent */
  struct az_store_value owners;
  GArray *sessions; /* of uint64_t */
  bool has_read;    /* both documents have been given to the core once */
  uv_timer_t retry;
};

/** struct az_entry_session - the lease that shows other entries that this one lives */
struct az_entry_session
{
  char *id; /* NULL without a session */
  bool is_held;
  bool is_pending; /* a call is under way */
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
  GHashTable *fetches; /* request to job id, of fetches and cancellations */
  uint32_t submitting; /* request being submitted without waiting, 0 once it is answered */
  struct az_store_client *store;
  struct az_entry_poll poll;
  struct az_entry_session session;
  uv_timer_t tick_timer;
  uv_timer_t linger_timer;
  uv_prepare_t prepare;
  uv_check_t check;
  bool is_stopping;
  bool is_closing; /* drained; the session is being given up */
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

/** az_entry_program_respond_json - takes the reference to @body */
void
az_entry_program_respond_json (struct az_entry_program *program,
                               uint32_t request,
                               int status,
                               json_t *body);

/** az_entry_program_respond_error - typed error for a request that the core never sees */
void
az_entry_program_respond_error (struct az_entry_program *program,
                                uint32_t request,
                                int status,
                                const char *id,
                                const char *code,
                                const char *message);

/** az_entry_program_respond_pending - 202 for a job without an answer yet */
void
az_entry_program_respond_pending (struct az_entry_program *program,
                                  uint32_t request,
                                  const char *id);

/** az_entry_program_jobs - requests below /v1/jobs; false if the path is none of them */
bool
az_entry_program_jobs (struct az_entry_program *program, const struct az_http_request *request);

/** az_entry_program_answer - prints an answer of the core to its caller */
void
az_entry_program_answer (void *context, uint32_t request, const struct az_answer *answer);

/** az_entry_program_open_store - reads the store from now on and keeps a session */
void
az_entry_program_open_store (struct az_entry_program *program);
void
az_entry_program_close_store (struct az_entry_program *program);
void
az_entry_program_open_session (struct az_entry_program *program);

/** az_entry_program_give_up_session - ends in az_entry_program_closed() */
void
az_entry_program_give_up_session (struct az_entry_program *program);
void
az_entry_program_closed (struct az_entry_program *program);

/** az_entry_program_write_table - effect of the core: compare-and-swap of the owner table */
void
az_entry_program_write_table (void *context, const struct az_table *table, uint64_t expected_index);

#endif
