#ifndef AZUREROCK_BENCH_EMULATOR_PLAY_H
#define AZUREROCK_BENCH_EMULATOR_PLAY_H

#include "emulator/world.h"

/* State and parts of a run on the decision code: links, calls to upstreams and faults. */

/* Sessions of gateways with each other have numbers from this one on. */
#define EMU_PEER_SESSION_FIRST 100000u

struct world;

struct node_context
{
  struct world *world;
  unsigned index;
};

/** struct waiting_hold - a hold whose answer is pending; it times out if its call was lost */
struct waiting_hold
{
  uint64_t number;
  uint64_t last_processed_end;
  bool is_call_delivered;
};

/** struct gateway_processor - a gateway whose processor share is limited: what arrives waits in its
 * inbox during an iteration of its event loop */
struct gateway_processor
{
  GPtrArray *inbox;    /* struct gateway_event */
  unsigned generation; /* of the process; iterations of earlier ones are ignored */
  bool is_iterating;
  bool is_tick_waiting;
  int64_t output_at_us; /* when what the gateway sends at present leaves */
};

struct world
{
  const struct emulator_scenario *scenario;
  struct emu_events *events;
  struct emu_load *load;
  struct emu_metrics metrics;
  GRand *random;
  struct az_clock clock;
  struct az_counters *counters;
  struct az_gateway **gateways;
  struct gateway_processor *processors;
  struct az_sidecar **sidecars;
  struct emu_upstream **upstreams;
  GArray **holds;         /* struct waiting_hold, per upstream */
  int64_t *to_sidecar_us; /* when the last message arrives, per gateway and upstream */
  int64_t *to_gateway_us;
  struct emu_numbers *upstream_numbers; /* of the sessions of gateways */
  struct emu_numbers *gateway_numbers;  /* of the sessions of sidecars */
  struct node_context *gateway_contexts;
  struct node_context *sidecar_contexts;
  unsigned *incarnations;
  double *task_failure_share;
  bool *refuses_connections; /* per upstream: its process has crashed, its machine runs */
  double call_loss_share;
  bool *is_reported_slow; /* per upstream, by its last report */
  unsigned slow_samples[EMULATOR_SPEEDS_MAX];
  unsigned speed_samples[EMULATOR_SPEEDS_MAX];
  bool is_powered;
  int withdrawn_domain; /* -1 if none is withdrawn */
  GHashTable *jobs;     /* id -> index into the load + 1 */
};

/* play.c: loss and return of power of all gateways and sidecars */
void
emu_cut_power (struct world *world);
void
emu_restore_power (struct world *world);

/* processor.c: gateways handle events at once, or as fast as their processor share allows */
enum emu_event_kind
{
  EMU_EVENT_MESSAGE, /* or a timer, or an update of the store */
  EMU_EVENT_JOB,
};

void
emu_create_processors (struct world *world);
void
emu_destroy_processors (struct world *world);

/** emu_stop_processors - forgets all waiting events */
void
emu_stop_processors (struct world *world);

/** emu_post_to_gateway - calls @handle with @data or a copy of it, and flushes the gateway, now or
 * in the next iteration of its event loop */
void
emu_post_to_gateway (struct world *world,
                     unsigned gateway,
                     enum emu_event_kind kind,
                     void (*handle) (struct world *world, unsigned gateway, void *data),
                     void *data,
                     size_t size);
bool
emu_is_processor_limited (const struct world *world, unsigned gateway);

/** emu_output_time_us - when messages and answers leave that the gateway sends in a callback */
int64_t
emu_output_time_us (const struct world *world, unsigned gateway);

/* numbers.c: the numbers of sessions. Processes that number them alike prefer the same peers where
 * their decisions depend on the order of sessions. */
struct emu_numbers;

/** emu_numbers_create - sessions of @n_processes with @n_peers each; they have the numbers of the
 * peers if @random is NULL */
struct emu_numbers *
emu_numbers_create (unsigned n_processes, unsigned n_peers, GRand *random);
void
emu_numbers_destroy (struct emu_numbers *numbers);
uint32_t
emu_session_of_peer (const struct emu_numbers *numbers, unsigned process, unsigned peer);
unsigned
emu_peer_of_session (const struct emu_numbers *numbers, unsigned process, uint32_t session);

/* links.c: the callbacks of both cores that send messages; sessions never close */
unsigned
emu_domain_of_gateway (const struct world *world, unsigned gateway);
unsigned
emu_domain_of_upstream (const struct world *world, unsigned upstream);
void
emu_send_from_gateway (void *context, uint32_t session, const struct az_message *message);
void
emu_send_to_gateway (void *context, uint32_t session, const struct az_message *message);
void
emu_close_session (void *context, uint32_t session, const char *reason);
void
emu_connect_to (void *context, const char *address);

/* calls.c: the callbacks of a sidecar that start, stop and hold tasks at its upstream */
void
emu_start_task (void *context, uint32_t task, const struct az_upstream_start *start);
void
emu_stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop);
void
emu_hold_tasks (void *context, uint64_t number, const struct az_upstream_hold *call);
void
emu_probe_upstream (void *context, uint64_t number, const struct az_upstream_probe *probe);

/** emu_answer_waiting_holds - schedules answers to the holds of an upstream whose tasks changed */
void
emu_answer_waiting_holds (void *context, unsigned upstream);

/* troubles.c: crashes by tasks, faults, announcements of upstreams and of the withdrawn domain */
void
emu_announce_upstream (struct world *world, unsigned index);
void
emu_send_withdrawn (struct world *world);
void
emu_schedule_crash (struct world *world, unsigned index, const char *task);
void
emu_schedule_fault (struct world *world, unsigned index, bool begins, double at_s);

#endif
