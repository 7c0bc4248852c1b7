#ifndef AZUREROCK_GATEWAY_PROGRAM_H
#define AZUREROCK_GATEWAY_PROGRAM_H

#include "azurerock/counters.h"
#include "azurerock/gateway.h"
#include "azurerock/http_limits.h"
#include "azurerock/http_server.h"
#include "azurerock/rpc.h"
#include "dispatch/event_loop.h"
#include "dispatch/metadata_client.h"
#include "dispatch/settings_watch.h"
#include <glib.h>

/** struct az_gateway_options - values of the settings file, in its units */
struct az_gateway_options
{
  char *instance;
  char *domain;
  char *jobs_address;
  char *ready_address;
  char *metrics_address;
  char *peer_address;
  char *advertised_address;
  char *store_address;
  GPtrArray *seeds;
  int64_t seed_port;
  double grace_s;
  int64_t configuration_apply_ms;
  double remote_factor;
  bool tail_aware_moves;
  bool relative_slowness;
  bool separate_queues;
  int64_t body_max;
  bool share_demand;
  bool fair_queue_shares;
  double priority_discount;
  struct az_http_limit_options limits;
};

/**
 * struct az_store_view - what the program has read from the store
 * @reads: reads in progress
 * @revision: 0 until a read is complete
 * @is_catalog_readable: whether the last configuration that was read is valid
 * @requested_us: when the present watch or the last read was started
 */
struct az_store_view
{
  GHashTable *withdrawn; /* set of domains */
  GPtrArray *reads;      /* struct store_read * */
  uint64_t revision;
  bool is_catalog_readable;
  int64_t requested_us;
  bool is_reachable;
  uv_timer_t retry;
};

/**
 * struct az_membership - the gateways in the store
 * @lease: lease of this gateway's member key, 0 if it has none
 * @is_list_read: whether the last read of the members succeeded
 */
struct az_membership
{
  uint64_t lease;
  bool is_list_read;
  uv_timer_t timer;
};

struct az_gateway_program
{
  struct az_settings_watch settings;
  struct az_gateway_options *options;
  uv_loop_t *loop;
  struct az_event_loop event_loop;
  struct az_rpc *rpc;
  struct az_http_server *jobs;
  struct az_http_server *ready;
  struct az_http_server *metrics;
  struct az_counters *counters;
  struct az_metadata_client *store;
  struct az_store_view view;
  struct az_membership membership;
  struct az_gateway *gateway;
  bool is_stopping;
  bool is_closed;
  int64_t stop_started_us;
};

/* program_jobs.c: HTTP interface for callers */
bool
az_gateway_program_open_jobs (struct az_gateway_program *program, GError **error);
void
az_gateway_program_answer (void *context, uint32_t caller, const struct az_job_answer *answer);
void
az_gateway_program_cancelled (void *context, uint32_t caller, enum az_cancel_outcome outcome);

/* program_status.c: readiness and metrics */
bool
az_gateway_program_open_status (struct az_gateway_program *program, GError **error);

/* program_rpc.c: connections to sidecars and other gateways */
bool
az_gateway_program_open_rpc (struct az_gateway_program *program, GError **error);
void
az_gateway_program_send (void *context, uint32_t session, const struct az_message *message);
void
az_gateway_program_close (void *context, uint32_t session, const char *reason);
void
az_gateway_program_connect (void *context, const char *address);
void
az_gateway_program_add_seeds (void *context, const GPtrArray *seeds);

/* program_members.c: addresses of the gateways in the store */
void
az_gateway_program_open_membership (struct az_gateway_program *program);
void
az_gateway_program_close_membership (struct az_gateway_program *program);

/* program_store.c: configuration and withdrawn domains in the store */

/** az_gateway_program_check_store - treats the store as unreachable while an answer is overdue */
void
az_gateway_program_check_store (struct az_gateway_program *program);
void
az_gateway_program_open_store (struct az_gateway_program *program);
void
az_gateway_program_close_store (struct az_gateway_program *program);

/** az_gateway_program_free_store - call after the loop has ended, when no call is pending */
void
az_gateway_program_free_store (struct az_gateway_program *program);

/** az_gateway_program_handle_catalog - installs a configuration if it is newer than the present one
 *
 * Return: whether it can be read
 */
bool
az_gateway_program_handle_catalog (struct az_gateway_program *program,
                                   const struct az_catalog_origin *origin);

extern const struct az_setting az_gateway_schema[];
extern const size_t az_gateway_n_schema;

int
az_gateway_program_run (struct az_gateway_options *options);

#endif
