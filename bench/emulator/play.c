#include "dispatch/session_times.h"
#include "emulator/world.h"
#include <stdlib.h>
#include <string.h>

#define GATEWAY_TICK_US 20000
#define SIDECAR_TICK_US 25000
#define SAME_DOMAIN_US 200
#define ORDER_TIMEOUT_US 30000
#define HOLD_EXTRA_US 50000

struct world;

struct node_context
{
  struct world *world;
  unsigned index;
};

struct waiting_hold
{
  uint64_t number;
  uint64_t seen;
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

static void
monotonic (void *context, struct timespec *now)
{
  const struct world *world = context;

  *now = az_time_from_ns (emu_now_us (world->events) * 1000);
}

static unsigned
domain_of_gateway (const struct world *world, unsigned gateway)
{
  return gateway % world->scenario->n_domains;
}

static unsigned
domain_of_upstream (const struct world *world, unsigned upstream)
{
  return upstream % world->scenario->n_domains;
}

static int64_t
link_us (const struct world *world, unsigned gateway, unsigned upstream)
{
  if (domain_of_gateway (world, gateway) == domain_of_upstream (world, upstream))
    return SAME_DOMAIN_US;
  return (int64_t)(world->scenario->cross_ms * 1000);
}

/* Messages travel encoded, as between processes. */
struct packet
{
  unsigned gateway;
  unsigned upstream;
  guint length;
  uint8_t bytes[];
};

static struct packet *
pack (unsigned gateway, unsigned upstream, const struct az_message *message)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  struct packet *packet;

  if (!az_message_encode (message, 0, bytes, NULL))
    abort ();
  packet = g_malloc (sizeof *packet + bytes->len);
  packet->gateway = gateway;
  packet->upstream = upstream;
  packet->length = bytes->len;
  memcpy (packet->bytes, bytes->data, bytes->len);
  return packet;
}

static void
deliver_to_sidecar (void *context, void *data)
{
  struct world *world = context;
  const struct packet *packet = data;
  struct az_message message;

  if (!az_message_decode (packet->bytes, packet->length, &message, NULL))
    abort ();
  az_sidecar_received (world->sidecars[packet->upstream], packet->gateway + 1, &message);
  az_sidecar_flush (world->sidecars[packet->upstream]);
  az_message_clear (&message);
}

static void
deliver_to_gateway (void *context, void *data)
{
  struct world *world = context;
  const struct packet *packet = data;
  struct az_message message;

  if (!az_message_decode (packet->bytes, packet->length, &message, NULL))
    abort ();
  az_gateway_received (world->gateways[packet->gateway], packet->upstream + 1, &message);
  az_gateway_flush (world->gateways[packet->gateway]);
  az_message_clear (&message);
}

static void
send_to_sidecar (void *context, uint32_t session, const struct az_message *message)
{
  const struct node_context *node = context;
  struct world *world = node->world;

  emu_at (world->events, emu_now_us (world->events) + link_us (world, node->index, session - 1),
          deliver_to_sidecar, world, pack (node->index, session - 1, message));
}

static void
send_to_gateway (void *context, uint32_t session, const struct az_message *message)
{
  const struct node_context *node = context;
  struct world *world = node->world;

  emu_at (world->events, emu_now_us (world->events) + link_us (world, session - 1, node->index),
          deliver_to_gateway, world, pack (session - 1, node->index, message));
}

static void
close_session (void *context, uint32_t session, const char *reason)
{
  (void)context;
  (void)session;
  (void)reason;
}

static void
connect_to (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static void
answer_caller (void *context, uint32_t caller, const struct az_job_answer *answer)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, caller - 1);

  emu_tally_count (&world->tally, job, answer->outcome,
                   emu_now_us (world->events) - job->arrives_us);
}

/* Answers of an upstream to its sidecar. */
struct order_answer
{
  unsigned upstream;
  uint32_t task;
  bool is_stop;
  enum az_upstream_result result;
};

static void
order_answered (void *context, void *data)
{
  struct world *world = context;
  const struct order_answer *row = data;
  const struct az_upstream_answer answer
      = { .result = row->result, .clock_ms = emu_now_us (world->events) / 1000 };

  if (row->is_stop)
    az_sidecar_stop_answered (world->sidecars[row->upstream], row->task, &answer);
  else
    az_sidecar_start_answered (world->sidecars[row->upstream], row->task, &answer);
  az_sidecar_flush (world->sidecars[row->upstream]);
}

static void
answer_order (struct world *world, const struct order_answer *answer)
{
  bool is_silent = answer->result == AZ_UPSTREAM_UNANSWERED;

  emu_at (world->events, emu_now_us (world->events) + (is_silent ? ORDER_TIMEOUT_US : LOCAL_US),
          order_answered, world, g_memdup2 (answer, sizeof *answer));
}

static bool
is_answered (struct world *world, unsigned upstream)
{
  return !emu_upstream_is_down (world->upstreams[upstream])
         && g_rand_double (world->random) >= world->unanswered_share;
}

static bool
runs_elsewhere (const struct world *world, const char *task)
{
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    if (emu_upstream_runs (world->upstreams[i], task))
      return true;
  return false;
}

static void
start_task (void *context, uint32_t task, const struct az_upstream_start *start)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  g_auto (GStrv) parts = g_strsplit (start->task, ".", 4);
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (world->jobs, parts[0])) - 1;
  const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, index);
  struct order_answer answer = { .upstream = node->index, .task = task };
  bool fails = g_rand_double (world->random) < world->fail_share[node->index];

  if (!is_answered (world, node->index))
    answer.result = AZ_UPSTREAM_UNANSWERED;
  else
    {
      world->tally.result.n_overlaps += runs_elsewhere (world, start->task);
      world->tally.result.n_runs++;
      answer.result = emu_upstream_start (world->upstreams[node->index], start, job->cpu_milli,
                                          job->work_us[atoi (parts[3])], fails);
    }
  answer_order (world, &answer);
}

static void
stop_task (void *context, uint32_t task, const struct az_upstream_stop *stop)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct order_answer answer = { .upstream = node->index, .task = task, .is_stop = true };

  if (!is_answered (world, node->index))
    answer.result = AZ_UPSTREAM_UNANSWERED;
  else
    emu_upstream_stop (world->upstreams[node->index], stop);
  answer_order (world, &answer);
}

struct hold_event
{
  unsigned upstream;
  uint64_t number;
};

static void
hold_due (void *context, void *data)
{
  struct world *world = context;
  const struct hold_event *event = data;
  GArray *holds = world->holds[event->upstream];
  struct az_upstream_lists lists = { 0 };
  struct waiting_hold hold = { 0 };

  lists.answer.clock_ms = emu_now_us (world->events) / 1000;
  for (guint i = 0; i < holds->len; i++)
    if (g_array_index (holds, struct waiting_hold, i).number == event->number)
      {
        hold = g_array_index (holds, struct waiting_hold, i);
        g_array_remove_index (holds, i);
      }
  if (hold.number == 0)
    return;
  if (!hold.is_answered || emu_upstream_is_down (world->upstreams[event->upstream]))
    lists.answer = (struct az_upstream_answer){ .result = AZ_UPSTREAM_UNANSWERED, .clock_ms = -1 };
  else
    emu_upstream_lists (world->upstreams[event->upstream], hold.seen, &lists);
  az_sidecar_hold_answered (world->sidecars[event->upstream], event->number, &lists);
  az_upstream_lists_clear (&lists);
  az_sidecar_flush (world->sidecars[event->upstream]);
}

static void
schedule_hold (struct world *world, unsigned upstream, uint64_t number, int64_t at_us)
{
  struct hold_event *event = g_new0 (struct hold_event, 1);

  event->upstream = upstream;
  event->number = number;
  emu_at (world->events, at_us, hold_due, world, event);
}

static void
hold_tasks (void *context, uint64_t number, const struct az_upstream_hold *call)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct emu_upstream *upstream = world->upstreams[node->index];
  struct waiting_hold hold = { .number = number, .seen = call->seen };
  int64_t wait_us = call->wait_ms * 1000;

  hold.is_answered = is_answered (world, node->index);
  g_array_append_val (world->holds[node->index], hold);
  if (!hold.is_answered)
    wait_us += HOLD_EXTRA_US;
  else if (emu_upstream_has_ends (upstream, hold.seen))
    wait_us = 0;
  schedule_hold (world, node->index, number, emu_now_us (world->events) + wait_us + LOCAL_US);
}

static void
upstream_changed (void *context, unsigned upstream)
{
  struct world *world = context;
  const GArray *holds = world->holds[upstream];

  for (guint i = 0; i < holds->len; i++)
    {
      const struct waiting_hold *hold = &g_array_index (holds, struct waiting_hold, i);

      if (hold->is_answered)
        schedule_hold (world, upstream, hold->number, emu_now_us (world->events) + LOCAL_US);
    }
}

static void
announce (struct world *world, unsigned index)
{
  g_autofree char *instance = g_strdup_printf ("i-%u-%u", index, world->lives[index]);
  g_autofree char *domain = g_strdup_printf ("d%u", domain_of_upstream (world, index));
  g_autoptr (GPtrArray) labels = g_ptr_array_new ();
  const struct az_upstream_announcement announcement = {
    .instance = instance,
    .service = (char *)"service",
    .address = (char *)"127.0.0.1:1",
    .domain = domain,
    .born_ms = 1 + world->lives[index],
    .sequence = (uint64_t)emu_now_us (world->events),
    .capacity = { .cpu_milli = (u_int)(emu_upstream_cores (world->scenario, index) * 1000),
                  .memory_mb = 65536 },
    .labels = labels,
    .clock_ms = -1,
  };

  az_sidecar_announced (world->sidecars[index], &announcement);
  az_sidecar_flush (world->sidecars[index]);
}

static void
submit (void *context, void *data)
{
  struct world *world = context;
  guint index = *(guint *)data;
  const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, index);
  struct az_gateway *gateway = world->gateways[job->gateway];
  g_autofree char *id = g_strdup_printf ("%016x", index);
  struct az_job_request request = { .specification = g_strdup ("spec"), .n_steps = 1 };

  request.steps = g_new0 (struct az_job_step, 1);
  request.steps[0] = (struct az_job_step){
    .n_tasks = job->n_tasks,
    .need = { .cpu_milli = (u_int)job->cpu_milli, .memory_mb = 64 },
    .estimate_ms = (uint32_t)job->estimate_ms,
  };
  g_hash_table_insert (world->jobs, g_strdup (id), GUINT_TO_POINTER (index + 1));
  az_gateway_submit (gateway, index + 1, &az_gateway_catalog (gateway)->routes[job->kind], id,
                     &request, job->deadline_us / 1000);
  az_gateway_flush (gateway);
}

static void
tick_gateway (void *context, void *data)
{
  struct node_context *node = context;
  struct world *world = node->world;

  (void)data;
  az_gateway_tick (world->gateways[node->index]);
  az_gateway_flush (world->gateways[node->index]);
  emu_at (world->events, emu_now_us (world->events) + GATEWAY_TICK_US, tick_gateway, node, NULL);
}

static void
tick_sidecar (void *context, void *data)
{
  struct node_context *node = context;
  struct world *world = node->world;

  (void)data;
  az_sidecar_tick (world->sidecars[node->index]);
  az_sidecar_flush (world->sidecars[node->index]);
  emu_at (world->events, emu_now_us (world->events) + SIDECAR_TICK_US, tick_sidecar, node, NULL);
}

static struct az_catalog *
create_catalog (const struct emulator_scenario *scenario)
{
  struct az_catalog *catalog = g_new0 (struct az_catalog, 1);

  catalog->version = 1;
  catalog->routes = g_new0 (struct az_route, EMULATOR_KINDS);
  for (unsigned i = 0; i < EMULATOR_KINDS; i++)
    catalog->routes[catalog->n_routes++] = (struct az_route){
      .name = g_strdup (scenario->kinds[i].name),
      .host = g_strdup ("host"),
      .prefix = g_strdup ("/"),
      .service = g_strdup ("service"),
      .priority = scenario->kinds[i].priority,
      .attempts = 4,
      .slack_factor = 1.6,
      .objective_ms = 60,
      .timeout_ms = 1500,
    };
  return catalog;
}

static void
create_gateway (struct world *world, unsigned index)
{
  g_autofree char *domain = g_strdup_printf ("d%u", domain_of_gateway (world, index));
  const struct az_gateway_io io = { send_to_sidecar, close_session, connect_to, answer_caller,
                                    &world->gateway_contexts[index] };
  const struct az_gateway_settings settings = {
    .instance = "gateway",
    .domain = g_intern_string (domain),
    .address = "127.0.0.1:1",
    .session_ms = AZ_SESSION_MS,
    .loss_ms = AZ_SESSION_LOSS_MS,
    .cross_domain_ms = 4,
    .remote_factor = 1.5,
  };

  world->gateway_contexts[index] = (struct node_context){ world, index };
  world->gateways[index]
      = az_gateway_create (&settings, 1000 + index, &world->clock, &io, world->counters);
  az_gateway_set_catalog (world->gateways[index], create_catalog (world->scenario), 1, "{}", 2);
  emu_at (world->events, emu_now_us (world->events) + index * 1700, tick_gateway,
          &world->gateway_contexts[index], NULL);
}

static void
create_sidecar (struct world *world, unsigned index)
{
  g_autofree char *domain = g_strdup_printf ("d%u", domain_of_upstream (world, index));
  g_autofree char *instance = g_strdup_printf ("s%u", index);
  const struct az_sidecar_io io
      = { send_to_gateway, close_session, start_task,
          stop_task,       hold_tasks,    &world->sidecar_contexts[index] };
  const struct emu_upstream_owner owner = { upstream_changed, world };
  const struct az_sidecar_settings settings = {
    .instance = g_intern_string (instance),
    .domain = g_intern_string (domain),
    .lease_ms = AZ_TASK_LEASE_MS,
    .session_ms = AZ_SESSION_MS,
    .stop_ms = 50,
    .evidence_ms = 2500,
  };

  world->sidecar_contexts[index] = (struct node_context){ world, index };
  world->holds[index] = g_array_new (FALSE, FALSE, sizeof (struct waiting_hold));
  world->upstreams[index]
      = emu_upstream_create (world->events, index, emu_upstream_cores (world->scenario, index),
                             emu_upstream_speed (index), &owner);
  world->sidecars[index]
      = az_sidecar_create (&settings, 2000 + index, &world->clock, &io, world->counters);
  emu_at (world->events, emu_now_us (world->events) + index * 900, tick_sidecar,
          &world->sidecar_contexts[index], NULL);
}

struct trouble_event
{
  unsigned trouble;
  bool begins;
};

static void
withdraw (struct world *world, unsigned domain, bool begins)
{
  g_autofree char *name = g_strdup_printf ("d%u", domain);
  const char *const domains[] = { name };
  uint64_t revision = (uint64_t)emu_now_us (world->events);

  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    az_gateway_set_withdrawn (world->gateways[i], revision, 0, domains, begins ? 1 : 0);
}

static void
trouble_upstream (struct world *world,
                  const struct emulator_trouble *trouble,
                  unsigned index,
                  bool begins)
{
  struct emu_upstream *upstream = world->upstreams[index];

  switch (trouble->kind)
    {
    case EMULATOR_SLOW:
      emu_upstream_set_rate (upstream, begins ? 1 / trouble->factor : 1);
      break;
    case EMULATOR_STALL:
      emu_upstream_set_rate (upstream, begins ? 0 : 1);
      break;
    case EMULATOR_FAIL:
      world->fail_share[index] = begins ? trouble->factor : 0;
      break;
    case EMULATOR_CRASH:
      emu_upstream_set_down (upstream, begins);
      world->lives[index]++;
      if (!begins)
        announce (world, index);
      break;
    default:
      break;
    }
}

static void
trouble_changes (void *context, void *data)
{
  struct world *world = context;
  const struct trouble_event *event = data;
  const struct emulator_trouble *trouble = &world->scenario->troubles[event->trouble];

  if (trouble->kind == EMULATOR_WITHDRAW)
    withdraw (world, trouble->first, event->begins);
  else if (trouble->kind == EMULATOR_UNANSWERED)
    world->unanswered_share = event->begins ? trouble->factor : 0;
  else if (trouble->kind != EMULATOR_BURST)
    for (unsigned i = 0; i < trouble->count; i++)
      trouble_upstream (world, trouble, trouble->first + i, event->begins);
}

static void
schedule_trouble (struct world *world, unsigned index, bool begins, double at_s)
{
  struct trouble_event *event = g_new0 (struct trouble_event, 1);

  event->trouble = index;
  event->begins = begins;
  emu_at (world->events, 1500000 + (int64_t)(at_s * 1e6), trouble_changes, world, event);
}

static void
connect_all (struct world *world)
{
  for (unsigned g = 0; g < world->scenario->n_gateways; g++)
    {
      az_gateway_set_withdrawn (world->gateways[g], 1, 0, NULL, 0);
      for (unsigned s = 0; s < world->scenario->n_upstreams; s++)
        {
          az_gateway_session_opened (world->gateways[g], s + 1, NULL);
          az_sidecar_session_opened (world->sidecars[s], g + 1);
        }
    }
  for (unsigned s = 0; s < world->scenario->n_upstreams; s++)
    announce (world, s);
}

static void
schedule_all (struct world *world)
{
  for (guint i = 0; i < world->load->jobs->len; i++)
    emu_at (world->events, g_array_index (world->load->jobs, struct emu_job, i).arrives_us, submit,
            world, g_memdup2 (&i, sizeof i));
  for (unsigned i = 0; i < world->scenario->n_troubles; i++)
    {
      schedule_trouble (world, i, true, world->scenario->troubles[i].from_s);
      schedule_trouble (world, i, false, world->scenario->troubles[i].to_s);
    }
}

static void
create_world (struct world *world, const struct emulator_scenario *scenario, uint32_t seed)
{
  unsigned n_upstreams = scenario->n_upstreams;

  world->scenario = scenario;
  world->events = emu_events_create ();
  world->load = emu_load_create (scenario, seed);
  world->random = g_rand_new_with_seed (seed + 1);
  world->clock = (struct az_clock){ monotonic, monotonic, world };
  world->counters = az_counters_create ();
  world->gateways = g_new0 (struct az_gateway *, scenario->n_gateways);
  world->gateway_contexts = g_new0 (struct node_context, scenario->n_gateways);
  world->sidecars = g_new0 (struct az_sidecar *, n_upstreams);
  world->sidecar_contexts = g_new0 (struct node_context, n_upstreams);
  world->upstreams = g_new0 (struct emu_upstream *, n_upstreams);
  world->holds = g_new0 (GArray *, n_upstreams);
  world->lives = g_new0 (unsigned, n_upstreams);
  world->fail_share = g_new0 (double, n_upstreams);
  world->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  emu_tally_init (&world->tally, scenario);
  for (unsigned i = 0; i < scenario->n_gateways; i++)
    create_gateway (world, i);
  for (unsigned i = 0; i < n_upstreams; i++)
    create_sidecar (world, i);
  connect_all (world);
  schedule_all (world);
}

static void
destroy_world (struct world *world)
{
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    az_gateway_destroy (world->gateways[i]);
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    {
      az_sidecar_destroy (world->sidecars[i]);
      emu_upstream_destroy (world->upstreams[i]);
      g_array_unref (world->holds[i]);
    }
  emu_events_destroy (world->events);
  emu_load_destroy (world->load);
  g_rand_free (world->random);
  az_counters_destroy (world->counters);
  g_hash_table_unref (world->jobs);
  g_free (world->gateways);
  g_free (world->gateway_contexts);
  g_free (world->sidecars);
  g_free (world->sidecar_contexts);
  g_free (world->upstreams);
  g_free (world->holds);
  g_free (world->lives);
  g_free (world->fail_share);
}

struct emulator_result
emulator_play (const struct emulator_scenario *scenario, uint32_t seed)
{
  struct world world = { 0 };
  struct emulator_result result;
  int64_t end_us = 1500000 + (int64_t)((scenario->length_s + 8) * 1e6);

  create_world (&world, scenario, seed);
  while (emu_next (world.events, end_us))
    continue;
  for (unsigned i = 0; i < scenario->n_upstreams; i++)
    world.tally.result.wasted_core_s += emu_upstream_wasted_core_s (world.upstreams[i]);
  result = emu_tally_finish (&world.tally, world.load);
  destroy_world (&world);
  return result;
}
