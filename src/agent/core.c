#include "agent/board.h"
#include "azurerock/configuration.h"

struct az_agent_core
{
  struct az_agent_board board;
};

void
az_agent_settings_init (struct az_agent_settings *settings)
{
  *settings = (struct az_agent_settings){
    .slots = 1,
    .freshness_limit_ms = AZ_FRESHNESS_LIMIT_MS,
    .heartbeat_home_ms = AZ_HEARTBEAT_HOME_MS,
    .heartbeat_other_ms = AZ_HEARTBEAT_OTHER_MS,
    .grant_life_ms = AZ_GRANT_LIFE_MS,
    .record_bytes_max = AZ_RECORD_BYTES_MAX,
    .record_retention_ms = AZ_RECORD_RETENTION_MS,
  };
}

struct timespec
az_agent_now (const struct az_agent_board *board)
{
  return az_clock_now (board->clock);
}

void
az_agent_send (struct az_agent_board *board,
               const struct az_agent_entry *entry,
               const struct az_message *message)
{
  if (entry->connection)
    board->io.send (board->io.context, entry->connection, message);
}

static void
copy_settings (struct az_agent_board *board, const struct az_agent_settings *settings)
{
  board->settings = *settings;
  board->settings.instance = g_strdup (settings->instance);
  board->settings.upstream = g_strdup (settings->upstream);
  board->settings.domain = g_strdup (settings->domain);
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
  struct az_agent_board *board = &core->board;

  copy_settings (board, settings);
  board->incarnation = incarnation;
  board->clock = clock;
  board->random = random;
  board->io = *io;
  board->counters = counters;
  board->events = events;
  board->entries = az_table_rows_create (sizeof (struct az_agent_entry));
  board->running = az_table_rows_create (sizeof (struct az_agent_running));
  board->grants = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  board->last_tick = az_agent_now (board);
#ifdef AZ_AGENT_GUARD_OFF
  /* Test builds only: -DAZ_AGENT_GUARD_OFF=no_record_check, for one. */
  board->guards.AZ_AGENT_GUARD_OFF = true;
#endif
  az_agent_records_create (board);
  az_agent_fences_create (board);
  az_agent_metrics_register (board);
  return core;
}

static void
destroy_entries (struct az_agent_board *board)
{
  for (uint32_t handle = az_table_rows_next (board->entries, 0); handle;
       handle = az_table_rows_next (board->entries, handle))
    az_agent_entry_clear (az_agent_entry_get (board, handle));
  az_table_rows_destroy (board->entries);
}

void
az_agent_core_destroy (struct az_agent_core *core)
{
  struct az_agent_board *board;

  if (!core)
    return;
  board = &core->board;
  destroy_entries (board);
  az_agent_fences_destroy (board);
  az_agent_records_destroy (board);
  g_hash_table_destroy (board->grants);
  az_table_rows_destroy (board->running);
  az_owner_table_clear (&board->owners);
  g_free ((char *)board->settings.instance);
  g_free ((char *)board->settings.upstream);
  g_free ((char *)board->settings.domain);
  g_free (core);
}

struct az_agent_board *
az_agent_core_board (struct az_agent_core *core)
{
  return &core->board;
}

void
az_agent_core_opened (struct az_agent_core *core, uint32_t connection, const char *address)
{
  az_agent_connections_opened (&core->board, connection, address);
}

void
az_agent_core_closed (struct az_agent_core *core, uint32_t connection)
{
  az_agent_connections_closed (&core->board, connection);
}

void
az_agent_core_unreachable (struct az_agent_core *core, const char *address)
{
  az_agent_connections_unreachable (&core->board, address);
}

void
az_agent_core_received (struct az_agent_core *core,
                        uint32_t connection,
                        const struct az_message *message)
{
  az_agent_received (&core->board, connection, message);
}

void
az_agent_core_add_seed (struct az_agent_core *core, const char *address)
{
  struct az_agent_board *board = &core->board;
  uint32_t handle = az_agent_entry_add (board, address);

  az_agent_entry_get (board, handle)->is_seed = true;
  az_agent_connections_tick (board);
}

void
az_agent_core_finished (struct az_agent_core *core,
                        uint32_t task_handle,
                        az_status status,
                        const uint8_t *payload,
                        size_t length)
{
  az_agent_task_finished (&core->board, task_handle, status, payload, length);
}

void
az_agent_core_set_upstream_healthy (struct az_agent_core *core, bool healthy)
{
  az_agent_upstream_set_healthy (&core->board, healthy);
}

void
az_agent_core_tick (struct az_agent_core *core)
{
  struct az_agent_board *board = &core->board;
  struct timespec now = az_agent_now (board);

  board->stall_ms = az_time_diff_ms (now, board->last_tick);
  board->last_tick = now;
  az_agent_connections_tick (board);
  az_agent_tasks_tick (board);
  az_agent_fences_tick (board);
  az_agent_retention_tick (board);
  az_agent_grants_tick (board);
  az_agent_demand_tick (board);
  az_agent_heartbeat_tick (board);
  az_agent_metrics_update (board);
}

void
az_agent_core_stop (struct az_agent_core *core)
{
  az_agent_drain_begin (&core->board);
}

bool
az_agent_core_is_drained (const struct az_agent_core *core)
{
  return az_agent_is_drained (&core->board);
}

void
az_agent_core_flush (struct az_agent_core *core)
{
  az_agent_flush (&core->board);
}
