#include "agent/state.h"
#include "azurerock/configuration.h"

struct az_agent_core
{
  struct az_agent_state state;
};

void
az_agent_settings_init (struct az_agent_settings *settings)
{
  *settings = (struct az_agent_settings){
    .slots = 1,
    .freshness_limit_ms = AZ_FRESHNESS_LIMIT_MS,
    .heartbeat_short_interval_ms = AZ_HEARTBEAT_SHORT_INTERVAL_MS,
    .heartbeat_long_interval_ms = AZ_HEARTBEAT_LONG_INTERVAL_MS,
    .grant_lifetime_ms = AZ_GRANT_LIFETIME_MS,
    .record_bytes_max = AZ_RECORD_BYTES_MAX,
    .record_retention_ms = AZ_RECORD_RETENTION_MS,
  };
}

struct timespec
az_agent_now (const struct az_agent_state *state)
{
  return az_clock_now (state->clock);
}

void
az_agent_send (struct az_agent_state *state,
               const struct az_agent_entry *entry,
               const struct az_message *message)
{
  if (entry->connection)
    state->io.send (state->io.context, entry->connection, message);
}

static void
copy_settings (struct az_agent_state *state, const struct az_agent_settings *settings)
{
  state->settings = *settings;
  state->settings.instance = g_strdup (settings->instance);
  state->settings.upstream = g_strdup (settings->upstream);
  state->settings.domain = g_strdup (settings->domain);
}

struct az_agent_core *
az_agent_core_create (const struct az_agent_settings *settings,
                      uint64_t incarnation,
                      const struct az_clock *clock,
                      GRand *random,
                      const struct az_agent_io *io,
                      struct az_counters *counters,
                      struct az_event_log *events)
{
  struct az_agent_core *core = g_new0 (struct az_agent_core, 1);
  struct az_agent_state *state = &core->state;

  copy_settings (state, settings);
  state->incarnation = incarnation;
  state->clock = clock;
  state->random = random;
  state->io = *io;
  state->counters = counters;
  state->events = events;
  state->entries = az_table_rows_create (sizeof (struct az_agent_entry));
  state->running = az_table_rows_create (sizeof (struct az_agent_running));
  state->grants = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  state->last_tick_at = az_agent_now (state);
#ifdef AZ_AGENT_GUARD_OFF
  /* Test builds only, for example -DAZ_AGENT_GUARD_OFF=no_record_check. */
  state->guards.AZ_AGENT_GUARD_OFF = true;
#endif
  az_agent_records_create (state);
  az_agent_fences_create (state);
  az_agent_metrics_register (state);
  return core;
}

static void
destroy_entries (struct az_agent_state *state)
{
  for (uint32_t handle = az_table_rows_next (state->entries, 0); handle;
       handle = az_table_rows_next (state->entries, handle))
    az_agent_entry_clear (az_agent_entry_get (state, handle));
  az_table_rows_destroy (state->entries);
}

void
az_agent_core_destroy (struct az_agent_core *core)
{
  struct az_agent_state *state;

  if (!core)
    return;
  state = &core->state;
  destroy_entries (state);
  az_agent_fences_destroy (state);
  az_agent_records_destroy (state);
  g_hash_table_destroy (state->grants);
  az_table_rows_destroy (state->running);
  az_owner_table_clear (&state->owner_table);
  g_free ((char *)state->settings.instance);
  g_free ((char *)state->settings.upstream);
  g_free ((char *)state->settings.domain);
  g_free (core);
}

struct az_agent_state *
az_agent_core_state (struct az_agent_core *core)
{
  return &core->state;
}

void
az_agent_core_connection_opened (struct az_agent_core *core,
                                 uint32_t connection,
                                 const char *address)
{
  az_agent_connections_opened (&core->state, connection, address);
}

void
az_agent_core_connection_closed (struct az_agent_core *core, uint32_t connection)
{
  az_agent_connections_closed (&core->state, connection);
}

void
az_agent_core_connect_failed (struct az_agent_core *core, const char *address)
{
  az_agent_connections_connect_failed (&core->state, address);
}

void
az_agent_core_message_received (struct az_agent_core *core,
                                uint32_t connection,
                                const struct az_message *message)
{
  az_agent_message_received (&core->state, connection, message);
}

void
az_agent_core_add_seed (struct az_agent_core *core, const char *address)
{
  struct az_agent_state *state = &core->state;
  uint32_t handle = az_agent_entry_add (state, address);

  az_agent_entry_get (state, handle)->is_seed = true;
  az_agent_connections_tick (state);
}

void
az_agent_core_task_finished (struct az_agent_core *core,
                             uint32_t task_handle,
                             az_status status,
                             const uint8_t *payload,
                             size_t length)
{
  az_agent_task_finished (&core->state, task_handle, status, payload, length);
}

void
az_agent_core_set_upstream_healthy (struct az_agent_core *core, bool healthy)
{
  az_agent_upstream_set_healthy (&core->state, healthy);
}

void
az_agent_core_tick (struct az_agent_core *core)
{
  struct az_agent_state *state = &core->state;
  struct timespec now = az_agent_now (state);

  state->tick_gap_ms = az_time_diff_ms (now, state->last_tick_at);
  state->last_tick_at = now;
  az_agent_connections_tick (state);
  az_agent_tasks_tick (state);
  az_agent_fences_tick (state);
  az_agent_retention_tick (state);
  az_agent_grants_tick (state);
  az_agent_demand_tick (state);
  az_agent_heartbeat_tick (state);
  az_agent_metrics_update (state);
}

void
az_agent_core_stop (struct az_agent_core *core)
{
  az_agent_drain_begin (&core->state);
}

bool
az_agent_core_is_drained (const struct az_agent_core *core)
{
  return az_agent_is_drained (&core->state);
}

void
az_agent_core_flush (struct az_agent_core *core)
{
  az_agent_flush (&core->state);
}
