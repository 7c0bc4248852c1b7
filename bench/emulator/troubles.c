#include "emulator/play.h"

void
emu_announce (struct world *world, unsigned index)
{
  g_autofree char *instance = g_strdup_printf ("i-%u-%u", index, world->lives[index]);
  g_autofree char *domain = g_strdup_printf ("d%u", emu_domain_of_upstream (world, index));
  g_autoptr (GPtrArray) labels = g_ptr_array_new ();
  const struct az_upstream_announcement announcement = {
    .instance = instance,
    .service = (char *)"service",
    .address = (char *)"127.0.0.1:1",
    .domain = domain,
    .started_ms = 1 + world->lives[index],
    .sequence = (uint64_t)emu_now_us (world->events),
    .capacity = { .cpu_milli = (u_int)(emu_upstream_cores (world->scenario, index) * 1000),
                  .memory_mb = 65536 },
    .labels = labels,
    .clock_ms = -1,
  };

  az_sidecar_upstream_announced (world->sidecars[index], &announcement);
  az_sidecar_flush (world->sidecars[index]);
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
        emu_announce (world, index);
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

void
emu_schedule_trouble (struct world *world, unsigned index, bool begins, double at_s)
{
  struct trouble_event *event = g_new0 (struct trouble_event, 1);

  event->trouble = index;
  event->begins = begins;
  emu_at (world->events, 1500000 + (int64_t)(at_s * 1e6), trouble_changes, world, event);
}
