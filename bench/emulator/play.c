#include "emulator/play.h"
#include "dispatch/session_times.h"

#define GATEWAY_TICK_US 20000
#define SIDECAR_TICK_US 25000

/* A caller that lost its connection sends its job again after this time. */
#define RESUBMIT_US 1300000
#define CONFIGURATION_APPLY_MS 2000

static void
read_clock (void *context, struct timespec *now)
{
  const struct world *world = context;

  *now = az_time_from_ns (emu_now_us (world->events) * 1000);
}

static int64_t
caller_delay_us (const struct world *world)
{
  return (int64_t)(world->scenario->caller_delay_ms * 1000);
}

static void
send_job (void *context, void *data);

static void
return_job (void *context, void *data)
{
  struct world *world = context;
  guint index = *(guint *)data;

  g_array_index (world->load->jobs, struct emu_job, index).returned_us = emu_now_us (world->events);
  world->metrics.result.n_returned++;
  send_job (world, data);
}

static void
schedule_return (struct world *world, guint index, int64_t refused_us, int64_t retry_after_ms)
{
  int64_t seconds = (retry_after_ms + 999) / 1000;

  emu_schedule (world->events, refused_us + seconds * 1000000, return_job, world,
                g_memdup2 (&index, sizeof index));
}

static void
record_answer (void *context, uint32_t caller, const struct az_job_answer *answer)
{
  const struct node_context *node = context;
  struct world *world = node->world;
  struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, caller - 1);
  int64_t received_us = emu_output_time_us (world, node->index) + caller_delay_us (world);

  if (!world->is_powered)
    return;
  if (job->returned_us > 0)
    {
      world->metrics.result.n_returned_in_time
          += answer->outcome == AZ_JOB_COMPLETED
             && received_us - job->returned_us <= job->objective_us;
      return;
    }
  if (answer->outcome == AZ_JOB_NOT_RUN && world->scenario->refused_callers_return)
    schedule_return (world, caller - 1, received_us, answer->retry_after_ms);
  emu_metrics_record_answer (&world->metrics, job, answer->outcome, received_us - job->arrival_us);
}

/* Plays a caller without a connection, which tries again or gives up at its deadline. */
static void
schedule_resubmission (struct world *world, guint index)
{
  struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, index);
  int64_t at_us = emu_now_us (world->events) + RESUBMIT_US;

  if (at_us < job->arrival_us + job->deadline_us)
    emu_schedule (world->events, at_us, send_job, world, g_memdup2 (&index, sizeof index));
  else
    emu_metrics_record_answer (&world->metrics, job, AZ_JOB_UNFINISHED, at_us - job->arrival_us);
}

struct submission
{
  guint index;
  int64_t wait_us; /* time after its sending at which the caller gives up */
};

static void
submit_job (struct world *world, unsigned gateway, void *data)
{
  const struct submission *submission = data;
  guint index = submission->index;
  const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, index);
  g_autofree char *id = g_strdup_printf ("%016x", index);
  struct az_job_request request = { .specification = NULL, .n_steps = 1 };

  request.specification = g_strdup ("spec");

  request.steps = g_new0 (struct az_job_step, 1);
  request.steps[0] = (struct az_job_step){
    .n_tasks = job->n_tasks,
    .need = { .cpu_milli = (u_int)job->cpu_milli, .memory_mb = 64 },
    .estimate_ms = (uint32_t)job->estimate_ms,
  };
  g_hash_table_insert (world->jobs, g_strdup (id), GUINT_TO_POINTER (index + 1));
  az_gateway_submit (world->gateways[gateway], index + 1,
                     &az_gateway_catalog (world->gateways[gateway])->routes[job->kind], id,
                     &request, submission->wait_us / 1000);
}

static void
deliver_job (void *context, void *data)
{
  struct world *world = context;
  struct submission *submission = data;
  struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, submission->index);

  if (!world->is_powered)
    {
      schedule_resubmission (world, submission->index);
      return;
    }
  job->is_submitted = true;
  emu_post_to_gateway (world, job->gateway, EMU_EVENT_JOB, submit_job, submission,
                       sizeof *submission);
}

static void
send_job (void *context, void *data)
{
  struct world *world = context;
  struct submission submission = { .index = *(guint *)data };
  const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, submission.index);
  int64_t sent_us = MAX (job->arrival_us, job->returned_us);

  submission.wait_us = sent_us + job->deadline_us - emu_now_us (world->events);
  if (caller_delay_us (world) == 0)
    deliver_job (world, &submission);
  else
    emu_schedule (world->events, emu_now_us (world->events) + caller_delay_us (world), deliver_job,
                  world, g_memdup2 (&submission, sizeof submission));
}

static void
handle_tick (struct world *world, unsigned gateway, void *data)
{
  (void)data;
  world->processors[gateway].is_tick_waiting = false;
  az_gateway_tick (world->gateways[gateway]);
}

static void
tick_gateway (void *context, void *data)
{
  struct node_context *node = context;
  struct world *world = node->world;

  (void)data;
  if (!world->is_powered)
    return;
  /* A timer that is late doesn't expire twice. */
  if (!world->processors[node->index].is_tick_waiting)
    {
      world->processors[node->index].is_tick_waiting = true;
      emu_post_to_gateway (world, node->index, EMU_EVENT_MESSAGE, handle_tick, NULL, 0);
    }
  emu_schedule (world->events, emu_now_us (world->events) + GATEWAY_TICK_US, tick_gateway, node,
                NULL);
}

static void
sample_slowness (struct world *world, unsigned index)
{
  unsigned speed = index % world->scenario->n_upstream_speeds;

  if (emu_now_us (world->events) > 1500000 + (int64_t)(world->scenario->duration_s * 1e6))
    return;
  /* No tasks run there that could change what was reported. */
  if (emu_upstream_is_down (world->upstreams[index])
      || (int)emu_domain_of_upstream (world, index) == world->withdrawn_domain)
    return;
  world->speed_samples[speed]++;
  world->slow_samples[speed] += world->is_reported_slow[index];
}

static void
tick_sidecar (void *context, void *data)
{
  struct node_context *node = context;
  struct world *world = node->world;

  (void)data;
  if (!world->is_powered)
    return;
  az_sidecar_tick (world->sidecars[node->index]);
  az_sidecar_flush (world->sidecars[node->index]);
  sample_slowness (world, node->index);
  emu_schedule (world->events, emu_now_us (world->events) + SIDECAR_TICK_US, tick_sidecar, node,
                NULL);
}

static struct az_catalog *
create_catalog (const struct emulator_scenario *scenario)
{
  struct az_catalog *catalog = g_new0 (struct az_catalog, 1);

  catalog->version = 1;
  catalog->routes = g_new0 (struct az_route, EMULATOR_JOB_KINDS);
  for (unsigned i = 0; i < EMULATOR_JOB_KINDS && scenario->kinds[i].name; i++)
    catalog->routes[catalog->n_routes++] = (struct az_route){
      .name = g_strdup (scenario->kinds[i].name),
      .host = g_strdup ("host"),
      .prefix = g_strdup ("/"),
      .service = g_strdup ("service"),
      .priority = scenario->kinds[i].priority,
      .max_failures = 4,
      .slack_factor = 1.6,
      .objective_ms = 60,
      .timeout_ms = 1500,
    };
  return catalog;
}

static void
create_gateway (struct world *world, unsigned index)
{
  g_autofree char *domain = g_strdup_printf ("d%u", emu_domain_of_gateway (world, index));
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", index + 1);
  const struct az_gateway_io io
      = { emu_send_from_gateway,          emu_close_session, emu_connect_to, record_answer, NULL,
          &world->gateway_contexts[index] };
  const struct az_gateway_settings settings = {
    .instance = "gateway",
    .domain = g_intern_string (domain),
    .address = g_intern_string (address),
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .orphan_timeout_ms = AZ_ORPHAN_TIMEOUT_MS,
    .cross_domain_cost_ms = 4,
    .apply_ms = CONFIGURATION_APPLY_MS,
    .remote_factor = 1.5,
    .share_demand = world->scenario->share_demand,
    .fair_queue_shares = world->scenario->fair_queue_shares,
    .tail_aware_moves = world->scenario->tail_aware_moves,
    .relative_slowness = world->scenario->relative_slowness,
    .separate_queues = world->scenario->separate_queues,
  };

  world->gateway_contexts[index] = (struct node_context){ world, index };
  world->gateways[index]
      = az_gateway_create (&settings, 1000 + index, &world->clock, &io, world->counters);
  az_gateway_set_store_reachable (world->gateways[index], true);
  az_gateway_set_catalog (world->gateways[index], create_catalog (world->scenario),
                          &(struct az_catalog_origin){ .revision = 1, .text = "{}", .length = 2 });
  emu_schedule (world->events, emu_now_us (world->events) + index * 1700, tick_gateway,
                &world->gateway_contexts[index], NULL);
}

static void
create_sidecar (struct world *world, unsigned index)
{
  g_autofree char *domain = g_strdup_printf ("d%u", emu_domain_of_upstream (world, index));
  g_autofree char *instance = g_strdup_printf ("s%u", index);
  const struct az_sidecar_io io = { emu_send_to_gateway,
                                    emu_close_session,
                                    emu_start_task,
                                    emu_stop_task,
                                    emu_hold_tasks,
                                    emu_probe_upstream,
                                    &world->sidecar_contexts[index] };
  const struct az_sidecar_settings settings = {
    .instance = g_intern_string (instance),
    .domain = g_intern_string (domain),
    .lease_ms = AZ_TASK_LEASE_MS,
    .session_timeout_ms = AZ_SESSION_TIMEOUT_MS,
    .stop_ms = 50,
    .withdrawals_max_age_ms = 2500,
    .relative_slowness = world->scenario->relative_slowness,
    .report_interference = world->scenario->separate_queues,
  };

  world->sidecar_contexts[index] = (struct node_context){ world, index };
  world->sidecars[index]
      = az_sidecar_create (&settings, 2000 + index, &world->clock, &io, world->counters);
  emu_schedule (world->events, emu_now_us (world->events) + index * 900, tick_sidecar,
                &world->sidecar_contexts[index], NULL);
}

static void
create_upstream (struct world *world, unsigned index)
{
  const struct emu_upstream_observer observer = { emu_answer_waiting_holds, world };

  world->holds[index] = g_array_new (FALSE, FALSE, sizeof (struct waiting_hold));
  world->upstreams[index] = emu_upstream_create (world->events, world->scenario, index, &observer);
}

static void
connect_gateways (struct world *world)
{
  for (unsigned g = 0; g < world->scenario->n_gateways; g++)
    for (unsigned peer = 0; peer < world->scenario->n_gateways; peer++)
      if (peer != g)
        az_gateway_session_opened (world->gateways[g], EMU_PEER_SESSION_FIRST + peer, NULL);
}

static void
connect_sessions (struct world *world)
{
  for (unsigned g = 0; g < world->scenario->n_gateways; g++)
    {
      for (unsigned s = 0; s < world->scenario->n_upstreams; s++)
        {
          az_gateway_session_opened (world->gateways[g],
                                     emu_session_of_peer (world->upstream_numbers, g, s), NULL);
          az_sidecar_session_opened (world->sidecars[s],
                                     emu_session_of_peer (world->gateway_numbers, s, g));
        }
    }
  if (world->scenario->share_demand)
    connect_gateways (world);
  emu_send_withdrawn (world);
  for (unsigned s = 0; s < world->scenario->n_upstreams; s++)
    if (!emu_upstream_is_down (world->upstreams[s]))
      emu_announce_upstream (world, s);
}

static void
start_processes (struct world *world)
{
  world->is_powered = true;
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    create_gateway (world, i);
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    create_sidecar (world, i);
  connect_sessions (world);
}

static void
destroy_processes (struct world *world)
{
  for (unsigned i = 0; i < world->scenario->n_gateways; i++)
    az_gateway_destroy (world->gateways[i]);
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    az_sidecar_destroy (world->sidecars[i]);
}

void
emu_cut_power (struct world *world)
{
  world->is_powered = false;
  destroy_processes (world);
  emu_stop_processors (world);
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    g_array_set_size (world->holds[i], 0);
  for (guint i = 0; i < world->load->jobs->len; i++)
    {
      const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, i);

      if (job->is_submitted && !job->is_answered)
        schedule_resubmission (world, i);
    }
}

void
emu_restore_power (struct world *world)
{
  start_processes (world);
}

static void
schedule_events (struct world *world)
{
  for (guint i = 0; i < world->load->jobs->len; i++)
    emu_schedule (world->events, g_array_index (world->load->jobs, struct emu_job, i).arrival_us,
                  send_job, world, g_memdup2 (&i, sizeof i));
  for (unsigned i = 0; i < world->scenario->n_faults; i++)
    {
      emu_schedule_fault (world, i, true, world->scenario->faults[i].from_s);
      emu_schedule_fault (world, i, false, world->scenario->faults[i].to_s);
    }
}

static void
create_numbers (struct world *world)
{
  const struct emulator_scenario *scenario = world->scenario;
  GRand *random = scenario->delay_spread > 0 ? world->random : NULL;

  world->upstream_numbers
      = emu_numbers_create (scenario->n_gateways, scenario->n_upstreams, random);
  world->gateway_numbers = emu_numbers_create (scenario->n_upstreams, scenario->n_gateways, random);
}

static void
create_world (struct world *world, const struct emulator_scenario *scenario, uint32_t seed)
{
  unsigned n_upstreams = scenario->n_upstreams;

  world->scenario = scenario;
  world->withdrawn_domain = -1;
  world->events = emu_events_create ();
  world->load = emu_load_create (scenario, seed);
  world->random = g_rand_new_with_seed (seed + 1);
  create_numbers (world);
  world->clock = (struct az_clock){ read_clock, read_clock, world };
  world->counters = az_counters_create ();
  world->gateways = g_new0 (struct az_gateway *, scenario->n_gateways);
  world->gateway_contexts = g_new0 (struct node_context, scenario->n_gateways);
  world->sidecars = g_new0 (struct az_sidecar *, n_upstreams);
  world->sidecar_contexts = g_new0 (struct node_context, n_upstreams);
  world->upstreams = g_new0 (struct emu_upstream *, n_upstreams);
  world->holds = g_new0 (GArray *, n_upstreams);
  world->to_sidecar_us = g_new0 (int64_t, scenario->n_gateways * n_upstreams);
  world->to_gateway_us = g_new0 (int64_t, scenario->n_gateways * n_upstreams);
  world->incarnations = g_new0 (unsigned, n_upstreams);
  world->task_failure_share = g_new0 (double, n_upstreams);
  world->refuses_connections = g_new0 (bool, n_upstreams);
  world->is_reported_slow = g_new0 (bool, n_upstreams);
  world->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  emu_metrics_init (&world->metrics, scenario);
  emu_create_processors (world);
  for (unsigned i = 0; i < n_upstreams; i++)
    create_upstream (world, i);
  start_processes (world);
  schedule_events (world);
}

static void
destroy_world (struct world *world)
{
  world->is_powered = false;
  destroy_processes (world);
  for (unsigned i = 0; i < world->scenario->n_upstreams; i++)
    {
      emu_upstream_destroy (world->upstreams[i]);
      g_array_unref (world->holds[i]);
    }
  emu_destroy_processors (world);
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
  g_free (world->to_sidecar_us);
  g_free (world->to_gateway_us);
  emu_numbers_destroy (world->upstream_numbers);
  emu_numbers_destroy (world->gateway_numbers);
  g_free (world->incarnations);
  g_free (world->task_failure_share);
  g_free (world->refuses_connections);
  g_free (world->is_reported_slow);
}

static void
run_until (struct world *world, int64_t end_us)
{
  while (emu_run_next_event (world->events, end_us))
    continue;
}

/* Whether a job has no answer, and its deadline is after @at_us. */
static bool
has_open_job (const struct world *world, int64_t at_us)
{
  for (guint i = 0; i < world->load->jobs->len; i++)
    {
      const struct emu_job *job = &g_array_index (world->load->jobs, struct emu_job, i);

      if (!job->is_answered && job->arrival_us + job->deadline_us >= at_us)
        return true;
    }
  return false;
}

struct emulator_result
emulator_run (const struct emulator_scenario *scenario, uint32_t seed)
{
  struct world world = { 0 };
  struct emulator_result result;
  int64_t end_us = 1500000 + (int64_t)((scenario->duration_s + 8) * 1e6);

  create_world (&world, scenario, seed);
  run_until (&world, end_us);
  while (has_open_job (&world, end_us))
    {
      end_us += 1000000;
      run_until (&world, end_us);
    }
  for (unsigned i = 0; i < scenario->n_upstreams; i++)
    {
      world.metrics.result.wasted_core_s += emu_upstream_wasted_core_s (world.upstreams[i]);
      world.metrics.result.slowed_core_s += emu_upstream_slowed_core_s (world.upstreams[i]);
    }
  for (unsigned i = 0; i < scenario->n_upstream_speeds; i++)
    world.metrics.result.slow_shares[i]
        = (double)world.slow_samples[i] / MAX (world.speed_samples[i], 1);
  world.metrics.result.n_suspected = (unsigned)az_counters_get (
      world.counters,
      az_counters_register (world.counters, "azurerock_gateway_suspected_queues_total", ""));
  result = emu_metrics_finish (&world.metrics, world.load);
  destroy_world (&world);
  return result;
}
