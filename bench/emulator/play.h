#ifndef AZUREROCK_BENCH_EMULATOR_PLAY_H
#define AZUREROCK_BENCH_EMULATOR_PLAY_H

#include "emulator/world.h"

/* Parts of a run on the decision code: links, calls to upstreams and troubles. */

struct world;

struct node_context
{
  struct world *world;
  unsigned index;
};

struct waiting_hold
{
  uint64_t number;
  uint64_t last_processed_end;
  bool is_answered;
};

struct world
{
  const struct emulator_scenario *scenario;
  struct emu_events *events;
  struct emu_load *load;
  struct emu_tally tally;
  GRand *random;
  struct az_clock clock;
  struct az_counters *counters;
  struct az_gateway **gateways;
  struct az_sidecar **sidecars;
  struct emu_upstream **upstreams;
  GArray **holds; /* struct waiting_hold, per upstream */
  struct node_context *gateway_contexts;
  struct node_context *sidecar_contexts;
  unsigned *lives;
  double *fail_share;
  double unanswered_share;
  GHashTable *jobs; /* id -> index + 1 */
};

/* links.c: messages between gateways and sidecars; effects of their cores */
unsigned
emu_domain_of_gateway (const struct world *world, unsigned gateway);
unsigned
emu_domain_of_upstream (const struct world *world, unsigned upstream);
void
emu_send_to_sidecar (void *context, uint32_t session, const struct az_message *message);
void
emu_send_to_gateway (void *context, uint32_t session, const struct az_message *message);
void
emu_close_session (void *context, uint32_t session, const char *reason);
void
emu_connect_to (void *context, const char *address);

/* calls.c: orders and holds of a sidecar, which its upstream answers */
void
emu_start_task (void *context, uint32_t task, const struct az_upstream_start *start);
void
emu_stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop);
void
emu_hold_tasks (void *context, uint64_t number, const struct az_upstream_hold *call);

/** emu_upstream_changed - answers the holds that wait there */
void
emu_upstream_changed (void *context, unsigned upstream);

/* troubles.c */
void
emu_announce (struct world *world, unsigned index);
void
emu_schedule_trouble (struct world *world, unsigned index, bool begins, double at_s);

#endif
