#include "emulator/play.h"
#include <math.h>

void
emu_announce_upstream (struct world *world, unsigned index)
{
  g_autofree char *instance = g_strdup_printf ("i-%u-%u", index, world->incarnations[index]);
  g_autofree char *domain = g_strdup_printf ("d%u", emu_domain_of_upstream (world, index));
  g_autoptr (GPtrArray) labels = g_ptr_array_new ();
  const struct az_upstream_announcement announcement = {
    .instance = instance,
    .service = (char *)"service",
    .address = (char *)"127.0.0.1:1",
    .domain = domain,
    .started_ms = 1 + world->incarnations[index],
    .sequence = (uint64_t)emu_now_us (world->events),
    .capacity = { .cpu_milli = (u_int)(emu_upstream_cores (world->scenario, index) * 1000),
                  .memory_mb = 65536 },
    .labels = labels,
    .clock_ms = -1,
  };

  az_sidecar_upstream_announced (world->sidecars[index], &announcement);
  az_sidecar_flush (world->sidecars[index]);
}

/* Time after its start at which a task crashes its upstream, and for which the upstream is down. */
#define CRASH_AFTER_US 10000
#define CRASH_DOWN_US 3300000

struct task_crash
{
  unsigned upstream;
  unsigned incarnation;
  char task[40];
};

static void
restart_upstream (void *context, void *data)
{
  struct world *world = context;
  unsigned index = ((const struct task_crash *)data)->upstream;

  world->refuses_connections[index] = false;
  emu_upstream_set_down (world->upstreams[index], false);
  emu_announce_upstream (world, index);
}

static void
crash_upstream (struct world *world, unsigned index)
{
  struct task_crash *crash = g_new0 (struct task_crash, 1);

  crash->upstream = index;
  world->metrics.result.n_crashes++;
  world->incarnations[index]++;
  world->refuses_connections[index] = true;
  emu_upstream_set_down (world->upstreams[index], true);
  emu_answer_waiting_holds (world, index);
  emu_schedule (world->events, emu_now_us (world->events) + CRASH_DOWN_US, restart_upstream, world,
                crash);
}

static void
crash_by_task (void *context, void *data)
{
  struct world *world = context;
  const struct task_crash *crash = data;

  if (world->incarnations[crash->upstream] == crash->incarnation
      && emu_upstream_is_running (world->upstreams[crash->upstream], crash->task))
    crash_upstream (world, crash->upstream);
}

void
emu_schedule_crash (struct world *world, unsigned index, const char *task)
{
  struct task_crash *crash = g_new0 (struct task_crash, 1);

  crash->upstream = index;
  crash->incarnation = world->incarnations[index];
  g_strlcpy (crash->task, task, sizeof crash->task);
  emu_schedule (world->events, emu_now_us (world->events) + CRASH_AFTER_US, crash_by_task, world,
                crash);
}

struct random_crashes
{
  double per_s;
  int64_t end_us;
};

static void
crash_random_upstream (void *context, void *data)
{
  struct world *world = context;
  const struct random_crashes *crashes = data;
  unsigned index = (unsigned)g_rand_int_range (world->random, 0, (int)world->scenario->n_upstreams);
  int64_t next_us = emu_now_us (world->events)
                    + (int64_t)(-log (1 - g_rand_double (world->random)) / crashes->per_s * 1e6);

  if (!emu_upstream_is_down (world->upstreams[index]))
    crash_upstream (world, index);
  if (next_us < crashes->end_us)
    emu_schedule (world->events, next_us, crash_random_upstream, world,
                  g_memdup2 (crashes, sizeof *crashes));
}

static void
begin_random_crashes (struct world *world, const struct emulator_fault *fault)
{
  struct random_crashes *crashes = g_new0 (struct random_crashes, 1);

  crashes->per_s = fault->factor;
  crashes->end_us = emu_now_us (world->events) + (int64_t)((fault->to_s - fault->from_s) * 1e6);
  emu_schedule (world->events, emu_now_us (world->events), crash_random_upstream, world, crashes);
}

struct fault_event
{
  unsigned fault;
  bool begins;
};

static void
set_withdrawn (struct world *world, unsigned gateway, void *data)
{
  g_autofree char *name = g_strdup_printf ("d%d", world->withdrawn_domain);
  const char *const domains[] = { name };

  (void)data;
  az_gateway_set_withdrawn (world->gateways[gateway], (uint64_t)emu_now_us (world->events), 0,
                            domains, world->withdrawn_domain < 0 ? 0 : 1);
}

void
emu_send_withdrawn (struct world *world)
{
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    if (emu_is_processor_limited (world, i))
      emu_post_to_gateway (world, i, EMU_EVENT_MESSAGE, set_withdrawn, NULL, 0);
    else
      set_withdrawn (world, i, NULL);
}

static void
set_domain_withdrawn (struct world *world, unsigned domain, bool begins)
{
  world->withdrawn_domain = begins ? (int)domain : -1;
  emu_send_withdrawn (world);
}

static void
set_upstream_fault (struct world *world,
                    const struct emulator_fault *fault,
                    unsigned index,
                    bool begins)
{
  struct emu_upstream *upstream = world->upstreams[index];

  switch (fault->kind)
    {
    case EMULATOR_SLOW:
      emu_upstream_set_speed_factor (upstream, begins ? 1 / fault->factor : 1);
      break;
    case EMULATOR_STALL:
      emu_upstream_set_speed_factor (upstream, begins ? 0 : 1);
      break;
    case EMULATOR_FAIL:
      world->task_failure_share[index] = begins ? fault->factor : 0;
      break;
    case EMULATOR_CRASH:
      emu_upstream_set_down (upstream, begins);
      world->incarnations[index]++;
      if (!begins)
        emu_announce_upstream (world, index);
      break;
    default:
      break;
    }
}

static void
apply_fault (void *context, void *data)
{
  struct world *world = context;
  const struct fault_event *event = data;
  const struct emulator_fault *fault = &world->scenario->faults[event->fault];

  if (fault->kind == EMULATOR_POWER_LOSS)
    {
      if (event->begins)
        emu_cut_power (world);
      else
        emu_restore_power (world);
    }
  else if (fault->kind == EMULATOR_WITHDRAW)
    set_domain_withdrawn (world, fault->first, event->begins);
  else if (fault->kind == EMULATOR_CALL_LOSS)
    world->call_loss_share = event->begins ? fault->factor : 0;
  else if (fault->kind == EMULATOR_RANDOM_CRASHES)
    {
      if (event->begins)
        begin_random_crashes (world, fault);
    }
  else if (fault->kind != EMULATOR_BURST && fault->kind != EMULATOR_CRASHING_JOBS)
    for (unsigned i = 0; i < fault->count; i++)
      set_upstream_fault (world, fault, fault->first + i, event->begins);
}

void
emu_schedule_fault (struct world *world, unsigned index, bool begins, double at_s)
{
  struct fault_event *event = g_new0 (struct fault_event, 1);

  event->fault = index;
  event->begins = begins;
  emu_schedule (world->events, 1500000 + (int64_t)(at_s * 1e6), apply_fault, world, event);
}
