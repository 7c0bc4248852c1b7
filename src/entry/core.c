#include "entry/core.h"
#include "azurerock/limits.h"
#include "entry/agents.h"
#include "entry/cluster.h"
#include "entry/jobs.h"
#include "entry/send.h"

/* Interval of the checks that scan all agents, services or members. */
#define SLOW_TICK_MS 100

void
az_entry_settings_init (struct az_entry_settings *settings)
{
  *settings = (struct az_entry_settings){
    .instance = "",
    .domain = "",
    .rpc_address = "",
    .http_address = "",
    .freshness_limit_ms = AZ_FRESHNESS_LIMIT_MS,
    .handover_ms = AZ_HANDOVER_MS,
    .clock_skew_max_ms = AZ_CLOCK_SKEW_MAX_MS,
    .peer_exchange_ms = AZ_PEER_EXCHANGE_MS,
    .owner_session_ms = AZ_OWNER_SESSION_MS,
    .answer_bytes_max = AZ_ANSWER_BYTES_MAX,
  };
}

struct az_entry_core *
az_entry_core_create (const struct az_entry_settings *settings,
                      uint64_t incarnation,
                      const struct az_clock *clock,
                      GRand *random,
                      const struct az_entry_io *io,
                      struct az_counters *counters,
                      struct az_event_log *events)
{
  struct az_entry_core *core = g_new0 (struct az_entry_core, 1);

  core->state = az_entry_state_create (settings, incarnation, clock, random, io);
  core->state->counters = counters;
  core->state->events = events;
#ifdef AZ_ENTRY_GUARD_OFF
  /* Only test builds define this, for example with -DAZ_ENTRY_GUARD_OFF=answer_partial. */
  core->state->guards.AZ_ENTRY_GUARD_OFF = true;
#endif
  az_entry_register_counters (core->state);
  return core;
}

void
az_entry_core_destroy (struct az_entry_core *core)
{
  if (!core)
    return;
  az_entry_state_destroy (core->state);
  g_free (core);
}

void
az_entry_core_submit (struct az_entry_core *core,
                      uint32_t request,
                      const struct az_submit *job,
                      bool is_first_submission)
{
  struct az_entry_origin origin = { .request = request };
  struct az_submit submit = *job;

  if (is_first_submission)
    submit.attempt = 1;
  origin.is_first_submission = submit.attempt == 1;
  az_entry_state_update_time (core->state);
  az_entry_submit (core->state, &submit, &origin);
}

void
az_entry_core_fetch (struct az_entry_core *core,
                     uint32_t request,
                     const char *job_id,
                     int64_t wait_ms)
{
  struct az_entry_state *state = core->state;

  az_entry_state_update_time (state);
  az_entry_fetch (state, request, job_id, wait_ms);
}

void
az_entry_core_cancel (struct az_entry_core *core, uint32_t request, const char *job_id)
{
  az_entry_state_update_time (core->state);
  az_entry_cancel (core->state, request, job_id);
}

void
az_entry_core_discard_request (struct az_entry_core *core, uint32_t request)
{
  az_entry_request_remove (core->state, request);
}

void
az_entry_core_store_read (struct az_entry_core *core, const struct az_store_reading *reading)
{
  az_entry_state_update_time (core->state);
  az_entry_store_read (core->state, reading);
}

void
az_entry_core_table_written (struct az_entry_core *core, enum az_table_write result, uint64_t index)
{
  /* The index is not used, since the next read of the store returns it together with the table. */
  (void)index;
  az_entry_state_update_time (core->state);
  az_entry_table_written (core->state, result);
}

static void
run_timers (struct az_entry_state *state)
{
  struct az_entry_timer timer;

  while (az_entry_timers_pop (state->timers, state->now, &timer))
    switch (timer.kind)
      {
      case AZ_ENTRY_TIMER_DEADLINE:
        az_entry_job_expire (state, timer.value);
        break;
      case AZ_ENTRY_TIMER_FETCH:
        az_entry_request_expire (state, timer.value);
        break;
      case AZ_ENTRY_TIMER_OWNER:
        az_entry_forward_or_answer (state, timer.value);
        break;
      }
}

void
az_entry_core_tick (struct az_entry_core *core)
{
  struct az_entry_state *state = core->state;

  az_entry_state_update_time (state);
  run_timers (state);
  az_entry_retention_tick (state);
  az_entry_peers_tick (state);
  az_entry_delayed_tasks_tick (state);
  if (az_time_compare (state->now, state->next_slow_tick) >= 0)
    {
      state->next_slow_tick = az_time_add_ms (state->now, SLOW_TICK_MS);
      az_entry_agents_tick (state);
      az_entry_estimates_tick (state);
      az_entry_arrivals_tick (state);
      az_entry_unanswered_submits_tick (state);
      az_entry_not_run_tick (state);
      az_entry_update_gauges (state);
      az_entry_roster_tick (state);
      az_entry_recover_tick (state);
    }
  az_entry_dispatch (state);
}

void
az_entry_core_flush (struct az_entry_core *core)
{
  az_entry_state_update_time (core->state);
  az_entry_dispatch (core->state);
}

void
az_entry_core_stop (struct az_entry_core *core)
{
  az_entry_state_update_time (core->state);
  core->state->stopping = true;
}

bool
az_entry_core_is_drained (const struct az_entry_core *core)
{
  return az_entry_is_drained (core->state);
}

json_t *
az_entry_core_status (struct az_entry_core *core)
{
  az_entry_state_update_time (core->state);
  return az_entry_status (core->state);
}

bool
az_entry_core_is_ready (struct az_entry_core *core)
{
  struct az_entry_state *state = core->state;

  az_entry_state_update_time (state);
  return !state->stopping && state->configuration && state->has_table
         && az_owner_table_has_member (&state->table, state->incarnation)
         && az_entry_is_fresh (state);
}
