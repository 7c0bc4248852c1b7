#ifndef AZUREROCK_SIDECAR_PROGRAM_H
#define AZUREROCK_SIDECAR_PROGRAM_H

#include "azurerock/counters.h"
#include "azurerock/http_client.h"
#include "azurerock/http_limits.h"
#include "azurerock/http_server.h"
#include "azurerock/rpc.h"
#include "azurerock/sidecar.h"
#include "dispatch/event_loop.h"
#include "dispatch/metadata_client.h"
#include "dispatch/settings_watch.h"
#include "sidecar/links.h"
#include "sidecar/relay.h"
#include <glib.h>

/** struct az_sidecar_options - contents of the settings file, in the units used there */
struct az_sidecar_options
{
  char *instance;
  char *domain;
  char *registry_address;
  char *metrics_address;
  char *store_address;
  GPtrArray *seeds;
  int64_t seed_port;
  double grace_s;
  double stop_ms;
  double lease_max_ms;
  bool relative_slowness;
  bool report_interference;
  struct az_http_limit_options limits;
};

/** struct upstream_client - HTTP client of one address; NULL before the first call */
struct upstream_client
{
  struct az_http_client *http;
  char *address;
};

struct az_sidecar_program
{
  struct az_settings_watch settings;
  struct az_sidecar_options *options;
  uv_loop_t *loop;
  struct az_event_loop event_loop;
  struct az_rpc *rpc;
  struct az_http_server *registry;
  struct az_http_server *metrics;
  struct upstream_client upstream;  /* to the present incarnation of the upstream */
  struct upstream_client candidate; /* to an announced one that hasn't answered yet */
  struct az_counters *counters;
  struct az_metadata_client *store;
  struct az_sidecar *sidecar;
  struct az_links *links;
  struct az_relay *relay;
  int64_t withdrawals_requested_us;
  char *record; /* announcement record as last written to the store */
  bool is_reading_withdrawals;
  bool is_stopping;
  bool has_cancelled_tasks;
  bool is_closed;
  int64_t stop_requested_us;
};

/* program_upstream.c */
void
az_sidecar_program_start_task (void *context, uint32_t task, const struct az_upstream_start *start);
void
az_sidecar_program_stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop);
void
az_sidecar_program_send_hold (void *context, uint64_t number, const struct az_upstream_hold *hold);
void
az_sidecar_program_send_probe (void *context,
                               uint64_t number,
                               const struct az_upstream_probe *probe);
void
az_sidecar_program_close_upstream (struct az_sidecar_program *program);

/* program_registry.c */
bool
az_sidecar_program_open_registry (struct az_sidecar_program *program, GError **error);

/* program_rpc.c */
void
az_sidecar_program_send_message (void *context, uint32_t session, const struct az_message *message);
void
az_sidecar_program_close_session (void *context, uint32_t session, const char *reason);
void
az_sidecar_program_open_rpc (struct az_sidecar_program *program);
void
az_sidecar_program_add_gateway (struct az_sidecar_program *program, const char *address);
void
az_sidecar_program_add_seeds (void *context, const GPtrArray *seeds);
void
az_sidecar_program_connect (struct az_sidecar_program *program);

/* program_record.c: the last announcement of the upstream in the store */
void
az_sidecar_program_read_record (struct az_sidecar_program *program);
void
az_sidecar_program_write_record (struct az_sidecar_program *program,
                                 const struct az_upstream_announcement *announcement);

/* program_store.c */
void
az_sidecar_program_open_relay (struct az_sidecar_program *program);
void
az_sidecar_program_poll_store (struct az_sidecar_program *program);

extern const struct az_setting az_sidecar_schema[];
extern const size_t az_sidecar_n_schema;

int
az_sidecar_program_run (struct az_sidecar_options *options);

#endif
